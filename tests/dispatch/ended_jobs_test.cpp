#include "core/dispatch/records.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr milliseconds takeoverLimit{6000};
constexpr JobId job = 0xe7;

/// Kills the leader and waits for the next one. Returns false if none leads in time.
bool replaceLeader(World &world)
{
    const std::size_t former = world.leaderIndex();
    world.kill(former);
    const bool led = world.runUntil([&] { return world.leader() != nullptr; }, takeoverLimit);
    world.restart(former);
    return led;
}

/// A job whose cancellation is requested at both remaining daemons while there is no leader, so that the next leader
/// handles it as soon as it leads.
struct CancelledAtTakeover
{
    CancelledAtTakeover()
    {
        world.run(settleTime);
        former = world.leaderIndex();
        world.submit(former, job, spec, "batch");
        CHECK(world.runUntil([this] { return world.starts == 2; }, milliseconds(1000)));
        world.kill(former);
        std::vector<CallId> cancels;
        for (std::size_t node = 0; node < world.nodes.size(); ++node) {
            if (world.nodes[node].up) {
                cancels.push_back(world.call(node, ClientCallKind::Cancel, job, "batch"));
            }
        }
        CHECK(world.runUntil([&] { return world.leader() != nullptr; }, takeoverLimit));
        world.restart(former);
        for (const CallId cancel : cancels) {
            CHECK(world.runUntil([&] { return world.answerTo(cancel).has_value(); }, milliseconds(1000)));
            CHECK(world.answerTo(cancel)->outcome == ClientOutcome::Ok);
        }
    }

    JobSpec spec{.payload = "p", .steps = {stepOf(2, 500, milliseconds(4000))}};
    World world{3, 4};
    std::size_t former = 0;
};

const JobSpec &jobSpec()
{
    static const JobSpec spec{.payload = "p", .steps = {stepOf(2, 500, milliseconds(200))}};
    return spec;
}

/// Submits a job to a daemon and runs until its end is stored.
void runToStoredEnd(World &world, std::size_t at, JobId id)
{
    world.submit(at, id, jobSpec(), "batch");
    CHECK(world.runUntil([&] { return world.store.items.contains(endKey(id)); }, milliseconds(3000)));
}

/// A job that ended, up to the moment at which the leader begins to remove its record. The write that removes it gets
/// no reply and is repeated after its timeout.
struct RemovalWithoutReply
{
    RemovalWithoutReply()
    {
        world.run(settleTime);
        leader = world.leaderIndex();
        runToStoredEnd(world, leader, job);
        const milliseconds kept = DispatchBounds{}.keepEnded + keepEndedMargin;
        world.run(kept - milliseconds(500));
        CHECK_FALSE(isRemovalBegun());
        while (!isRemovalBegun()) {
            world.rules.lateWritePercent = 100;
            world.run(milliseconds(1));
        }
        world.rules.lateWritePercent = 0;
        CHECK(world.store.items.contains(endKey(job)));
        CHECK_EQUAL(leader, world.leaderIndex());
    }

    bool isRemovalBegun() { return world.nodes[leader].node->dispatcher->jobs.endedOrder.empty(); }

    World world{3, 4};
    std::size_t leader = 0;
};

/// Runs a job to its end, damages the record of the end and replaces the leader.
void inheritUnreadableEnd(World &world)
{
    world.run(settleTime);
    runToStoredEnd(world, world.leaderIndex(), job);
    world.store.items[endKey(job)].value = "done";
    CHECK(replaceLeader(world));
    world.run(milliseconds(500));
}

} // namespace

TEST_GROUP(DispatchEndedJobs){};

// Guards against a job that runs again after its cancellation was confirmed (issue 35): the record of its end had a
// time in 1970, the next leader removed it as outdated, and a late copy of the submission was accepted as a new job.
TEST(DispatchEndedJobs, AJobThatIsCancelledAtATakeoverIsNotAcceptedAgainByTheNextLeader)
{
    CancelledAtTakeover setup;
    World &world = setup.world;
    CHECK(replaceLeader(world));
    world.run(milliseconds(500));
    const std::size_t starts = world.starts;
    const CallId copy = world.submit(setup.former, job, setup.spec, "batch");
    world.run(milliseconds(3000));
    CHECK(world.answerTo(copy)->outcome == ClientOutcome::Ok);
    CHECK_EQUAL(starts, world.starts);
}

// Guards against the same record lost to clients: the next leader reported that a job which had just been cancelled
// does not exist.
TEST(DispatchEndedJobs, AJobThatIsCancelledAtATakeoverIsReportedByTheNextLeader)
{
    CancelledAtTakeover setup;
    CHECK(replaceLeader(setup.world));
    setup.world.run(milliseconds(500));
    const auto answer = setup.world.ask(setup.former, ClientCallKind::Query, job);
    CHECK(answer && answer->outcome == ClientOutcome::Ok);
    CHECK(answer->state == JobState::Cancelled);
}

// Guards against the removal of a record by another daemon's time of day: an end that was recorded while the leader's
// clock was behind, or that is judged by one that is ahead, was removed at once, and its job was accepted again.
TEST(DispatchEndedJobs, TimesOfDayThatDifferDoNotRemoveRecords)
{
    for (const milliseconds offset : {std::chrono::hours(-1), std::chrono::hours(1)}) {
        World world(3, 4);
        world.run(settleTime);
        const std::size_t former = world.leaderIndex();
        for (std::size_t node = 0; node < world.nodes.size(); ++node) {
            world.nodes[node].wallOffset = node == former ? offset : -offset;
        }
        runToStoredEnd(world, former, job);
        CHECK(replaceLeader(world));
        world.run(milliseconds(1000));
        CHECK(world.store.items.contains(endKey(job)));
        const std::size_t starts = world.starts;
        world.submit(former, job, jobSpec(), "batch");
        world.run(milliseconds(3000));
        CHECK_EQUAL(starts, world.starts);
        checkNoViolations(world);
    }
}

// Guards against an ended job that clients are told does not exist within the promised time, after two changes of
// leader.
TEST(DispatchEndedJobs, EndsAreReportedForThePromisedTimeAfterChangesOfLeader)
{
    World world(3, 4);
    world.run(settleTime);
    runToStoredEnd(world, 0, job);
    const milliseconds endedAt = world.time;
    CHECK(replaceLeader(world));
    world.run(milliseconds(20000));
    CHECK(replaceLeader(world));
    while (world.time < endedAt + DispatchBounds{}.keepEnded - milliseconds(5000)) {
        const auto answer = world.ask(0, ClientCallKind::Query, job);
        CHECK(answer && answer->outcome == ClientOutcome::Ok && answer->state == JobState::Done);
        world.run(milliseconds(5000));
    }
}

// Guards against records that pile up because each new leader counts their age anew.
TEST(DispatchEndedJobs, RecordsAreRemovedWhileLeadersChange)
{
    World world(3, 4);
    world.run(settleTime);
    runToStoredEnd(world, 0, job);
    const milliseconds endedAt = world.time;
    constexpr int changes = 12;
    constexpr milliseconds lostByChange{10000};
    const milliseconds limit = DispatchBounds{}.keepEnded + keepEndedMargin + changes * lostByChange;
    for (int i = 0; i < changes; ++i) {
        world.run(milliseconds(15000));
        CHECK(replaceLeader(world));
        CHECK(world.time >= endedAt + DispatchBounds{}.keepEnded || world.store.items.contains(endKey(job)));
    }
    CHECK(world.runUntil([&] { return !world.store.items.contains(endKey(job)); }, endedAt + limit - world.time));
}

// Guards against a leader that steps down because a client asks for a job whose record it is removing itself.
TEST(DispatchEndedJobs, AQueryDuringTheRemovalOfARecordDoesNotDeposeTheLeader)
{
    RemovalWithoutReply setup;
    World &world = setup.world;
    world.call(setup.leader, ClientCallKind::Query, job, "batch");
    world.run(milliseconds(50));
    CHECK_EQUAL(setup.leader, world.leaderIndex());
}

// Guards against the removal of a newer end: the id was accepted again while the removal of its record was delayed, and
// the removal deleted the record of the second end.
TEST(DispatchEndedJobs, ADelayedRemovalDoesNotDeleteALaterEndOfTheSameId)
{
    RemovalWithoutReply setup;
    World &world = setup.world;
    const std::size_t starts = world.starts;
    world.submit(setup.leader, job, jobSpec(), "batch");
    CHECK(world.runUntil([&] { return !world.store.items.contains(endKey(job)); }, milliseconds(8000)));
    world.run(milliseconds(1000));
    CHECK_EQUAL(starts, world.starts);
    runToStoredEnd(world, setup.leader, job);
    CHECK_EQUAL(starts + 2, world.starts);
    world.run(milliseconds(8000));
    CHECK(world.store.items.contains(endKey(job)));
}

// Guards against an id that counts as unused because the record of its end has a value that this version can't read.
TEST(DispatchEndedJobs, AnEndThatCannotBeReadStillKeepsItsIdFromBeingAccepted)
{
    World world(3, 4);
    inheritUnreadableEnd(world);
    const std::size_t starts = world.starts;
    world.submit(world.leaderIndex(), job, jobSpec(), "batch");
    world.run(milliseconds(2000));
    CHECK_EQUAL(starts, world.starts);
}

// Guards against a leader that steps down whenever a client asks for such an id.
TEST(DispatchEndedJobs, AQueryOfAnEndThatCannotBeReadDoesNotDeposeTheLeader)
{
    World world(3, 4);
    inheritUnreadableEnd(world);
    const std::size_t leader = world.leaderIndex();
    world.call(leader, ClientCallKind::Query, job, "batch");
    world.run(milliseconds(100));
    CHECK_EQUAL(leader, world.leaderIndex());
}

// Guards against a record of observed revisions that grows with each change of leader: a leader that lasts for less
// than the interval of the observations adds one and lets the others age by almost nothing.
TEST(DispatchEndedJobs, TheRecordOfObservationsIsBoundedWhileLeadersChangeFast)
{
    World world(3, 4);
    world.run(settleTime);
    runToStoredEnd(world, world.leaderIndex(), job);
    constexpr int changes = 60;
    for (int i = 0; i < changes; ++i) {
        world.run(milliseconds(4000));
        CHECK(replaceLeader(world));
    }
    world.run(milliseconds(1000));
    constexpr std::ptrdiff_t mostObservations = 30;
    CHECK(std::ranges::count(world.store.items[std::string(retentionKey)].value, ':') <= mostObservations);
}

// Guards against a successor that takes a recent end for as old as the first one that former leaders observed.
TEST(DispatchEndedJobs, ARecentEndIsKeptBesideOldOnes)
{
    World world(3, 4);
    world.run(settleTime);
    const milliseconds kept = DispatchBounds{}.keepEnded + keepEndedMargin;
    const milliseconds since = world.time;
    JobId last = job;
    for (; world.time < since + kept + milliseconds(20000); ++last) {
        world.submit(world.leaderIndex(), last, jobSpec(), "batch");
        world.run(milliseconds(10000));
    }
    runToStoredEnd(world, world.leaderIndex(), last);
    CHECK(replaceLeader(world));
    world.run(milliseconds(1000));
    CHECK(world.store.items.contains(endKey(last)));
}
