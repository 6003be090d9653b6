#pragma once

#include "core/dispatch/messages.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Place of a worker in the table; stays the same over the worker's lives.
using WorkerSlot = std::uint32_t;
/// A worker's clock may run this much slow (the platform's contract).
inline constexpr double workerClockSlack = 1.02;
inline constexpr WorkerSlot noWorker = UINT32_MAX;

enum class RunPhase : std::uint8_t {
    /// Ordered; the worker has not listed it yet.
    Starting,
    Running,
    /// A stop was ordered.
    Stopping,
};

/// What the worker holds, or may hold, of a task. Its size is charged until the worker is known not to have it.
struct Run
{
    std::uint32_t attempt = 0;
    Resources size;
    RunPhase phase = RunPhase::Starting;
    /// A start that arrives later, by the worker's clock, is refused.
    WorkerTime latestStart{};
    /// When an answer or a list showed that the run is there. Lists that were asked for earlier don't count as proof
    /// that it is gone.
    MonotonicTime seenAt{};
    bool confirmed = false;
    /// A list of the worker's present life has shown it.
    bool listed = false;
    bool startCallOpen = false;
    bool stopCallOpen = false;
    /// A stop was answered, so that a start under way is refused for good.
    bool stopAnswered = false;
    MonotonicTime orderedAt{};
    /// Of the task's queue. Kept here, because pre-emption weighs all runs of many workers.
    std::uint32_t priority = 0;
    /// May be stopped for a more urgent task; false for gangs and tasks that last.
    bool preemptible = false;
    bool checkpointed = false;
    MonotonicTime startedAt{};
};

/// Signs that a worker fails what it starts.
struct WorkerHealth
{
    /// Rises with each failed or stalled run, falls with each one done.
    double suspicion = 0.0;
    MonotonicTime avoidUntil{};
    /// Longer with each time the worker was avoided in a row.
    milliseconds nextAvoidance{0};
};

/// A worker and what this leader has on it.
struct Worker
{
    WorkerEntry entry;
    /// False once the directory no longer lists the worker.
    bool listed = true;
    /// Known from a former leader and not heard yet; may hold runs of inherited jobs.
    bool inherited = false;
    /// When a new life under the same id was noticed.
    MonotonicTime bornAt{};
    /// The store's record of the workers names it, so that a next leader hears it.
    bool recorded = false;
    /// The worker answered under this leader's token, so that older orders are refused.
    bool greeted = false;
    /// Highest token that the present life has answered to.
    std::uint64_t greetedToken = 0;
    /// Orders up to this token may have been meant for the life before.
    std::uint64_t formerLifeToken = 0;
    Resources used;
    /// Room kept for planned gangs.
    Resources reserved;
    absl::flat_hash_map<TaskKey, Run> runs;
    /// Ends that the worker lists, by number; true once they are stored or don't matter.
    std::map<std::uint64_t, bool> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    /// With the last look.
    std::uint64_t acknowledgementSent = 0;
    bool renewalOpen = false;
    CallId renewalCall = 0;
    std::uint64_t renewalToken = 0;
    MonotonicTime renewalSentAt{};
    MonotonicTime renewalAnsweredAt{};
    MonotonicTime nextRenewal{};
    std::uint32_t renewalFailures = 0;
    /// The worker's clock at `clockReadAt`; a worker's clock may be 2% slow.
    WorkerTime clock{};
    MonotonicTime clockReadAt{};
    /// The longest lease that was asked for; the one before the look that is under way, in case that is never sent.
    WorkerTime leaseAsked{};
    WorkerTime leaseBefore{};
    /// The longest lease that came with a start.
    WorkerTime startLease{};
    WorkerHealth health;
    /// Runs that this leader doesn't know take unknown room; no starts until they were stopped.
    MonotonicTime strangersUntil{};
};

struct WorkerTable
{
    std::vector<Worker> workers;
    absl::flat_hash_map<std::string, WorkerSlot> byId;
};

/// Adds the worker if it is new.
WorkerSlot addWorker(WorkerTable &table, std::string_view id);

/// Orders that were meant for a former life of the worker may still be carried out.
bool hasLateOrders(const Worker &worker);

/// Names the worker's present life, for an order.
WorkerTarget targetOf(const Worker &worker);

inline Resources freeRoom(const Worker &worker)
{
    return worker.entry.capacity - worker.used - worker.reserved;
}

/// True if starts may be ordered there at all.
bool takesStarts(const Worker &worker, MonotonicTime now);

/// Earliest time that the worker's clock can show now.
WorkerTime workerClockNow(const Worker &worker, MonotonicTime now);
/// Latest time at which the worker's lease has surely ended, by this daemon's clock.
MonotonicTime leaseEndsBy(const Worker &worker);

/// When to look next at a worker that has just shown ends: each look is priced and takes processor time, so that ends
/// of patient work are collected, while those of urgent work are looked for at once.
MonotonicTime nextLookAfterEnds(const Worker &worker, MonotonicTime now);

void chargeRun(Worker &worker, const TaskKey &task, const Run &run);
void releaseRun(Worker &worker, const TaskKey &task);

/// Marks ends as stored and returns the number up to which the worker may forget.
std::uint64_t acknowledgeable(Worker &worker);

/// Health: what a run's end says of the worker.
void noteFailure(WorkerHealth &health, double weight, MonotonicTime now);
void noteSuccess(WorkerHealth &health);

} // namespace wigeonkeel::dispatch
