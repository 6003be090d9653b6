#include "platform/node_settings.h"
#include "platform/wire.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

TEST_GROUP(PlatformWire)
{
    std::string problem;
};

// Guards against confused units: the settings use seconds, milliseconds and microseconds side by side.
TEST(PlatformWire, OperatorSettingsAreDecoded)
{
    const auto configuration = platform::readConfiguration(
        R"({"version":3,"routes":[{"name":"q","host":"h.example","prefix":"/p/","kind":"unsafe","timeoutMs":900,
        "targetDurationMs":250,"priority":1,"service":"s","maxAttempts":4,"stretch":1.5,
        "advice":{"decisionMs":6.5,"periodMs":0.093,"validityMs":1500}}],
        "services":[{"name":"s","rejectsOverload":true}],"limits":{"maxBodyBytes":1000},"new":1})",
        problem);
    CHECK(configuration.has_value());
    const QueueConfig &queue = configuration->queues.at(0);
    CHECK(queue.target == milliseconds(250));
    CHECK(queue.advice->base == std::chrono::microseconds(6500));
    CHECK(queue.advice->perWorker == std::chrono::microseconds(93));
    CHECK(configuration->pools.at(0).workersEnforceCapacity);
    CHECK_EQUAL(1000U, configuration->limits.maxBodyBytes);
    CHECK_EQUAL(16384U, configuration->limits.maxHeaderBytes);
}

// Guards against invalid entries of other writers that are taken for workers or end the reading of later entries.
TEST(PlatformWire, InvalidEntriesAreRejected)
{
    const char *bad[] = {"", "no json", "[]", "{}", R"({"service":5})",
        R"({"service":"s","addr":"1.2.3.4:5","zone":"z","born":1,"state":"resting","capacity":{"cpu":1,"memMb":1}})",
        R"({"service":"s","addr":"1.2.3.4:5","zone":"z","born":"1","state":"ready","capacity":{"cpu":1,"memMb":1}})",
        R"({"service":"s","addr":"1.2.3.4:5","zone":"z","born":1,"state":"ready"})"};
    for (const char *text : bad) {
        problem.clear();
        CHECK_FALSE(platform::readWorkerEntry("servers/w", text, problem).has_value());
        CHECK_FALSE(problem.empty());
    }
    const auto entry = platform::readWorkerEntry("servers/w",
        R"({"service":"s","addr":"1.2.3.4:50","zone":"z","born":7,"state":"draining","remainingMs":900,
        "capacity":{"cpu":4000,"memMb":512},"labels":["a","r1"],"seq":9})",
        problem);
    CHECK(entry.has_value());
    CHECK(entry->id == "w" && entry->draining && entry->rack == "r1" && entry->incarnation == 7);
    CHECK(entry->endpoint == (Endpoint{.ip = "1.2.3.4", .port = 50}));
}

// Guards against jobs that can never run or that crash the daemon. Invalid bodies are rejected with a reason.
TEST(PlatformWire, InvalidSubmissionsAreRejectedWithAReason)
{
    const std::string longPayload(4001, 'x');
    const std::string bad[] = {"", "{", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"count":-1}]})", R"({"steps":[{"cpu":-5}]})", R"({"steps":[{"after":[0]}]})",
        R"({"steps":[{},{"after":[2]}]})", R"({"steps":[{"count":"four"}]})",
        R"({"spec":")" + longPayload + R"(","steps":[{}]})", R"({"steps":[{"count":4000000000}]})"};
    for (const std::string &text : bad) {
        problem.clear();
        CHECK_FALSE(platform::readJobSpec(text, problem).has_value());
        CHECK_FALSE(problem.empty());
    }
}

TEST(PlatformWire, StepsOfAJobAreDecoded)
{
    const auto spec = platform::readJobSpec(
        R"({"spec":"p","steps":[{"count":2,"cpu":500,"memMb":64,"estimateMs":900,"affinity":"r1","gang":true},
        {"after":[0],"checkpointed":true,"maxPerServer":3,"mayMiss":1,"fills":true,"targetMs":40,"longRunning":true}]})",
        problem);
    CHECK(spec.has_value());
    CHECK(spec->steps[0].gang && spec->steps[0].dataRack == "r1" && spec->steps[0].size.cpuMilli == 500);
    const StepSpec &second = spec->steps[1];
    CHECK(second.checkpointed && second.maxPerWorker == 3 && second.maxUnavailable == 1 && second.usesIdleCpu);
    CHECK(second.longRunning && second.tailTarget == milliseconds(40) && second.after.at(0) == 0);
}

// Guards against an invalid reply that is taken for an empty list, so that runs would seem to be missing.
TEST(PlatformWire, InvalidRenewRepliesAreRejected)
{
    CHECK_FALSE(platform::readRenewReply("{}", problem).has_value());
    CHECK_FALSE(platform::readRenewReply(R"({"clockMs":5,"running":[[1]]})", problem).has_value());
    const auto lists = platform::readRenewReply(
        R"({"clockMs":5,"born":9,"running":[["00000000000000ab.0.1.2",3,"c",41,250]],
        "finished":[[8,"00000000000000ab.0.1.3",1,"broken",""]]})",
        problem);
    CHECK(lists.has_value());
    CHECK(lists->running.at(0).task == (TaskKey{.step = {.job = 0xab, .occurrence = 0, .step = 1}, .index = 2}));
    CHECK(lists->ended.at(0).end == RunEnd::GangBroken);
    CHECK(lists->incarnation == 9);
}

TEST(PlatformWire, RefusalReasonsAreDecoded)
{
    CHECK(platform::readRefusal(409, R"({"clockMs":1,"reason":"fence"})") == StartRefusal::Fenced);
    CHECK(platform::readRefusal(409, R"({"reason":"late"})") == StartRefusal::Late);
    CHECK(platform::readRefusal(409, "?") == StartRefusal::Invalid);
    CHECK(platform::readRefusal(421, "") == StartRefusal::WrongIncarnation);
    CHECK(platform::readRefusal(503, "") == StartRefusal::Unavailable);
    CHECK(platform::readReplyClock(R"({"clockMs":482113})") == WorkerTime(milliseconds(482113)));
    CHECK(platform::readReplyClock(R"({"clockMs":"1","reason":"fence"})") == std::nullopt);
    CHECK(platform::readReplyClock("") == std::nullopt);
}

// Guards against values that are altered when they are read from the store.
TEST(PlatformWire, StoreItemsAreDecoded)
{
    const auto body = platform::readStoreBody(
        R"({"items":[{"key":"k","value":"AAECAw==","revision":4,"created":2,"lease":0}],"morePages":true,"currentRev":9})",
        problem);
    CHECK(body.has_value());
    CHECK(body->items.at(0).value == std::string("\0\1\2\3", 4));
    CHECK(body->items.at(0).revision == 4 && body->morePages && body->revision == 9);
}

// Guards against a daemon that fails to start because the platform has added a field.
TEST(PlatformWire, UnknownFieldsInProcessSettingsAreIgnored)
{
    const auto settings = platform::readNodeSettings(
        R"({"nodeName":"n1","listen":{"frontend":"10.0.0.1:80","readiness":"10.0.0.1:81","control":"10.0.0.1:82"},
        "limits":{"cpuShare":0.25,"cores":2},"platform":{"addr":"10.0.0.9:90"},"seeds":["10.0.0.2:82"],
        "bounds":{"holdMaxMs":9000,"status_s":60,"graceS":5},"advice":null,"unheard":{"of":1}})",
        problem);
    CHECK(settings.has_value());
    CHECK_EQUAL(500, settings->node.cpuMilli);
    CHECK(settings->node.bounds.maxWorkerLease == milliseconds(9000));
    CHECK(settings->node.bounds.keepEnded == milliseconds(60000));
    CHECK(settings->node.shutdownGrace == milliseconds(5000));
    CHECK(settings->adviser.ip.empty());
    DOUBLES_EQUAL(1.0, settings->node.bounds.remoteFactor, 0.0);
    CHECK_FALSE(platform::readNodeSettings(R"({"nodeName":"n1"})", problem).has_value());
}

// Guards against a slowdown on far places that is read wrongly, so that tasks wait where that doesn't pay.
TEST(PlatformWire, TheSlowdownOnFarPlacesIsReadFromTheProcessSettings)
{
    const auto settingsWith = [this](const std::string &bounds) {
        return platform::readNodeSettings(
            R"({"nodeName":"n1","listen":{"frontend":"10.0.0.1:80","readiness":"10.0.0.1:81","control":"10.0.0.1:82"},
            "limits":{"cpuShare":0.25,"cores":2},"platform":{"addr":"10.0.0.9:90"},"bounds":)"
                + bounds + "}",
            problem);
    };
    const auto settings = settingsWith(R"({"remoteFactor":1.6})");
    CHECK(settings.has_value());
    DOUBLES_EQUAL(1.6, settings->node.bounds.remoteFactor, 1e-9);
    CHECK_FALSE(settingsWith(R"({"remoteFactor":"twice"})").has_value());
    CHECK(problem.find("remoteFactor") != std::string::npos);
    CHECK_FALSE(settingsWith(R"({"remoteFactor":-1})").has_value());
}
