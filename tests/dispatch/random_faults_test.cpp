#include "core/log.h"
#include "tests/dispatch/random_faults.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr std::uint64_t defaultSeeds = 200;
constexpr std::uint64_t defaultTenantSeeds = 60;
constexpr std::uint64_t firstSeed = 1;

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

PlayResult checkSeed(std::uint64_t seed, bool hasTenants)
{
    const FaultMix &mix = faultMixes()[seed % faultMixes().size()];
    FaultPlan plan = drawPlan(seed, mix);
    plan.hasTenants = hasTenants;
    PlayResult result = playPlan(plan);
    const std::vector<std::string> &broken = result.violations;
    if (broken.empty()) {
        return result;
    }
    FaultPlan least = minimisePlan(plan, broken.front());
    if (std::getenv("WIGEONKEEL_TRACE") != nullptr) {
        setLogLevel(LogLevel::Info);
        least.trace = true;
    }
    const std::vector<std::string> remaining = playPlan(least).violations;
    FAIL(fmt::format("{} (mix {})\n{}after minimising: {}", broken.front(), mix.name, describePlan(least),
        remaining.empty() ? "none" : remaining.front())
             .c_str());
    return result;
}

} // namespace

TEST_GROUP(DispatchRandomFaults){
    // The lines of one seed would fill megabytes. WIGEONKEEL_TRACE=1 shows those of the least plan that fails.
    void setup() override{setLogLevel(LogLevel::Error);
}
void teardown() override
{
    setLogLevel(LogLevel::Info);
}
}
;

// Guards against tasks that run twice or start again after an acknowledged end or cancellation, workers over their
// capacity, too many attempts, accepted jobs that don't end or are unknown, and ended jobs that a copy of the
// submission starts again (issue 35), under overlapping faults. WIGEONKEEL_SEEDS=N plays N seeds, from
// WIGEONKEEL_FIRST_SEED on. Late orders that reach the next incarnation of a worker are left out: they are a known open
// point (docs/incidents/twice.md).
TEST(DispatchRandomFaults, RulesHoldUnderOverlappingFaults)
{
    const std::uint64_t first = numberFromEnvironment("WIGEONKEEL_FIRST_SEED", firstSeed);
    const std::uint64_t count = numberFromEnvironment("WIGEONKEEL_SEEDS", defaultSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        // Guards against a world in which nothing runs and therefore nothing breaks.
        CHECK(checkSeed(seed, false).jobsEnded > 0);
    }
}

// Guards against starts above a tenant's cap and calls that are served with another tenant's key, under the same
// faults. WIGEONKEEL_TENANT_SEEDS=N plays N seeds, from WIGEONKEEL_FIRST_SEED on.
TEST(DispatchRandomFaults, RulesOfTenantsHoldUnderOverlappingFaults)
{
    const std::uint64_t first = numberFromEnvironment("WIGEONKEEL_FIRST_SEED", firstSeed);
    const std::uint64_t count = numberFromEnvironment("WIGEONKEEL_TENANT_SEEDS", defaultTenantSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const PlayResult result = checkSeed(seed, true);
        CHECK(result.jobsEnded > 0);
        CHECK(result.foreignRefused > 0);
    }
}
