#pragma once

#include "core/dispatch/advice_lines.h"
#include "core/dispatch/call_log.h"
#include "core/dispatch/commit_streams.h"
#include "core/dispatch/configuration.h"
#include "core/dispatch/end_retention.h"
#include "core/dispatch/job_memory.h"
#include "core/dispatch/job_table.h"
#include "core/dispatch/order_pace.h"
#include "core/dispatch/outbox.h"
#include "core/dispatch/records.h"
#include "core/dispatch/worker_table.h"
#include "core/log_limit.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace wigeonkeel::dispatch
{

/// Lease of the leader's claim: the shortest that the platform grants, because clients wait for the remainder of it
/// when the leader's VM loses power.
inline constexpr milliseconds claimLease{1000};

/// Records of ended jobs are kept for this long beyond the time that clients are promised.
inline constexpr milliseconds keepEndedMargin{20000};

/// Limits of the platform that the decisions respect.
struct DispatchBounds
{
    /// Longest lease that a worker grants.
    milliseconds maxWorkerLease{6000};
    /// Lease that is requested. It outlasts a change of leader (detection 2 s, claim and first contact under 1 s). The
    /// tasks of a lost worker start again only after it has expired.
    milliseconds workerLease{3500};
    /// A worker needs at most this long for a stop.
    milliseconds stopTime{900};
    /// A member of a gang that waits longer than this for the other members ends.
    milliseconds gangTimeout{3000};
    /// Ended jobs are known to clients for at least this long.
    milliseconds keepEnded{120000};
    /// A task takes this many times as long outside the rack of its data, and a sameRack gang on several racks. At most
    /// 1 if there is no difference; nothing waits for near places then.
    double remoteFactor = 1.0;
};

/// The lease that leaders request, counted from the request.
inline milliseconds leaderLease(const DispatchBounds &bounds)
{
    return std::min(bounds.workerLease, bounds.maxWorkerLease);
}

struct OpenOrder
{
    bool isStart = true;
    WorkerSlot worker = noWorker;
    std::int64_t incarnation = 0;
    TaskKey task;
    std::uint32_t attempt = 0;
    /// Fencing token of the order. The leader's token is higher if the claim was written again since.
    std::uint64_t token = 0;
    MonotonicTime sentAt{};
    /// The worker's clock when it was last read before the order was sent.
    WorkerTime clock{};
};

/// A worker in the record of the workers that is being stored.
struct RecordedWorker
{
    WorkerSlot worker = noWorker;
    std::int64_t incarnation = 0;
};

/// A client's call about a job that the leader doesn't know, while the job's records are read from the store.
struct UnknownJobCall
{
    CallId call = 0;
    JobId job = 0;
    /// The store has no live job of this id, so the record of the job's end is being read.
    bool readingEnd = false;
};

/// Runs of an ended job that a former leader was stopping.
struct FormerRuns
{
    TenantSlot tenant = noTenant;
    Resources size;
};

/// A query of a running job that is answered once the job's end is stored.
struct WaitingQuery
{
    CallId call = 0;
    JobId job = 0;
};

struct DispatchCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    /// Submissions that were rejected because jobs take too much memory, and calls without an answer for that reason.
    std::uint64_t rejectedByMemory = 0;
    std::uint64_t unansweredByMemory = 0;
    std::uint64_t jobsDone = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    std::uint64_t startsOrdered = 0;
    std::uint64_t startsUnanswered = 0;
    std::uint64_t startsRefused = 0;
    std::uint64_t runsDone = 0;
    std::uint64_t runsFailed = 0;
    std::uint64_t runsLost = 0;
    /// Runs that a worker had confirmed and later listed neither as running nor as ended.
    std::uint64_t runsMissing = 0;
    std::uint64_t preempted = 0;
    std::uint64_t gangsAborted = 0;
    std::uint64_t stalled = 0;
    std::uint64_t renewals = 0;
    std::uint64_t adviceRequests = 0;
    std::uint64_t commits = 0;
    /// Records of ended jobs that were removed; from then on their ids count as unused.
    std::uint64_t endsRemoved = 0;
    /// Unknown jobs that were cancelled; their ids count as used from then on.
    std::uint64_t jobsWithdrawn = 0;
    /// Waits of steps for near places: begun, ended on near places, and given up. The others ended with their jobs.
    std::uint64_t placeWaits = 0;
    std::uint64_t placeWaitsNear = 0;
    std::uint64_t placeWaitsGivenUp = 0;
    /// Passes of the placement, and those that ended before all steps were examined.
    std::uint64_t placementPasses = 0;
    std::uint64_t placementPassesEndedEarly = 0;
};

/// Waits for near places that the current pass of the placement has decided on.
struct PlaceWaitPass
{
    std::size_t steps = 0;
    absl::flat_hash_map<std::string, std::size_t> waitersByRack;
};

/// What the last pass of the placement did with the steps whose tasks can start.
struct PlacementSummary
{
    std::size_t ready = 0;
    std::size_t examined = 0;
    /// Examined, and found no room.
    std::size_t blocked = 0;
    /// Left out, because no listed worker could hold them.
    std::size_t unplaceable = 0;
    /// Limits the log lines about steps that no listed worker can hold.
    LogLimit unplaceableLines;
    /// Limits the log lines about passes that ended early.
    LogLimit endedEarly;
};

/// The leader's state: all jobs, all workers, and the open orders. Only the daemon that holds the claim has one.
struct Dispatcher
{
    /// `fencingToken` is the revision at which the claim was written, `confirmedAt` when its lease was requested.
    Dispatcher(Outbox &actions, std::uint64_t fencingToken, MonotonicTime confirmedAt, EndRetention ends);

    DispatchBounds bounds;
    /// Fencing token of all orders.
    std::uint64_t token;
    Configuration configuration;
    JobTable jobs;
    JobMemory jobMemory;
    CallLog callLog;
    WorkerTable workers;
    TenantTable tenants;
    /// What former leaders were stopping of ended jobs, until no worker has a run of the job.
    absl::flat_hash_map<JobId, FormerRuns> stoppingRuns;
    Advisor advisor;
    CommitQueue commits;
    EndRetention endRetention;
    absl::flat_hash_map<CallId, OpenOrder> orders;
    OrderLatency orderLatency;
    absl::flat_hash_map<CallId, WorkerSlot> renewals;
    /// Keyed by the id of the call to the store.
    absl::flat_hash_map<CallId, UnknownJobCall> unknownJobs;
    /// Cancellations of unknown jobs, until the records that withdraw their ids are stored.
    absl::flat_hash_map<JobId, std::vector<CallId>> withdrawals;
    Outbox *outbox;
    /// When the store's reply to the claim arrived. Former leaders made their calls before, but for those in transit.
    MonotonicTime claimedAt{};
    /// A new leader finds the runs of inherited jobs, and their ends, in the lists of the workers. Until every worker
    /// has listed them all, or its leases have ended without a contact, inherited jobs are not started.
    bool runDiscoveryFinished = true;
    /// The former leader's record of the workers was read as a whole. A worker gets starts only once it is recorded, so
    /// one that the record doesn't name has no run.
    bool formerWorkersKnown = false;
    /// Send time of the last request or keep-alive of the claim's lease that the store confirmed. One lease later,
    /// another daemon may lead and have jobs that this one doesn't know.
    MonotonicTime claimConfirmedAt;
    /// Whether leases may be extended and tasks started: no other daemon can have led for long enough to start
    /// elsewhere what this one keeps running.
    bool canExtendLeases = true;
    /// All records of ended jobs were read, so an unknown id is certain to be new.
    bool endsLoaded = false;
    /// A higher fencing token is needed: a restarted worker may still receive orders that were meant for its former
    /// incarnation, and refuses them once it has seen a higher token.
    bool newTokenDue = false;
    /// Another leader was detected; no more orders are sent.
    bool deposed = false;
    /// The store's record of the workers is out of date.
    bool workersChanged = false;
    bool workersCommitOpen = false;
    /// Workers in the record that is being stored.
    std::vector<RecordedWorker> workersBeingRecorded;
    /// Something changed that may let a task start.
    bool placementDue = false;
    MonotonicTime nextPlacement{};
    PlaceWaitPass placeWaits;
    PlacementSummary placement;
    MonotonicTime nextSupervision{};
    /// When the runs of all workers were last checked.
    MonotonicTime supervisedAt{};
    /// Jobs whose record of progress or end is due.
    absl::flat_hash_set<JobId> unstoredJobs;
    /// By the time at which they are answered even if the job still runs. Queries that were answered by the job's end
    /// stay here until that time.
    std::multimap<MonotonicTime, WaitingQuery> waitingQueries;
    /// Calls that wait until the records of ended jobs are read.
    std::vector<ClientCall> deferredCalls;
    /// Bytes of their records.
    std::size_t deferredBytes = 0;
    DispatchCounters counters;
};

/// Records a duration in the histogram of its kind.
void observe(Dispatcher &dispatcher, DurationKind kind, MonotonicTime::duration duration);

// --- events ---

void setConfiguration(Dispatcher &dispatcher, const Configuration &configuration);

/// Applies the directory's current list. Workers that are missing from it get no more starts.
void updateWorkers(Dispatcher &dispatcher, std::span<const WorkerEntry> entries, MonotonicTime now);

void handleOrderReply(Dispatcher &dispatcher, const OrderReply &reply, MonotonicTime now);
void handleRenewReply(Dispatcher &dispatcher, const RenewReply &reply, Now now);
void handleAdviceReply(Dispatcher &dispatcher, const AdviceReply &reply, MonotonicTime now);
/// False if the reply belongs to no transaction of this dispatcher.
bool handleStoreReply(Dispatcher &dispatcher, const StoreReply &reply, Now now);

/// Renews leases, resolves unanswered orders, places tasks, finishes the discovery of inherited runs, stores and
/// removes records.
void runMaintenance(Dispatcher &dispatcher, Now now);
/// Starts the tasks that can start.
void placeTasks(Dispatcher &dispatcher, MonotonicTime now);

/// Answers immediately or, if something has to be stored, once it is stored.
void handleClientCall(Dispatcher &dispatcher, const ClientCall &call, Now now);

/// Add jobs, workers and ends of a former leader from the store. The runs are read from the workers' lists.
void inheritJob(Dispatcher &dispatcher, JobRecord record, std::string_view progress, Now now);
void inheritWorkers(Dispatcher &dispatcher, std::span<const WorkerEntry> entries);
/// `revision` is the store's revision at which the record was written. Without a record if it can't be read: its key
/// still proves that the id was used.
void inheritEnd(Dispatcher &dispatcher, JobId id, const std::optional<EndRecord> &record, std::uint64_t revision,
    MonotonicTime now);

/// Time by which the leases that former leaders requested of a worker have ended if this leader has not contacted it.
MonotonicTime formerLeasesEndBy(const Dispatcher &dispatcher, const Worker &worker);

/// Finishes the discovery of inherited runs once every worker has listed all of its runs and ends, or its leases have
/// ended without a contact. Inherited jobs can start then.
void finishRunDiscovery(Dispatcher &dispatcher, MonotonicTime now);

} // namespace wigeonkeel::dispatch
