#pragma once

#include "core/dispatch/messages.h"
#include "core/dispatch/worker_health.h"
#include "core/dispatch/worker_speed.h"
#include "core/tenants/tenant_table.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Real time per time on a worker's clock, at most. The platform's contract lets a worker's clock run 2% slow.
inline constexpr double maxWorkerClockRatio = 1.02;

enum class RunPhase : std::uint8_t {
    /// The start was ordered; the worker has not listed the run yet.
    Starting,
    Running,
    /// The stop was ordered.
    Stopping,
};

/// A task's run that the worker has, or may have. Its size is charged to the worker until it is certain that the worker
/// doesn't have the run.
struct Run
{
    std::uint32_t attempt = 0;
    Resources size;
    TenantSlot tenant = noTenant;
    /// What the run counts for against its tenant's cap. Differs from `size` for unknown runs.
    Resources tenantSize;
    RunPhase phase = RunPhase::Starting;
    /// By the worker's clock. The worker refuses a start that arrives later.
    WorkerTime latestStart{};
    /// When a reply or a list last showed the run on the worker. A list that was requested before this time doesn't
    /// prove that the run has ended.
    MonotonicTime seenAt{};
    bool confirmed = false;
    /// A list from the worker's current incarnation contained the run.
    bool listed = false;
    bool startCallOpen = false;
    bool stopCallOpen = false;
    /// The worker replied to a stop, so it will refuse a start that is still in transit.
    bool stopAnswered = false;
    MonotonicTime orderedAt{};
    /// Priority of the task's queue, copied here because pre-emption compares all runs of many workers.
    std::uint32_t priority = 0;
    /// Whether the run may be stopped for a more urgent task; false for gangs and long-running tasks.
    bool preemptible = false;
    /// Its job was submitted beyond the tenant's rate.
    bool isExcess = false;
    bool checkpointed = false;
    /// Empty if a former leader started the run: it may have worked for any time.
    std::optional<MonotonicTime> startedAt;
    /// Empty while it is not known how far the run had come at some time.
    std::optional<SpeedMark> speedMark;
    /// The leader did not order the run, or considered it lost, and is stopping it. Its size is not known.
    bool unknown = false;
};

/// A worker and the leader's state about it.
struct Worker
{
    WorkerEntry entry;
    /// False once the directory no longer lists the worker.
    bool listed = true;
    /// Known from a former leader and not contacted by this one yet; may have runs of inherited jobs.
    bool inherited = false;
    /// When this leader last detected a new incarnation under the same id.
    MonotonicTime incarnationDetectedAt{};
    /// The store's record of the workers contains this worker, so that a successor contacts it, and names no other
    /// incarnation than the current one.
    bool recorded = false;
    /// The last incarnation whose leases were certain to last no longer than leaders request; 0 if there was none. A
    /// new incarnation may carry out calls that were meant for the former one. Their times are on the former clock, far
    /// ahead of the new one, and the worker shortens the lease only to the longest that it grants.
    std::int64_t boundedIncarnation = 0;
    /// The worker replied to a call with this leader's fencing token, so it refuses orders of former leaders.
    bool contacted = false;
    /// A list from the current incarnation contained all of its ends: one that was not full. Before that, the worker
    /// may have ends that this leader has not read.
    bool endsComplete = false;
    /// Highest fencing token that the current incarnation has replied to.
    std::uint64_t contactedToken = 0;
    /// Orders with a fencing token up to this one may have been meant for the previous incarnation.
    std::uint64_t formerIncarnationToken = 0;
    Resources used;
    /// Room kept for planned gangs.
    Resources reserved;
    absl::flat_hash_map<TaskKey, Run> runs;
    /// Ends that the worker lists, by number; true once the end is stored or needs no storing.
    std::map<std::uint64_t, bool> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t acknowledged = 0;
    /// The acknowledgement that was sent with the last renewal.
    std::uint64_t acknowledgementSent = 0;
    bool renewalOpen = false;
    CallId renewalCall = 0;
    std::uint64_t renewalToken = 0;
    MonotonicTime renewalSentAt{};
    MonotonicTime renewalAnsweredAt{};
    MonotonicTime nextRenewal{};
    std::uint32_t renewalFailures = 0;
    /// The worker's clock at `clockReadAt`.
    WorkerTime clock{};
    MonotonicTime clockReadAt{};
    /// The latest lease end that was requested, and its value before the open renewal call, which is restored if that
    /// call is never sent.
    WorkerTime requestedLease{};
    WorkerTime previousRequestedLease{};
    /// The latest lease end that was sent with a start.
    WorkerTime startLease{};
    WorkerHealth health;
    SpeedEstimate speed;
    /// Number of unknown runs. No starts are ordered meanwhile, because the room that these runs take is not known.
    std::uint32_t unknownRuns = 0;
};

/// Limits the log lines about changed speed classes.
struct SpeedLogLimit
{
    MonotonicTime periodStart{};
    /// Lines written in this period, and changes without a line since the last one.
    std::uint32_t lines = 0;
    std::uint32_t suppressed = 0;
};

struct WorkerTable
{
    std::vector<Worker> workers;
    absl::flat_hash_map<std::string, WorkerSlot> byId;
    /// Increases when listed workers may be able to hold tasks that none could hold before: one was listed, its pool,
    /// labels or capacity changed, or a queue may have another pool.
    std::uint64_t capabilityVersion = 1;
    SpeedLogLimit speedLog;
};

/// Adds the worker unless it is in the table already.
WorkerSlot addWorker(WorkerTable &table, std::string_view id);

/// Whether orders for a former incarnation may still arrive and be carried out by the current one.
bool hasLateOrders(const Worker &worker);

/// Whether the worker was contacted and may have ends that this leader has not read, because each list so far was full.
bool hasUnreadEnds(const Worker &worker);

/// Whether the leases of the worker's current incarnation are certain to end within those that leaders request.
bool areLeasesBounded(const Worker &worker);

/// Whether it is known which runs of former leaders the worker has and which have ended.
bool areFormerRunsKnown(const Worker &worker);

/// The worker's current incarnation as the target of an order.
WorkerTarget targetOf(const Worker &worker);

inline Resources freeRoom(const Worker &worker)
{
    return worker.entry.capacity - worker.used - worker.reserved;
}

/// Whether starts may be ordered on the worker, whatever room it has.
bool canAcceptStarts(const Worker &worker, MonotonicTime now);

/// Earliest time that the worker's clock can show now.
WorkerTime workerClockNow(const Worker &worker, MonotonicTime now);
/// Real time that passes at most while a worker's clock advances by this much.
milliseconds longestByWorkerClock(milliseconds time);
/// Time by this daemon's clock at which the worker's lease has expired even if the worker's clock is slow.
MonotonicTime leaseEndsBy(const Worker &worker);

/// Time of the next renewal of a worker that has just listed ends. Each renewal costs money and processor time, so the
/// ends of less urgent tasks are collected into fewer renewals, while those of urgent tasks are fetched soon.
MonotonicTime nextRenewalAfterEnds(const Worker &worker, MonotonicTime now);

/// Charge the run to the worker and to its tenant, and take the charge back.
void chargeRun(Worker &worker, TenantTable &tenants, const TaskKey &task, const Run &run);
void releaseRun(Worker &worker, TenantTable &tenants, const TaskKey &task);

/// Removes the leading ends that are stored, and returns the number up to which ends may be acknowledged.
std::uint64_t advanceAcknowledged(Worker &worker);

} // namespace wigeonkeel::dispatch
