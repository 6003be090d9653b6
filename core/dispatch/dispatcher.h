#pragma once

#include "core/dispatch/advice_lines.h"
#include "core/dispatch/commit_streams.h"
#include "core/dispatch/configuration.h"
#include "core/dispatch/job_table.h"
#include "core/dispatch/outbox.h"
#include "core/dispatch/records.h"
#include "core/dispatch/worker_table.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <span>
#include <string>

namespace wigeonkeel::dispatch
{

/// Lease of the leader's claim: the shortest that the platform grants, because its rest is what clients wait for when
/// the leader's VM loses power.
inline constexpr milliseconds claimLease{1000};

/// Bounds of the platform that the decisions keep to.
struct DispatchBounds
{
    /// Longest lease that a worker grants.
    milliseconds maxWorkerLease{6000};
    /// Lease that is asked for. It outlasts a change of leader (detection 2 s, claim and first contact under 1 s), and
    /// what ran on a lost worker waits for its end.
    milliseconds workerLease{3500};
    /// A worker needs at most this long for a stop.
    milliseconds stopTime{900};
    /// Members of a gang that wait longer for the others end.
    milliseconds gangTimeout{3000};
    /// Ended jobs are known to clients for at least this long.
    milliseconds keepEnded{120000};
};

struct OpenOrder
{
    bool isStart = true;
    WorkerSlot worker = noWorker;
    std::int64_t incarnation = 0;
    TaskKey task;
    std::uint32_t attempt = 0;
    /// Token that the order carried; a claim that was written again has a higher one.
    std::uint64_t token = 0;
};

/// A client's call about a job that the leader doesn't know, while the store is asked for its records.
struct UnknownJobCall
{
    CallId call = 0;
    JobId job = 0;
    /// The store has no live job of this id; asked now is whether it has ended.
    bool endAsked = false;
};

struct DispatchCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t jobsDone = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    std::uint64_t startsOrdered = 0;
    std::uint64_t startsUnanswered = 0;
    std::uint64_t startsRefused = 0;
    std::uint64_t runsDone = 0;
    std::uint64_t runsFailed = 0;
    std::uint64_t runsLost = 0;
    /// Runs that a worker had confirmed and then no longer listed, neither as running nor as ended.
    std::uint64_t runsMissing = 0;
    std::uint64_t preempted = 0;
    std::uint64_t gangsUndone = 0;
    std::uint64_t stalled = 0;
    std::uint64_t renewals = 0;
    std::uint64_t adviceAsked = 0;
    std::uint64_t commits = 0;
};

/// The leader's state: all jobs, all workers, and what was ordered. Only the daemon that holds the claim has one.
struct Dispatcher
{
    DispatchBounds bounds;
    /// Fencing token of all orders.
    std::uint64_t token = 0;
    Configuration configuration;
    JobTable jobs;
    WorkerTable workers;
    Advisor advisor;
    CommitQueue commits;
    absl::flat_hash_map<CallId, OpenOrder> orders;
    absl::flat_hash_map<CallId, WorkerSlot> renewals;
    /// By the call to the store.
    absl::flat_hash_map<CallId, UnknownJobCall> unknownJobs;
    Outbox *outbox = nullptr;
    /// Until then, or until every worker has answered, inherited jobs are not started: their runs may be anywhere.
    MonotonicTime inheritanceSettlesAt{};
    bool inheritanceSettled = true;
    /// When the last renewal of the claim that the store confirmed was sent. A lease later another daemon may lead and
    /// know jobs that this one doesn't.
    MonotonicTime claimConfirmedAt{};
    /// No other daemon can have claimed long enough ago to start elsewhere what this one keeps running.
    bool mayExtend = true;
    /// All records of ended jobs were read, so that an unknown id is surely new.
    bool endsLoaded = false;
    /// A worker's new life may still get orders that were meant for the one before; a higher token ends that.
    bool newTokenDue = false;
    /// Another leader was seen; nothing more is ordered.
    bool deposed = false;
    /// The store's record of the workers is out of date.
    bool workersChanged = false;
    bool workersCommitOpen = false;
    /// Named by the record that is being stored.
    std::vector<WorkerSlot> workersBeingRecorded;
    /// Something changed that may let a task start.
    bool placementDue = false;
    MonotonicTime nextPlacement{};
    MonotonicTime nextSupervision{};
    /// Jobs whose record of progress or end is due.
    absl::flat_hash_set<JobId> unstoredJobs;
    /// Calls that wait until the records of ended jobs are read.
    std::vector<ClientCall> deferredCalls;
    /// The time of day at the start of the monotonic clock, as last seen.
    WallTime wallOrigin{};
    DispatchCounters counters;
};

/// Hands a duration to the histograms.
void observe(Dispatcher &dispatcher, DurationKind kind, MonotonicTime::duration duration);

// --- events ---

void setConfiguration(Dispatcher &dispatcher, const Configuration &configuration);

/// The directory's present list. Workers that are missing get no more starts.
void updateWorkers(Dispatcher &dispatcher, std::span<const WorkerEntry> entries, MonotonicTime now);

void takeOrderReply(Dispatcher &dispatcher, const OrderReply &reply, MonotonicTime now);
void takeRenewReply(Dispatcher &dispatcher, const RenewReply &reply, MonotonicTime now);
void takeAdvice(Dispatcher &dispatcher, const AdviceReply &reply, MonotonicTime now);
/// False if the reply belongs to no transaction of this dispatcher.
bool takeStoreReply(Dispatcher &dispatcher, const StoreReply &reply, MonotonicTime now);

/// Renews leases, resolves orders without an answer, ends reservations, stores what is due.
void doUpkeep(Dispatcher &dispatcher, Now now);
/// Starts what can start.
void placeTasks(Dispatcher &dispatcher, MonotonicTime now);

/// Answers now or, for what has to be stored, once it is stored.
void takeClientCall(Dispatcher &dispatcher, const ClientCall &call, Now now);

/// Jobs of a former leader, from the store. Their runs are learned from the workers.
void inheritJob(Dispatcher &dispatcher, const JobRecord &record, std::string_view progress, Now now);
void inheritWorkers(Dispatcher &dispatcher, std::span<const WorkerEntry> entries);
void inheritEnd(Dispatcher &dispatcher, JobId id, const EndRecord &record, Now now);

/// What a takeover found in the workers settles the inherited jobs.
void settleInheritance(Dispatcher &dispatcher, MonotonicTime now);

} // namespace wigeonkeel::dispatch
