#include "tests/protocol/request_cluster.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;

TEST_GROUP(KeptMemory)
{
    static constexpr std::size_t limit = 1 << 20;
    /// Two requests of this size don't fit into the limit, one does.
    static constexpr std::size_t payload = 250000;

    static Submission large(const RequestCluster &cluster, const std::string &id)
    {
        Submission submission = cluster.reservation(id);
        submission.payload.assign(payload, 'x');
        return submission;
    }

    static Submission job(const RequestCluster &cluster, const std::string &id, std::uint32_t tasks)
    {
        Submission submission = cluster.reservation(id);
        submission.kind = TaskKind::Batch;
        submission.taskCount = tasks;
        return submission;
    }
};

// Guards against requests with large payloads that fill a daemon: their number was bounded, their bytes were not.
TEST(KeptMemory, RequestsBeyondTheLimitAreNotRun)
{
    RequestCluster cluster(1);
    KeptMemory &memory = cluster.at("d0").requests.memory;
    memory.limit = limit;
    const CallerToken first = cluster.submit("d0", large(cluster, "a"));
    const CallerToken second = cluster.submit("d0", large(cluster, "b"));
    const CallerToken small = cluster.submit("d0", cluster.reservation("c"));
    cluster.run(200);
    CHECK_FALSE(cluster.answered(first));
    STRCMP_EQUAL("not_run", cluster.outcome(second).c_str());
    CHECK_TRUE(cluster.answers.at(second).back().retryAfter.count() > 0);
    CHECK_FALSE(cluster.answered(small));
    UNSIGNED_LONGS_EQUAL(1, memory.refused);
    LONGS_EQUAL(0, cluster.takeStarts("b"));
}

// Guards against ended requests that keep the room of their payloads until they are evicted.
TEST(KeptMemory, AnEndedRequestLeavesRoomForTheNext)
{
    RequestCluster cluster(1);
    KeptMemory &memory = cluster.at("d0").requests.memory;
    memory.limit = limit;
    const CallerToken first = cluster.submit("d0", large(cluster, "a"));
    cluster.run(200);
    LONGS_EQUAL(1, cluster.takeStarts("a"));
    cluster.update("d0", "a", TaskProgress::Done, "seat 4");
    STRCMP_EQUAL("done", cluster.outcome(first).c_str());
    const CallerToken second = cluster.submit("d0", large(cluster, "b"));
    cluster.run(200);
    CHECK_FALSE(cluster.answered(second));
    LONGS_EQUAL(1, cluster.takeStarts("b"));
    cluster.update("d0", "b", TaskProgress::Done, "seat 5");
    cluster.run(70000);
    UNSIGNED_LONGS_EQUAL(0, cluster.at("d0").requests.entries.size());
    UNSIGNED_LONGS_EQUAL(0, memory.used);
}

// Guards against a submission that avoids the limit because its id was asked about before.
TEST(KeptMemory, ARequestThatWasOnlyAskedAboutIsChargedWhenItIsSubmitted)
{
    RequestCluster cluster(1);
    cluster.at("d0").requests.memory.limit = limit;
    cluster.submit("d0", large(cluster, "a"));
    cluster.store.mode = StoreMode::Silent;
    cluster.post("d0", QueryEvent{.caller = cluster.nextCaller++, .operatorName = "faraja", .id = "b", .wait = true});
    CHECK_TRUE(cluster.at("d0").requests.entries.contains(RequestCluster::keyOf("b")));
    const CallerToken second = cluster.submit("d0", large(cluster, "b"));
    CHECK_TRUE(cluster.answered(second));
    UNSIGNED_LONGS_EQUAL(1, cluster.at("d0").requests.memory.refused);
}

// Guards against jobs of very many tasks, of which a short submission makes a large table.
TEST(KeptMemory, JobsBeyondTheLimitAreRefused)
{
    RequestCluster cluster(1);
    Scheduler &daemon = cluster.at("d0");
    daemon.jobs.options.holder = "d0/1";
    daemon.storeReachable = true;
    daemon.jobs.memory.limit = limit;
    const CallerToken first = cluster.submit("d0", job(cluster, "a", 8000), false);
    const CallerToken second = cluster.submit("d0", job(cluster, "b", 8000), false);
    const CallerToken small = cluster.submit("d0", job(cluster, "c", 10), false);
    const CallerToken impossible = cluster.submit("d0", job(cluster, "d", 80000), false);
    cluster.run(200);
    STRCMP_EQUAL("running", cluster.outcome(first).c_str());
    STRCMP_EQUAL("not_run", cluster.outcome(second).c_str());
    STRCMP_EQUAL("running", cluster.outcome(small).c_str());
    STRCMP_EQUAL("not_run", cluster.outcome(impossible).c_str());
    const std::size_t open = daemon.jobs.memory.used;
    for (const char *id : {"a", "c"}) {
        cluster.post("d0", CancelEvent{.caller = cluster.nextCaller++, .operatorName = "faraja", .id = id});
    }
    cluster.run(10000);
    CHECK_TRUE(daemon.jobs.memory.used < open);
    for (const char *id : {"a", "c"}) {
        dropJob(daemon.jobs, RequestCluster::keyOf(id));
    }
    UNSIGNED_LONGS_EQUAL(0, daemon.jobs.memory.used);
}

// Guards against payloads that accumulate while the daemon they are passed on to does not answer.
TEST(KeptMemory, ForwardsBeyondTheLimitAreRefusedAndReleasedWhenGivenUp)
{
    RequestCluster cluster(2);
    ForwardTable &forwards = cluster.at("d0").forwards;
    forwards.memory.limit = limit;
    cluster.cutOff.insert("d1");
    const CallerToken first = cluster.submit("d0", large(cluster, cluster.idAt("d1", "a")));
    const CallerToken second = cluster.submit("d0", large(cluster, cluster.idAt("d1", "b")));
    CHECK_FALSE(cluster.answered(first));
    STRCMP_EQUAL("not_run", cluster.outcome(second).c_str());
    UNSIGNED_LONGS_EQUAL(1, forwards.memory.refused);
    cluster.run(3000);
    STRCMP_EQUAL("unknown", cluster.outcome(first).c_str());
    UNSIGNED_LONGS_EQUAL(0, forwards.memory.used);
}

// Guards against a log that grows with each request that is refused.
TEST(KeptMemory, RefusalsAreLoggedAtMostOnceASecond)
{
    KeptMemory memory{.limit = 10};
    Actions actions;
    const MonotonicTime start{std::chrono::hours(1)};
    for (int refusal = 0; refusal < 100; ++refusal) {
        noteRefused(memory, "requests", "Requests", start + milliseconds(refusal), actions);
    }
    UNSIGNED_LONGS_EQUAL(1, actions.size());
    noteRefused(memory, "requests", "Requests", start + milliseconds(1000), actions);
    UNSIGNED_LONGS_EQUAL(2, actions.size());
    UNSIGNED_LONGS_EQUAL(101, memory.refused);
}
