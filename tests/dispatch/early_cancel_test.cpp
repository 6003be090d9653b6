#include "core/dispatch/records.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr milliseconds freezeTime{4000};
/// The client of the submission still waits when its daemon wakes.
constexpr milliseconds patience{10000};
constexpr JobId job = 0xf1;

const JobSpec &jobSpec()
{
    static const JobSpec spec{.payload = "p", .steps = {stepOf(2, 500, milliseconds(1000))}};
    return spec;
}

/// A job that is submitted at a daemon whose process stands still, and cancelled at the leader.
struct CancelledWhileItsDaemonStandsStill
{
    CancelledWhileItsDaemonStandsStill()
    {
        world.run(settleTime);
        leader = world.leaderIndex();
        entry = (leader + 1) % world.nodes.size();
        world.pause(entry, freezeTime);
        submission = world.submit(entry, job, jobSpec(), "batch", patience);
        const auto answer = world.ask(leader, ClientCallKind::Cancel, job);
        CHECK(answer && answer->outcome == ClientOutcome::NoSuchJob);
    }

    World world{3, 4};
    std::size_t leader = 0;
    std::size_t entry = 0;
    CallId submission = 0;
};

} // namespace

TEST_GROUP(DispatchEarlyCancel){};

// Guards against a job that starts seconds after its cancellation was confirmed (review/10): its submission waited in a
// daemon that stood still, and the leader accepted it as new because it kept nothing of the cancellation.
TEST(DispatchEarlyCancel, ASubmissionThatIsForwardedLaterIsRefused)
{
    CancelledWhileItsDaemonStandsStill setup;
    World &world = setup.world;
    world.run(freezeTime + milliseconds(4000));
    CHECK_EQUAL(0, world.starts);
    CHECK(world.answerTo(setup.submission)->outcome == ClientOutcome::Refused);
    // A client that was refused learns when the id may be used again.
    CHECK(world.answerTo(setup.submission)->retryAfter >= DispatchBounds{}.keepEnded);
}

// Guards against the same start by a successor, which has only the store's records.
TEST(DispatchEarlyCancel, ASubmissionThatReachesTheNextLeaderIsRefused)
{
    CancelledWhileItsDaemonStandsStill setup;
    World &world = setup.world;
    world.kill(setup.leader);
    world.run(freezeTime + milliseconds(4000));
    CHECK_EQUAL(0, world.starts);
    const CallId copy = world.submit(setup.entry, job, jobSpec(), "batch");
    world.run(milliseconds(3000));
    CHECK_EQUAL(0, world.starts);
    CHECK(world.answerTo(copy)->outcome == ClientOutcome::Refused);
}

// Guards against a record of the cancellation that makes clients see a job that nobody submitted.
TEST(DispatchEarlyCancel, AJobThatWasNotSubmittedIsNotShown)
{
    CancelledWhileItsDaemonStandsStill setup;
    World &world = setup.world;
    const auto isUnknown = [&] {
        for (const ClientCallKind kind : {ClientCallKind::Query, ClientCallKind::Cancel}) {
            const auto answer = world.ask(setup.leader, kind, job);
            if (!answer || answer->outcome != ClientOutcome::NoSuchJob) {
                return false;
            }
        }
        return true;
    };
    CHECK(isUnknown());
    world.kill(setup.leader);
    CHECK(world.runUntil([&] { return world.leader() != nullptr; }, milliseconds(6000)));
    world.restart(setup.leader);
    world.run(settleTime);
    CHECK(isUnknown());
}

// Guards against a cancellation that is confirmed before it is stored: a leader lost at that moment takes it along.
TEST(DispatchEarlyCancel, IsConfirmedOnlyOnceItIsStored)
{
    World world(3, 4);
    world.run(settleTime);
    world.store.unresponsive = true;
    const std::size_t leader = world.leaderIndex();
    const CallId first = world.call(leader, ClientCallKind::Cancel, job, "batch");
    world.run(milliseconds(50));
    const CallId second = world.call(leader, ClientCallKind::Cancel, job, "batch");
    world.run(milliseconds(200));
    CHECK_FALSE(world.answerTo(first).has_value());
    CHECK_FALSE(world.answerTo(second).has_value());
    world.store.unresponsive = false;
    world.run(milliseconds(2000));
    CHECK(world.answerTo(first)->outcome == ClientOutcome::NoSuchJob);
    CHECK(world.answerTo(second)->outcome == ClientOutcome::NoSuchJob);
    CHECK(world.store.items.contains(endKey(job)));
}

// Guards against a cancellation that is confirmed because the submission was never sent to the store: another copy of
// the submission may be accepted later.
TEST(DispatchEarlyCancel, OfASubmissionThatTheStoreDidNotTakeIsNotConfirmed)
{
    World world(3, 4);
    world.run(settleTime);
    const std::size_t leader = world.leaderIndex();
    world.store.refusedNodes = {0, 1, 2};
    const CallId submission = world.submit(leader, job, jobSpec(), "batch");
    world.run(milliseconds(100));
    const CallId cancel = world.call(leader, ClientCallKind::Cancel, job, "batch");
    world.run(milliseconds(900));
    CHECK(world.answerTo(submission)->outcome == ClientOutcome::Refused);
    CHECK(world.answerTo(cancel)->outcome == ClientOutcome::Unknown);
}

// Guards against ids that stay used for good after a cancellation without a job.
TEST(DispatchEarlyCancel, TheIdCanBeUsedAgainAfterTheRetentionTime)
{
    CancelledWhileItsDaemonStandsStill setup;
    World &world = setup.world;
    world.run(DispatchBounds{}.keepEnded + keepEndedMargin + milliseconds(5000));
    CHECK_FALSE(world.store.items.contains(endKey(job)));
    world.submit(setup.entry, job, jobSpec(), "batch");
    CHECK(world.runUntil([&] { return world.starts == 2; }, milliseconds(1000)));
}
