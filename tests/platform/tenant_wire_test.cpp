#include "core/dispatch/client_access.h"
#include "core/dispatch/records.h"
#include "platform/wire.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

/// Stands for the text of keys; it may appear in no error.
constexpr std::string_view secret = "s3cr3t";

std::string configurationWith(std::string_view tenants)
{
    return fmt::format(R"({{"version":3,"routes":[{{"name":"q","host":"h","prefix":"/p/","service":"s","public":true}},
        {{"name":"r","host":"h","prefix":"/r/","service":"s"}}],"services":[{{"name":"s"}}]{}}})",
        tenants);
}

/// Fails unless the tenants are rejected with an error that begins with the path.
void checkRejected(std::string_view tenants, std::string_view path)
{
    std::string problem;
    CHECK_FALSE(platform::readConfiguration(configurationWith(fmt::format(R"(,"tenants":{})", tenants)), problem));
    STRNCMP_EQUAL(std::string(path).c_str(), problem.c_str(), path.size());
    CHECK(problem.find(secret) == std::string::npos);
}

} // namespace

TEST_GROUP(PlatformTenants)
{
    std::string problem;

    std::optional<Configuration> read(std::string_view tenants)
    {
        return platform::readConfiguration(configurationWith(tenants), problem);
    }
};

// Guards against an empty list of tenants that is read as none, and the reverse.
TEST(PlatformTenants, NoListAndAnEmptyListDiffer)
{
    const auto without = read("");
    CHECK(without.has_value() && !without->tenants.has_value());
    CHECK(without->queues.at(0).isPublic && !without->queues.at(1).isPublic);
    const auto empty = read(R"(,"tenants":[])");
    CHECK(empty.has_value() && empty->tenants.has_value() && empty->tenants->empty());
}

TEST(PlatformTenants, TenantsAreDecoded)
{
    const auto configuration = read(R"(,"tenants":[{"name":"a","apiKeys":["k1","k 2"],"weight":2.5,
        "cap":{"cpu":64000,"memMb":4096,"gpu":2},"priority":7},{"name":"b"},
        {"name":"c","weight":0,"cap":{"memMb":9007199254740992}}])");
    CHECK(configuration.has_value());
    const std::vector<TenantConfig> &tenants = *configuration->tenants;
    CHECK(tenants[0].name == "a" && tenants[0].keys == (std::vector<std::string>{"k1", "k 2"}));
    DOUBLES_EQUAL(2.5, tenants[0].weight, 0.0);
    CHECK(tenants[0].cap == (Resources{.cpuMilli = 64000, .memoryMib = 4096, .accelerators = 2}));
    CHECK(tenants[1].keys.empty() && tenants[1].cap == Resources{});
    DOUBLES_EQUAL(1.0, tenants[1].weight, 0.0);
    DOUBLES_EQUAL(0.0, tenants[2].weight, 0.0);
    CHECK_EQUAL(std::int64_t{1} << 53, tenants[2].cap.memoryMib);
}

// Guards against invalid tenants in force, and errors that don't name the field or that show a key.
TEST(PlatformTenants, InvalidTenantsAreRejectedByPath)
{
    checkRejected("null", "tenants: ");
    checkRejected(R"({"name":"a","apiKeys":["s3cr3t"]})", "tenants: ");
    checkRejected(R"(["s3cr3t"])", "tenants[0].name: ");
    checkRejected(R"([{"apiKeys":["s3cr3t"]}])", "tenants[0].name: ");
    checkRejected(R"([{"name":""}])", "tenants[0].name: ");
    checkRejected(R"([{"name":5,"apiKeys":["s3cr3t"]}])", "tenants[0].name: ");
    checkRejected(R"([{"name":"a"},{"name":"a","apiKeys":["s3cr3t"]}])", "tenants[1].name: ");
    checkRejected(R"([{"name":"a","apiKeys":"s3cr3t"}])", "tenants[0].apiKeys: ");
    checkRejected(R"([{"name":"a","apiKeys":null}])", "tenants[0].apiKeys: ");
    checkRejected(R"([{"name":"a","apiKeys":["s3cr3t",7]}])", "tenants[0].apiKeys: ");
    checkRejected(R"([{"name":"a","apiKeys":["s3cr3t",""]}])", "tenants[0].apiKeys[1]: ");
    checkRejected(
        R"([{"name":"a","apiKeys":["s3cr3t"]},{"name":"b","apiKeys":["s3cr3t"]}])", "tenants[1].apiKeys[0]: ");
    for (const char *weight : {"-1", "\"2\"", "null", "[]"}) {
        checkRejected(
            fmt::format(R"([{{"name":"a","apiKeys":["s3cr3t"],"weight":{}}}])", weight), "tenants[0].weight: ");
    }
    for (const char *field : {"cpu", "memMb", "gpu"}) {
        for (const char *amount : {"-1", "9007199254740993", "1.5", "\"8\""}) {
            checkRejected(fmt::format(R"([{{"name":"a","cap":{{"{}":{}}}}}])", field, amount),
                fmt::format("tenants[0].cap.{}: ", field));
        }
    }
    checkRejected(R"([{"name":"a","cap":5}])", "tenants[0].cap: ");
}

// Guards against the text of a key in the error of a version that is cut off or no JSON: the parser's own message
// quotes what it read last.
TEST(PlatformTenants, SyntaxErrorsShowNoKey)
{
    const std::string text = configurationWith(R"(,"tenants":[{"name":"a","apiKeys":["s3cr3t-1","s3cr3t-2"]}])");
    for (std::size_t size = 0; size < text.size(); ++size) {
        CHECK_FALSE(platform::readConfiguration(text.substr(0, size), problem).has_value());
        CHECK_FALSE(problem.empty());
        CHECK(problem.find("s3c") == std::string::npos);
    }
    std::string control = text;
    control[text.find("s3cr3t-2") + 7] = '\n';
    CHECK_FALSE(platform::readConfiguration(control, problem).has_value());
    CHECK(problem.find("s3c") == std::string::npos);
    CHECK(problem.find("byte") != std::string::npos);
}

// Guards against records of jobs and ends that lose their tenant, and those of earlier versions that can't be read.
TEST(PlatformTenants, RecordsKeepTheTenant)
{
    const JobRecord job{.id = 5,
        .queue = {.name = "q", .pool = "p"},
        .spec = {.payload = "p", .steps = {StepSpec{.count = 1}}},
        .tenant = "a b",
        .isExcess = true};
    const auto decoded = decodeJobRecord(encodeJobRecord(job), problem);
    CHECK(decoded.has_value() && decoded->tenant == "a b" && decoded->isExcess);
    JobRecord plain = job;
    plain.tenant.clear();
    plain.isExcess = false;
    const std::string text = encodeJobRecord(plain);
    CHECK(text.find("tenant") == std::string::npos && text.find("excess") == std::string::npos);
    const auto former = decodeJobRecord(text, problem);
    CHECK(former.has_value() && former->tenant.empty() && !former->isExcess);
    const EndRecord end{.state = JobState::Cancelled,
        .endedAt = WallTime(milliseconds(1700000000000)),
        .tenant = "a b 7",
        .stopping = {.cpuMilli = 4000, .memoryMib = 5, .accelerators = 6}};
    const auto decodedEnd = decodeEnd(encodeEnd(end));
    CHECK(decodedEnd.has_value() && decodedEnd->state == JobState::Cancelled && decodedEnd->tenant == end.tenant);
    CHECK(decodedEnd->stopping == end.stopping && decodedEnd->endedAt == end.endedAt);
    const auto formerEnd = decodeEnd("done 1700000000000");
    CHECK(formerEnd.has_value() && formerEnd->tenant.empty() && formerEnd->stopping == Resources{});
    for (const char *bad : {"done", "done x", "done 1700000000000 5", "done 1700000000000 5 6 7",
             "done 1700000000000 5 6 -7 a", "lost 1700000000000 5 6 7 a"}) {
        CHECK_FALSE(decodeEnd(bad).has_value());
    }
}
