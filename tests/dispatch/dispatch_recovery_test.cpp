#include "core/dispatch/records.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};

bool isDone(World &world, std::size_t at, JobId id)
{
    const auto answer = world.ask(at, ClientCallKind::Query, id);
    return answer && answer->outcome == ClientOutcome::Ok && answer->state == JobState::Done;
}

JobSpec oneStep(std::uint32_t count, std::int64_t cpuMilli, milliseconds estimate)
{
    return {.payload = "p", .steps = {stepOf(count, cpuMilli, estimate)}};
}

bool isAccepted(const World &world, CallId call)
{
    const auto answer = world.answerTo(call);
    return answer && answer->outcome == ClientOutcome::Ok;
}

std::size_t otherThan(std::size_t leader)
{
    return leader == 0 ? 1 : 0;
}

void checkPromises(const World &world)
{
    for (const std::string &violation : world.violations) {
        FAIL(violation.c_str());
    }
}

} // namespace

TEST_GROUP(DispatchRecovery){};

// Guards against a path that is broken from end to end: accept, store, start, end, show.
TEST(DispatchRecovery, AJobRunsAndIsShownAsDone)
{
    World world(3, 4);
    world.run(settleTime);
    const CallId call = world.submit(1, 0xa, oneStep(6, 1000, milliseconds(300)), "batch");
    world.run(milliseconds(100));
    CHECK(isAccepted(world, call));
    world.run(milliseconds(1500));
    CHECK(isDone(world, 2, 0xa));
    CHECK_EQUAL(6, world.starts);
    checkPromises(world);
}

// Guards against a follower that is cut off for good because its connection was open before the claim.
TEST(DispatchRecovery, EveryDaemonServesClientsAfterTheFirstClaim)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        World world(5, 2, seed);
        world.run(settleTime);
        for (std::size_t node = 0; node < world.nodes.size(); ++node) {
            const CallId call = world.submit(node, 0x100 + node, oneStep(1, 100, milliseconds(50)), "urgent");
            world.run(milliseconds(200));
            CHECK(isAccepted(world, call));
        }
    }
}

// Guards against a second run of what a killed leader had started, and against a lost job.
TEST(DispatchRecovery, AKilledLeadersRunsGoOnUnderTheNext)
{
    World world(3, 4);
    world.run(settleTime);
    const std::size_t first = world.leaderIndex();
    const CallId call = world.submit(first, 0xb, oneStep(8, 1000, milliseconds(2500)), "batch");
    world.run(milliseconds(500));
    CHECK(isAccepted(world, call));
    world.kill(first);
    world.run(milliseconds(1000));
    CHECK(world.leader() != nullptr);
    world.run(milliseconds(3000));
    CHECK(isDone(world, otherThan(first), 0xb));
    CHECK_EQUAL(8, world.starts);
    checkPromises(world);
}

// Guards against a new leader that settles without workers which the directory forgot while the store was away: they
// hold finished runs, which would be run again.
TEST(DispatchRecovery, WorkersMissingFromTheDirectoryAreHeardBeforeAnythingStartsAgain)
{
    World world(3, 4);
    world.run(settleTime);
    const std::size_t first = world.leaderIndex();
    world.submit(first, 0xc, oneStep(8, 1000, milliseconds(1500)), "batch");
    world.run(milliseconds(800));
    for (WorldWorker &worker : world.workers) {
        worker.unlisted = true;
    }
    world.kill(first);
    world.run(milliseconds(2000));
    for (WorldWorker &worker : world.workers) {
        worker.unlisted = false;
    }
    world.run(milliseconds(4000));
    CHECK(isDone(world, otherThan(first), 0xc));
    CHECK_EQUAL(8, world.starts);
    checkPromises(world);
}

// Guards against failures that a new leader counts twice, or not at all: the job must fail after exactly two runs.
TEST(DispatchRecovery, FailedRunsCountOnceAcrossLeaders)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        World world(3, 4, seed);
        world.actualRun
            = [](const TaskKey &, std::uint32_t) { return WorldRun{.work = milliseconds(400), .willFail = true}; };
        world.run(settleTime);
        const std::size_t first = world.leaderIndex();
        world.submit(first, 0xd, oneStep(1, 1000, milliseconds(400)), "batch");
        world.run(milliseconds(300 + 40 * static_cast<int>(seed)));
        world.kill(first);
        world.run(milliseconds(9000));
        const auto answer = world.ask(otherThan(first), ClientCallKind::Query, 0xd);
        CHECK(answer && answer->state == JobState::Failed);
        CHECK_EQUAL(2, world.starts);
        checkPromises(world);
    }
}

// Guards against runs of a worker that is gone which are never given up, because each failed look moved its lease.
TEST(DispatchRecovery, RunsOfAWorkerThatIsGoneAreStartedElsewhere)
{
    World world(3, 3);
    world.run(settleTime);
    world.submit(0, 0xe, oneStep(9, 1000, milliseconds(1500)), "batch");
    world.run(milliseconds(700));
    world.crashWorker(0);
    CHECK(world.runUntil([&] { return isDone(world, 1, 0xe); }, milliseconds(12000)));
    checkPromises(world);
}

// Guards against a run that is started elsewhere while a silent worker still runs it.
TEST(DispatchRecovery, ASilentWorkersRunsWaitForItsLease)
{
    World world(3, 3);
    world.run(settleTime);
    world.submit(0, 0xf, oneStep(9, 1000, milliseconds(9000)), "batch");
    world.run(milliseconds(700));
    world.workers[0].unresponsive = true;
    world.run(milliseconds(25000));
    CHECK(isDone(world, 1, 0xf));
    checkPromises(world);
}

// Guards against work lost or doubled when all daemons lose power at once and the store forgets leases.
TEST(DispatchRecovery, AllDaemonsMayGoAtOnce)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        World world(4, 4, seed);
        world.run(settleTime);
        for (JobId id = 1; id <= 6; ++id) {
            world.submit(id % 4, id, oneStep(3, 1000, milliseconds(700)), id % 2 == 0 ? "urgent" : "batch");
        }
        world.run(milliseconds(200 + 100 * static_cast<int>(seed)));
        for (std::size_t node = 0; node < world.nodes.size(); ++node) {
            world.kill(node);
        }
        world.run(milliseconds(1500));
        for (std::size_t node = 0; node < world.nodes.size(); ++node) {
            world.restart(node);
        }
        world.run(milliseconds(14000));
        for (JobId id = 1; id <= 6; ++id) {
            CHECK(isDone(world, 0, id));
        }
        checkPromises(world);
    }
}

// Guards against an acceptance that is refused although the write took effect, and against writes that are applied
// twice or in the wrong order when answers are lost.
TEST(DispatchRecovery, LostAnswersOfTheStoreChangeNothing)
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        World world(3, 4, seed);
        world.run(settleTime);
        world.store.lostReplyPercent = 40;
        std::vector<CallId> calls;
        for (JobId id = 1; id <= 10; ++id) {
            calls.push_back(world.submit(id % 3, id, oneStep(2, 500, milliseconds(300)), "urgent"));
            world.run(milliseconds(100));
        }
        world.run(milliseconds(3000));
        world.store.lostReplyPercent = 0;
        world.run(milliseconds(5000));
        for (std::size_t i = 0; i < calls.size(); ++i) {
            const auto answer = world.answerTo(calls[i]);
            CHECK(answer.has_value());
            if (answer->outcome == ClientOutcome::Ok) {
                CHECK(isDone(world, 0, i + 1));
            }
        }
        checkPromises(world);
    }
}

// Guards against jobs that are held until their deadline, or run although they were refused, while the store is away.
TEST(DispatchRecovery, AnAbsentStoreIsToldAtOnceAndTruthfully)
{
    World world(3, 4);
    world.run(settleTime);
    world.store.down = true;
    world.run(milliseconds(2500));
    const CallId call = world.submit(0, 0x21, oneStep(1, 500, milliseconds(200)), "urgent");
    world.run(milliseconds(300));
    const auto answer = world.answerTo(call);
    CHECK(answer && answer->outcome == ClientOutcome::Refused);
    CHECK(answer->retryAfter.count() > 0);
    world.store.down = false;
    world.run(milliseconds(3000));
    CHECK_EQUAL(0, world.starts);
    const auto asked = world.ask(1, ClientCallKind::Query, 0x21);
    CHECK(asked && asked->outcome == ClientOutcome::NoSuchJob);
}

// Guards against the last try of a client that is answered as unknown at once, because little time is left for it: an
// unsafe request is not tried again after that.
TEST(DispatchRecovery, AShortDeadlineIsStillServed)
{
    World world(3, 4);
    world.run(settleTime);
    const std::size_t at = otherThan(world.leaderIndex());
    const CallId call = world.submit(at, 0x22, oneStep(1, 500, milliseconds(200)), "urgent", milliseconds(100));
    world.run(milliseconds(100));
    CHECK(isAccepted(world, call));
}

// Guards against calls that hang since an outage of the store and are waited for after its end, while new jobs are
// refused.
TEST(DispatchRecovery, JobsAreAcceptedSoonAfterASilentOutage)
{
    for (int length = 2000; length < 5000; length += 250) {
        World world(3, 4);
        world.run(settleTime);
        world.submit(0, 0x1, oneStep(2, 500, milliseconds(300)), "urgent");
        world.store.unresponsive = true;
        world.run(milliseconds(length));
        world.store.unresponsive = false;
        // A probe that was sent before the end of the outage has to time out first.
        world.run(milliseconds(500));
        const CallId call = world.submit(1, 0x23, oneStep(1, 500, milliseconds(200)), "urgent");
        world.run(milliseconds(150));
        CHECK(isAccepted(world, call));
    }
}

// Guards against an accepted job that the next leader does not know, because the store revoked all leases.
TEST(DispatchRecovery, EndedJobsOutliveRevokedLeases)
{
    World world(3, 4);
    world.run(settleTime);
    const std::size_t first = world.leaderIndex();
    world.submit(0, 0x24, oneStep(1, 500, milliseconds(200)), "urgent");
    world.run(milliseconds(1000));
    CHECK(isDone(world, 0, 0x24));
    for (auto &[lease, ends] : world.store.leases) {
        ends.first = world.time;
    }
    world.kill(first);
    world.run(milliseconds(3000));
    CHECK(isDone(world, otherThan(first), 0x24));
}

// Guards against records of ended jobs that stay in the store for ever, also after a change of the leader.
TEST(DispatchRecovery, RecordsOfEndedJobsAreRemovedInTime)
{
    World world(3, 4);
    world.run(settleTime);
    world.submit(0, 0x25, oneStep(1, 500, milliseconds(200)), "urgent");
    world.run(milliseconds(1000));
    const milliseconds kept = DispatchBounds{}.keepEnded;
    world.run(kept - milliseconds(10000));
    CHECK(world.store.items.contains(endKey(0x25)));
    world.kill(world.leaderIndex());
    world.run(milliseconds(8000));
    CHECK(world.store.items.contains(endKey(0x25)));
    world.run(milliseconds(30000));
    CHECK_FALSE(world.store.items.contains(endKey(0x25)));
}

// Guards against a task that runs twice because its worker was born anew under the same id while the start was on its
// way: the new life carries the start out, and the leader takes the run for lost with the life before. Found by the
// soak, seed 105.
TEST(DispatchRecovery, AStartThatReachesTheNextLifeOfAWorkerIsNotRepeatedElsewhere)
{
    for (int moment = 50; moment < 900; moment += 25) {
        World world(3, 3);
        world.run(settleTime);
        world.startDelay = milliseconds(900);
        world.submit(0, 0x26, oneStep(6, 1000, milliseconds(1500)), "urgent");
        world.run(milliseconds(moment));
        world.startDelay = milliseconds(0);
        world.crashWorker(0);
        world.restartWorker(0);
        world.run(milliseconds(8000));
        CHECK(isDone(world, 0, 0x26));
        checkPromises(world);
    }
}

// Guards against a former leader that has not noticed its successor, because the store does not answer it, and says of
// a job that the successor has accepted that it doesn't exist. Found by the soak, seed 1004.
TEST(DispatchRecovery, AFormerLeaderDoesNotSayThatAJobDoesNotExist)
{
    World world(1, 4);
    world.run(settleTime);
    Node &former = *world.nodes[world.leaderIndex()].node;
    world.store.refusedNodes.insert(world.leaderIndex());
    world.run(milliseconds(1100));
    const Now later = world.now();
    const CallId call = former.outbox.newCall();
    CHECK(former.dispatcher != nullptr);
    handleClientCall(*former.dispatcher, {.call = call, .kind = ClientCallKind::Query, .job = 0x77}, later);
    const Action &last = former.outbox.actions.back();
    CHECK(std::get<LeaderAnswer>(last).answer.outcome == ClientOutcome::Unknown);
}

// Guards against a start without an answer that is stopped again and again, each time before the list that would show
// that it came to nothing: its task waited 8 s. Found by the soak, seed 1012.
TEST(DispatchRecovery, AStoppedStartIsSettledByTheNextLists)
{
    for (int moment = 50; moment < 900; moment += 25) {
        World world(3, 3);
        world.run(settleTime);
        // A long task, so that looks at the worker are held back.
        world.submit(0, 0x28, oneStep(3, 1000, milliseconds(20000)), "batch");
        world.run(milliseconds(300));
        world.startDelay = milliseconds(60000);
        world.submit(0, 0x29, oneStep(6, 1000, milliseconds(300)), "urgent");
        world.run(milliseconds(moment));
        world.startDelay = milliseconds(0);
        world.crashWorker(0);
        world.restartWorker(0);
        // The directory is read every 600 ms, and a look is held back for 1.2 s.
        world.run(milliseconds(600 + 2 * 1200 + 300 + 500));
        const Worker &worker = world.leader()->dispatcher->workers.workers[0];
        for (const auto &[key, run] : worker.runs) {
            CHECK(run.phase != RunPhase::Stopping);
        }
    }
}

// Guards against a retry of a submission that becomes a second job, also after a change of leader and after the end.
TEST(DispatchRecovery, ARetriedSubmissionStaysOneJob)
{
    World world(3, 4);
    world.run(settleTime);
    const std::size_t first = world.leaderIndex();
    world.submit(0, 0x31, oneStep(2, 500, milliseconds(200)), "urgent");
    world.submit(1, 0x31, oneStep(2, 500, milliseconds(200)), "urgent");
    world.run(milliseconds(1500));
    world.kill(first);
    world.run(milliseconds(2500));
    const CallId again = world.submit(otherThan(first), 0x31, oneStep(2, 500, milliseconds(200)), "urgent");
    world.run(milliseconds(1500));
    CHECK(isAccepted(world, again));
    CHECK_EQUAL(2, world.starts);
    checkPromises(world);
}

// Guards against a cancelled job that runs on, or comes back under another leader.
TEST(DispatchRecovery, ACancelledJobStaysCancelled)
{
    World world(3, 4);
    world.run(settleTime);
    const std::size_t first = world.leaderIndex();
    world.submit(0, 0x41, oneStep(4, 1000, milliseconds(5000)), "batch");
    world.run(milliseconds(500));
    const auto cancelled = world.ask(1, ClientCallKind::Cancel, 0x41);
    CHECK(cancelled && cancelled->outcome == ClientOutcome::Ok);
    world.kill(first);
    world.run(milliseconds(3000));
    for (const WorldWorker &worker : world.workers) {
        CHECK(worker.runs.empty());
    }
    const auto answer = world.ask(otherThan(first), ClientCallKind::Query, 0x41);
    CHECK(answer && answer->state == JobState::Cancelled);
    CHECK_EQUAL(4, world.starts);
}

// Guards against ends that only workers keep, because the store turns the leader away while it serves the others: a
// worker that is lost then takes them along, and its tasks run again.
TEST(DispatchRecovery, ALeaderThatTheStoreTurnsAwayIsReplaced)
{
    World world(3, 4);
    world.run(settleTime);
    const std::size_t first = world.leaderIndex();
    world.submit(otherThan(first), 0x51, oneStep(4, 1000, milliseconds(400)), "batch");
    world.run(milliseconds(200));
    world.store.refusedNodes.insert(first);
    world.run(milliseconds(1800));
    CHECK(world.leaderIndex() != first);
    for (std::size_t worker = 0; worker < world.workers.size(); ++worker) {
        world.crashWorker(worker);
        world.restartWorker(worker);
    }
    world.run(milliseconds(6000));
    CHECK(isDone(world, otherThan(first), 0x51));
    CHECK_EQUAL(4, world.starts);
    checkPromises(world);
}

// Guards against an end that a client is told although only workers keep it: the store is away, the workers lose power,
// and the next leader, which never heard of the end, runs the task again.
TEST(DispatchRecovery, AnEndIsNotShownBeforeItIsStored)
{
    World world(3, 4);
    world.run(settleTime);
    world.submit(0, 0x61, oneStep(2, 1000, milliseconds(400)), "urgent");
    world.run(milliseconds(200));
    world.store.unresponsive = true;
    for (int i = 0; i < 8; ++i) {
        world.run(milliseconds(400));
        CHECK_FALSE(isDone(world, world.leaderIndex(), 0x61));
    }
    world.store.unresponsive = false;
    world.run(milliseconds(1500));
    CHECK(isDone(world, world.leaderIndex(), 0x61));
    CHECK(world.store.items.contains(endKey(0x61)));
    checkPromises(world);
}

// Guards against a former leader that claims again after its successor is gone, too: it doesn't know of the ends that
// the successor has stored and acknowledged, takes their runs for lost and starts them again under the highest token.
TEST(DispatchRecovery, ALeaderDoesNotClaimAgainAfterAnotherHasLed)
{
    World world(2, 4);
    world.run(settleTime);
    const std::size_t former = world.leaderIndex();
    const std::size_t successor = otherThan(former);
    world.submit(former, 0x71, oneStep(4, 1000, milliseconds(1500)), "batch");
    world.submit(former, 0x72, oneStep(2, 1000, milliseconds(20000)), "batch");
    world.run(milliseconds(500));
    world.nodes[former].paused = true;
    world.nodes[former].dropsPeerMessages = true;
    world.run(milliseconds(2500));
    CHECK_EQUAL(successor, world.leaderIndex());
    CHECK(isDone(world, successor, 0x71));
    world.run(milliseconds(500));
    world.kill(successor);
    world.run(milliseconds(1500));
    const std::uint64_t successorToken = world.store.items.at(chainKey(0)).revision;
    // The workers don't tell the former leader of the newer token before it has claimed again.
    for (WorldWorker &worker : world.workers) {
        worker.unresponsive = true;
    }
    world.nodes[former].paused = false;
    for (int i = 0; i < 1000; ++i) {
        world.run(milliseconds(1));
        const Node &node = *world.nodes[former].node;
        const bool hasNewToken = isLeading(node) && node.dispatcher->token > successorToken;
        CHECK_FALSE(hasNewToken && node.dispatcher->jobs.live.contains(0x71));
    }
    for (WorldWorker &worker : world.workers) {
        worker.unresponsive = false;
    }
    world.run(milliseconds(9000));
    CHECK(isDone(world, former, 0x71));
    checkPromises(world);
}

// Guards against an acknowledgement that was meant for the life before: a worker that is born anew under its id counts
// its ends from 1 again, forgets those that nobody has heard, and their tasks run again.
TEST(DispatchRecovery, ANewLifeIsNotToldToForgetItsEnds)
{
    for (int work = 40; work < 100; work += 10) {
        World world(3, 1);
        world.actualRun = [work](const TaskKey &, std::uint32_t) { return WorldRun{.work = milliseconds(work)}; };
        world.run(settleTime);
        world.submit(0, 0x81, oneStep(3, 1000, milliseconds(400)), "urgent");
        world.run(milliseconds(2500));
        CHECK(isDone(world, 0, 0x81));
        world.crashWorker(0);
        world.restartWorker(0);
        world.workers[0].dropsReplies = true;
        world.submit(0, 0x82, oneStep(2, 1000, milliseconds(400)), "urgent");
        world.run(milliseconds(300));
        world.workers[0].dropsReplies = false;
        world.run(milliseconds(9000));
        CHECK(isDone(world, 0, 0x82));
        checkPromises(world);
    }
}

// Guards against a look that was sent to the life before and is carried out late: its acknowledgement removes ends of
// the new life.
TEST(DispatchRecovery, ALateLookDoesNotRemoveEndsOfTheNextLife)
{
    for (int late = 1500; late < 3500; late += 10) {
        World world(3, 1);
        world.actualRun = [](const TaskKey &task, std::uint32_t) {
            return WorldRun{.work = milliseconds(task.step.job == 0x92 ? 20000 : 400 + 40 * task.index)};
        };
        world.run(settleTime);
        world.submit(0, 0x91, oneStep(3, 500, milliseconds(400)), "batch");
        world.submit(0, 0x92, oneStep(1, 500, milliseconds(20000)), "batch");
        world.run(milliseconds(1000));
        CHECK(isDone(world, 0, 0x91));
        world.renewalDelay = milliseconds(late);
        world.run(milliseconds(1300));
        world.renewalDelay = milliseconds(0);
        world.crashWorker(0);
        world.restartWorker(0);
        for (JobId job = 0xa0; job < 0xa6; ++job) {
            world.run(milliseconds(300));
            world.submit(0, job, oneStep(2, 500, milliseconds(400)), "batch");
        }
        world.run(milliseconds(6000));
        for (JobId job = 0xa0; job < 0xa6; ++job) {
            CHECK(isDone(world, 0, job));
        }
        checkPromises(world);
    }
}

// Guards against workers that the next leader does not hear, because the record of workers was not stored before the
// first start there: the store is away, the directory forgets them, and what they run starts again.
TEST(DispatchRecovery, AWorkerIsRecordedBeforeItsFirstStart)
{
    World world(3, 2);
    world.workers[1].unlisted = true;
    world.run(settleTime);
    world.workers[1].unlisted = false;
    world.submit(0, 0xb1, oneStep(8, 1000, milliseconds(3000)), "batch");
    CHECK(world.runUntil([&] { return !world.workers[1].runs.empty(); }, milliseconds(5000)));
    std::string problem;
    const auto recorded = decodeWorkers(world.store.items.at(std::string(workersKey)).value, problem);
    CHECK_EQUAL(2, recorded.size());
}

// Guards against a second copy of a start that was sent because the first had no answer: the run ends and is
// acknowledged, the worker is born anew under its id, and the copy starts the task again.
TEST(DispatchRecovery, ACopyOfAStartDoesNotRunAgainInTheNextLife)
{
    for (int late = 500; late < 1500; late += 50) {
        World world(3, 1);
        world.actualRun = [](const TaskKey &, std::uint32_t) { return WorldRun{.work = milliseconds(100)}; };
        world.run(settleTime);
        world.startDelay = milliseconds(420);
        world.submit(0, 0xc7, oneStep(1, 1000, milliseconds(100)), "urgent");
        world.run(milliseconds(200));
        world.startDelay = milliseconds(late);
        world.run(milliseconds(late + 150));
        world.startDelay = milliseconds(0);
        world.crashWorker(0);
        world.restartWorker(0);
        world.run(milliseconds(4000));
        CHECK(isDone(world, 0, 0xc7));
        checkPromises(world);
    }
}

// Guards against two runs of one task on both sides of a cut: a leader that reaches neither the store nor its successor
// goes on renewing the leases of workers that the successor can't hear, while the successor waits no longer than a
// lease from its own claim on.
TEST(DispatchRecovery, ALeaderWithoutAClaimDoesNotKeepRunsThatItsSuccessorCannotHear)
{
    World world(2, 4);
    world.run(settleTime);
    const std::size_t former = world.leaderIndex();
    const std::size_t successor = otherThan(former);
    world.submit(former, 0xc1, oneStep(2, 1000, milliseconds(15000)), "batch");
    world.run(milliseconds(500));
    world.store.refusedNodes.insert(former);
    world.nodes[former].dropsPeerMessages = true;
    world.nodes[successor].dropsPeerMessages = true;
    for (WorldWorker &worker : world.workers) {
        if (!worker.runs.empty()) {
            worker.unreachableFrom.insert(successor);
        }
    }
    world.run(milliseconds(9000));
    CHECK_EQUAL(successor, world.leaderIndex());
    checkPromises(world);
}

// Guards against the end of a gang's member that no record waits for any more, because the list came after the record
// of the other member's end was queued: the end is never acknowledged while the job's next step runs.
TEST(DispatchRecovery, EndsOfAllMembersOfAGangAreAcknowledged)
{
    World world(3, 4);
    world.actualRun = [](const TaskKey &task, std::uint32_t) {
        return WorldRun{.work = milliseconds(task.step.step == 1 ? 20000 : 400 + 200 * task.index)};
    };
    world.run(settleTime);
    StepSpec gang = stepOf(2, 3000, milliseconds(400));
    gang.gang = true;
    StepSpec next = stepOf(1, 1000, milliseconds(20000));
    next.after = {0};
    world.submit(0, 0xc2, {.payload = "p", .steps = {gang, next}}, "batch");
    world.run(milliseconds(6000));
    for (const WorldWorker &worker : world.workers) {
        CHECK_EQUAL(0, worker.ends.size());
    }
}

// Guards against looks that follow each other without a pause while the store is away and a worker that was born anew
// waits for a higher token: each look is priced.
TEST(DispatchRecovery, LooksAtANewLifeArePacedWhileTheStoreIsAway)
{
    World world(3, 1);
    world.actualRun = [](const TaskKey &, std::uint32_t) { return WorldRun{.work = milliseconds(20000)}; };
    world.run(settleTime);
    world.startDelay = milliseconds(60);
    world.submit(0, 0xc3, oneStep(1, 1000, milliseconds(20000)), "batch");
    world.run(milliseconds(40));
    world.crashWorker(0);
    world.restartWorker(0);
    world.store.unresponsive = true;
    world.run(milliseconds(400));
    CHECK_EQUAL(1, world.workers[0].runs.size());
    const std::size_t before = world.renewals;
    world.run(milliseconds(2000));
    CHECK(world.renewals - before < 20);
}

// Guards against ends that don't fit into one list: a worker shows 500 at a time, and runs that have ended beyond those
// are taken for lost and started again while the store is away.
TEST(DispatchRecovery, RunsWhoseEndsDoNotFitIntoTheListAreNotLost)
{
    World world(3, 2);
    world.run(settleTime);
    StepSpec small = stepOf(1200, 5, milliseconds(1500));
    small.size.memoryMib = 1;
    world.submit(0, 0xc4, {.payload = "p", .steps = {small}}, "batch");
    world.run(milliseconds(1000));
    world.store.unresponsive = true;
    world.run(milliseconds(4000));
    world.store.unresponsive = false;
    world.run(milliseconds(6000));
    CHECK_EQUAL(1200, world.starts);
    checkPromises(world);
}

// Guards against a leader that resigns because of its own write: the answer to a claim under a new token was lost, and
// the claim's lease is revoked before the next try.
TEST(DispatchRecovery, ALostAnswerToANewTokenIsNotTakenForAnotherLeader)
{
    World world(3, 2);
    world.run(settleTime);
    const std::size_t leader = world.leaderIndex();
    world.submit(leader, 0xc6, oneStep(2, 1000, milliseconds(10000)), "batch");
    world.run(milliseconds(500));
    const std::uint64_t token = world.store.items.at("wk/ctl/term").revision;
    world.store.lostReplyPercent = 100;
    world.crashWorker(1);
    world.restartWorker(1);
    CHECK(world.runUntil([&] { return world.store.items.at("wk/ctl/term").revision > token; }, milliseconds(3000)));
    for (auto &[lease, ends] : world.store.leases) {
        ends.first = world.time;
    }
    world.store.lostReplyPercent = 0;
    for (int i = 0; i < 300; ++i) {
        world.run(milliseconds(10));
        CHECK(isLeading(*world.nodes[leader].node));
    }
}

// Guards against a leader whose claim was revoked, and that the store does not answer, which says of a job that its
// successor has accepted that it doesn't exist. Found by the soak, seeds 3101 and 3212.
TEST(DispatchRecovery, ALeaderWhoseClaimWasRevokedDoesNotDenyJobsOfItsSuccessor)
{
    for (const bool turnsAway : {true, false}) {
        World world(2, 4);
        world.run(settleTime);
        const std::size_t former = world.leaderIndex();
        const std::size_t successor = otherThan(former);
        world.nodes[former].dropsPeerMessages = true;
        world.nodes[successor].dropsPeerMessages = true;
        world.run(milliseconds(600));
        if (turnsAway) {
            world.store.refusedNodes.insert(former);
        }
        world.store.items.erase("wk/ctl/leader");
        CHECK(world.runUntil([&] { return isLeading(*world.nodes[successor].node); }, milliseconds(900)));
        const CallId submitted = world.submit(successor, 0xd1, oneStep(1, 500, milliseconds(300)), "urgent");
        CHECK(world.runUntil([&] { return isAccepted(world, submitted); }, milliseconds(200)));
        const CallId asked = world.call(former, ClientCallKind::Query, 0xd1, "urgent");
        const CallId unknown = world.call(successor, ClientCallKind::Query, 0xd2, "urgent");
        world.run(milliseconds(2500));
        const auto answer = world.answerTo(asked);
        CHECK(!answer || answer->outcome != ClientOutcome::NoSuchJob);
        const auto other = world.answerTo(unknown);
        CHECK(other && other->outcome == ClientOutcome::NoSuchJob);
    }
}
