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

} // namespace

TEST_GROUP(DispatchRecovery){};

// Checks the whole path of a job: accepted, stored, started, ended, reported as done.
TEST(DispatchRecovery, AJobRunsAndIsReportedAsDone)
{
    World world(3, 4);
    world.run(settleTime);
    const CallId call = world.submit(1, 0xa, oneStep(6, 1000, milliseconds(300)), "batch");
    world.run(milliseconds(100));
    CHECK(isAccepted(world, call));
    world.run(milliseconds(1500));
    CHECK(isDone(world, 2, 0xa));
    CHECK_EQUAL(6, world.starts);
    checkNoViolations(world);
}

// Guards against a follower that never forwards calls because its connection was open before the leader's claim.
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

// Guards against losing jobs when the leader is killed, and against running again what it had started.
TEST(DispatchRecovery, RunsOfAKilledLeaderContinueUnderItsSuccessor)
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
    checkNoViolations(world);
}

// Guards against a new leader that completes its takeover without the workers that the directory lost while the store
// was unreachable. They hold ends of runs, which would be run again.
TEST(DispatchRecovery, WorkersMissingFromTheDirectoryAreContactedBeforeRunsAreRepeated)
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
    checkNoViolations(world);
}

// Guards against a new leader that counts failures twice or not at all. The job must fail after exactly two runs.
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
        checkNoViolations(world);
    }
}

// Guards against runs of a crashed worker that are never declared lost because each failed renewal extends their lease.
TEST(DispatchRecovery, RunsOfACrashedWorkerAreStartedElsewhere)
{
    World world(3, 3);
    world.run(settleTime);
    world.submit(0, 0xe, oneStep(9, 1000, milliseconds(1500)), "batch");
    world.run(milliseconds(700));
    world.crashWorker(0);
    CHECK(world.runUntil([&] { return isDone(world, 1, 0xe); }, milliseconds(12000)));
    checkNoViolations(world);
}

// Guards against starting a run elsewhere while an unresponsive worker still executes it.
TEST(DispatchRecovery, RunsOfAnUnresponsiveWorkerWaitUntilItsLeaseExpires)
{
    World world(3, 3);
    world.run(settleTime);
    world.submit(0, 0xf, oneStep(9, 1000, milliseconds(9000)), "batch");
    world.run(milliseconds(700));
    world.workers[0].unresponsive = true;
    world.run(milliseconds(25000));
    CHECK(isDone(world, 1, 0xf));
    checkNoViolations(world);
}

// Guards against lost or repeated work when all daemons stop at once and their leases in the store expire.
TEST(DispatchRecovery, AllDaemonsCanFailAtOnce)
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
        checkNoViolations(world);
    }
}

// Guards against rejecting a submission whose write took effect, and against writes that are applied twice or in the
// wrong order when the store's replies are lost.
TEST(DispatchRecovery, LostStoreRepliesDoNotChangeOutcomes)
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
        checkNoViolations(world);
    }
}

// Guards against submissions that wait until their deadline while the store is down, or whose jobs run although they
// were rejected.
TEST(DispatchRecovery, SubmissionsAreRejectedAtOnceWhileTheStoreIsDown)
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
    const auto state = world.ask(1, ClientCallKind::Query, 0x21);
    CHECK(state && state->outcome == ClientOutcome::NoSuchJob);
}

// Guards against answering a client's last attempt as unknown at once because little time is left. The client does not
// repeat an unsafe request after that answer.
TEST(DispatchRecovery, ASubmissionWithAShortDeadlineIsAccepted)
{
    World world(3, 4);
    world.run(settleTime);
    const std::size_t at = otherThan(world.leaderIndex());
    const CallId call = world.submit(at, 0x22, oneStep(1, 500, milliseconds(200)), "urgent", milliseconds(100));
    world.run(milliseconds(100));
    CHECK(isAccepted(world, call));
}

// Guards against waiting, after the store stopped replying for a while, for calls that were sent during the outage
// while new jobs are rejected.
TEST(DispatchRecovery, JobsAreAcceptedSoonAfterTheStoreRepliesAgain)
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

// Guards against a completed job that the next leader does not know because the store revoked all leases.
TEST(DispatchRecovery, EndedJobsAreKeptWhenLeasesAreRevoked)
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

// Guards against records of ended jobs that are never removed from the store, also after a change of leader.
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

// Guards against a task that runs twice because its worker restarted under the same id while the start was in flight:
// the new incarnation executes the start, and the leader considers the run lost with the previous incarnation.
TEST(DispatchRecovery, AStartThatReachesTheNextIncarnationIsNotRepeatedElsewhere)
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
        checkNoViolations(world);
    }
}

// Guards against a former leader that does not know of its successor, because the store does not answer it, and reports
// that a job accepted by the successor doesn't exist.
TEST(DispatchRecovery, AFormerLeaderDoesNotReportThatAJobDoesNotExist)
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

// Guards against a start without a reply that is stopped repeatedly, each time before the worker's list could show that
// the run does not exist. Its task waited 8 s.
TEST(DispatchRecovery, AStoppedStartIsResolvedByTheNextLists)
{
    for (int moment = 50; moment < 900; moment += 25) {
        World world(3, 3);
        world.run(settleTime);
        // A long task, so that the worker delays its replies to renewals.
        world.submit(0, 0x28, oneStep(3, 1000, milliseconds(20000)), "batch");
        world.run(milliseconds(300));
        world.startDelay = milliseconds(60000);
        world.submit(0, 0x29, oneStep(6, 1000, milliseconds(300)), "urgent");
        world.run(milliseconds(moment));
        world.startDelay = milliseconds(0);
        world.crashWorker(0);
        world.restartWorker(0);
        // The directory is read every 600 ms, and the reply to a renewal is delayed by up to 1.2 s.
        world.run(milliseconds(600 + 2 * 1200 + 300 + 500));
        const Worker &worker = world.leader()->dispatcher->workers.workers[0];
        for (const auto &[key, run] : worker.runs) {
            CHECK(run.phase != RunPhase::Stopping);
        }
    }
}

// Guards against a repeated submission that creates a second job, also after a change of leader and after the job's
// end.
TEST(DispatchRecovery, ARepeatedSubmissionCreatesOneJob)
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
    checkNoViolations(world);
}

// Guards against a cancelled job that continues to run, or runs again under another leader.
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

// Guards against ends that only workers hold because the store rejects the leader's calls while it serves the other
// daemons. If such a worker is lost, its ends are lost too and its tasks run again.
TEST(DispatchRecovery, ALeaderThatTheStoreRejectsIsReplaced)
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
    checkNoViolations(world);
}

// Guards against reporting an end to a client while only workers hold it. If the store is unreachable and the workers
// lose power, the next leader does not know of the end and runs the task again.
TEST(DispatchRecovery, AnEndIsNotReportedBeforeItIsStored)
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
    checkNoViolations(world);
}

// Guards against a former leader that claims again after its successor has failed. It doesn't know of the ends that the
// successor stored and acknowledged, so it would consider their runs lost and start them again under the highest token.
TEST(DispatchRecovery, ALeaderDoesNotReclaimAfterAnotherHasLed)
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
    // The workers must not reveal the newer token to the former leader before it has claimed again.
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
    checkNoViolations(world);
}

// Guards against an acknowledgement that was meant for the previous incarnation. A worker that restarts under the same
// id numbers its ends from 1 again, so it would delete ends that no leader has received, and their tasks would run
// again.
TEST(DispatchRecovery, ANewIncarnationDoesNotGetOldAcknowledgements)
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
        checkNoViolations(world);
    }
}

// Guards against a renewal that was sent to the previous incarnation and arrives late: its acknowledgement would remove
// ends of the new incarnation.
TEST(DispatchRecovery, ALateRenewalDoesNotRemoveEndsOfTheNextIncarnation)
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
        checkNoViolations(world);
    }
}

// Guards against workers that the next leader does not contact because the record of workers was not stored before the
// first start on them. If the directory loses them while the store is unreachable, their tasks are started again.
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

// Guards against a second copy of a start, sent because the first had no reply, that arrives late: the run has ended
// and is acknowledged, the worker has restarted under the same id, and the copy would start the task again.
TEST(DispatchRecovery, ACopyOfAStartDoesNotRunAgainInTheNextIncarnation)
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
        checkNoViolations(world);
    }
}

// Guards against two runs of one task on both sides of a network partition: a leader that reaches neither the store nor
// its successor continues to renew the leases of workers that the successor can't reach, while the successor waits only
// for one lease period after its own claim.
TEST(DispatchRecovery, ALeaderWithoutAClaimDoesNotRenewRunsThatItsSuccessorCannotReach)
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
    checkNoViolations(world);
}

// Guards against the end of a gang member that is never acknowledged while the job's next step runs: the list with it
// came after the record of the other member's end was queued, so no pending commit covers it.
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

// Guards against renewals without a pause between them while the store is unreachable and a restarted worker waits for
// a higher token. Each renewal has a cost.
TEST(DispatchRecovery, RenewalsOfANewIncarnationArePacedWhileTheStoreIsUnreachable)
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

// Guards against treating runs as lost whose ends don't fit into one list. A worker lists 500 ends at a time; the other
// ended runs would be started again while the store is unreachable.
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
    checkNoViolations(world);
}

// Guards against a leader that resigns because of its own write: the reply to a claim under a new token was lost, and
// the claim's lease is revoked before the next attempt.
TEST(DispatchRecovery, ALostReplyToANewTokenIsNotMistakenForAnotherLeader)
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

// Guards against a leader whose claim was revoked and which the store does not answer: it would report that a job
// accepted by its successor doesn't exist.
TEST(DispatchRecovery, ALeaderWhoseClaimWasRevokedDoesNotDenyJobsOfItsSuccessor)
{
    for (const bool storeRejects : {true, false}) {
        World world(2, 4);
        world.run(settleTime);
        const std::size_t former = world.leaderIndex();
        const std::size_t successor = otherThan(former);
        world.nodes[former].dropsPeerMessages = true;
        world.nodes[successor].dropsPeerMessages = true;
        world.run(milliseconds(600));
        if (storeRejects) {
            world.store.refusedNodes.insert(former);
        }
        world.store.items.erase("wk/ctl/leader");
        CHECK(world.runUntil([&] { return isLeading(*world.nodes[successor].node); }, milliseconds(900)));
        const CallId submitted = world.submit(successor, 0xd1, oneStep(1, 500, milliseconds(300)), "urgent");
        CHECK(world.runUntil([&] { return isAccepted(world, submitted); }, milliseconds(200)));
        const CallId query = world.call(former, ClientCallKind::Query, 0xd1, "urgent");
        const CallId unknown = world.call(successor, ClientCallKind::Query, 0xd2, "urgent");
        world.run(milliseconds(2500));
        const auto answer = world.answerTo(query);
        CHECK(!answer || answer->outcome != ClientOutcome::NoSuchJob);
        const auto other = world.answerTo(unknown);
        CHECK(other && other->outcome == ClientOutcome::NoSuchJob);
    }
}
