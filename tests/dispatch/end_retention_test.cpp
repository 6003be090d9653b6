#include "core/dispatch/end_retention.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds kept{140000};
constexpr std::uint64_t claim = 100;

MonotonicTime at(std::int64_t seconds)
{
    return MonotonicTime(std::chrono::seconds(seconds));
}

/// What a successor whose clock began at another time continues from the retention's record.
EndRetention succeed(const EndRetention &former, MonotonicTime formerNow, std::uint64_t revision, MonotonicTime now)
{
    std::string problem;
    EndRetention next = continueRetention(kept, encodeRetention(former, formerNow), revision, now, problem);
    STRCMP_EQUAL("", problem.c_str());
    return next;
}

} // namespace

TEST_GROUP(EndRetention){};

// Guards against a record that counts as older than anybody has seen it.
TEST(EndRetention, AnUnobservedRevisionIsProvenFromNowOn)
{
    EndRetention retention(kept);
    CHECK(provenSince(retention, claim, at(50)) == at(50));
    CHECK(observeRevision(retention, claim, at(50)));
    CHECK(provenSince(retention, claim + 1, at(60)) == at(60));
    CHECK(provenSince(retention, claim, at(60)) == at(50));
    CHECK(provenSince(retention, claim - 1, at(60)) == at(50));
}

// Guards against a count that depends on where the successor's clock begins, or that includes the time between leaders.
TEST(EndRetention, ASuccessorContinuesTheCountByItsOwnClock)
{
    EndRetention former(kept);
    CHECK(observeRevision(former, claim, at(1000)));
    CHECK(observeRevision(former, claim + 50, at(1010)));
    const EndRetention next = succeed(former, at(1010), claim + 60, at(7));
    CHECK(provenSince(next, claim, at(7)) == at(-3));
    CHECK(provenSince(next, claim + 50, at(7)) == at(7));
    CHECK(provenSince(next, claim + 51, at(7)) == at(7));
}

// Guards against a record of the observations that grows without bound.
TEST(EndRetention, ObservationsThatProveTheWholeTimeAreMerged)
{
    EndRetention retention(kept);
    for (std::int64_t second = 0; second < 2000; ++second) {
        observeRevision(retention, claim + static_cast<std::uint64_t>(second), at(second));
    }
    CHECK(retention.observed.size() <= 30);
    const EndRetention next = succeed(retention, at(2000), claim + 2000, at(5000));
    CHECK(at(5000) - provenSince(next, claim, at(5000)) >= kept);
    CHECK(at(5000) - provenSince(next, claim + 1900, at(5000)) < kept);
}

// Guards against an observation for each of the leaders that are lost one after the other.
TEST(EndRetention, LeadersInSeriesDoNotAddObservations)
{
    EndRetention retention(kept);
    for (std::uint64_t leader = 0; leader < 100; ++leader) {
        const auto claimedAt = static_cast<std::int64_t>(leader) * 4;
        observeRevision(retention, claim + leader, at(claimedAt));
        retention = succeed(retention, at(claimedAt + 3), claim + leader + 1, at(claimedAt + 4));
    }
    CHECK(retention.observed.size() <= 30);
}

// Guards against records that are removed early because of a damaged record of the observations.
TEST(EndRetention, ObservationsThatCannotBeReadProveNothing)
{
    for (const char *text : {"x", "50", "50:", ":7", "50:-7", "50:7 40:6", "50:7 60:8", "50:7 60:99999999999",
             "200:140000", "50:7  60:6", "50:7,60:6"}) {
        std::string problem;
        const EndRetention next = continueRetention(kept, text, claim, at(10), problem);
        CHECK_TEXT(!problem.empty(), text);
        CHECK(next.observed.empty());
    }
}
