#pragma once

#include "core/clock.h"
#include "core/dispatch/configuration.h"
#include "core/dispatch/job_spec.h"
#include "core/resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Pairs a call with its reply; unique in a process.
using CallId = std::uint64_t;

struct Endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
};

/// How a call ended.
enum class CallStatus : std::uint8_t {
    Ok,
    /// A condition failed: a revision in the store or a fencing token of a worker.
    Conflict,
    NotFound,
    /// Rejected by a rate limit or because the other side is unavailable; nothing was done.
    Refused,
    /// Not executed, because no connection could be made.
    Unreachable,
    /// No reply. The call may have been executed, or may be executed later.
    Unknown,
};

// --- the platform's store ---

struct StoreItem
{
    std::string key;
    std::string value;
    /// Revision of the last change; 0 if the key does not exist.
    std::uint64_t revision = 0;
    /// The key is removed when this lease ends; 0 without a lease.
    std::uint64_t lease = 0;
};

/// How long to wait for the store's reply to a read or a call about a lease. It answers within milliseconds, and within
/// a quarter of a second when it is slow.
inline constexpr milliseconds storeCallTimeout{700};

/// Reads one page of the keys with a prefix.
struct StoreRange
{
    CallId call = 0;
    std::string prefix;
    /// The page begins after this key; empty for the first.
    std::string after;
    /// Allows a reply that is some seconds old, at a tenth of the cost.
    bool allowStale = false;
    milliseconds timeout = storeCallTimeout;
};

struct StoreCondition
{
    std::string key;
    /// Revision that the key must have; 0: it must not exist.
    std::uint64_t revision = 0;
};

struct StoreWrite
{
    std::string key;
    std::string value;
    /// The key is removed with this lease; 0 for none.
    std::uint64_t lease = 0;
};

/// Applied as a whole or not at all; holds at most `maxTransactionEntries` conditions, writes and deletes together.
struct StoreTransaction
{
    CallId call = 0;
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> deletes;
    milliseconds timeout{0};
};

inline constexpr std::size_t maxTransactionEntries = 32;

struct StoreOpenLease
{
    CallId call = 0;
    milliseconds timeToLive{0};
};

struct StoreKeepAlive
{
    CallId call = 0;
    std::uint64_t lease = 0;
    milliseconds timeout{0};
};

struct StoreEndLease
{
    CallId call = 0;
    std::uint64_t lease = 0;
};

struct StoreReply
{
    CallId call = 0;
    CallStatus status = CallStatus::Unknown;
    /// Items of a range, or the current items of failed conditions.
    std::vector<StoreItem> items;
    /// The store's revision at the time of the call, or that of a transaction.
    std::uint64_t revision = 0;
    bool morePages = false;
    std::uint64_t lease = 0;
    milliseconds timeToLive{0};
};

// --- workers ---

/// The worker incarnation that an order is meant for.
struct WorkerTarget
{
    std::string id;
    Endpoint endpoint;
    /// Unix milliseconds of the worker's start; the order is refused by any other incarnation. 0 if not known yet.
    std::int64_t incarnation = 0;
};

struct StartRun
{
    CallId call = 0;
    WorkerTarget worker;
    TaskKey task;
    std::uint32_t attempt = 1;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::uint64_t fencingToken = 0;
    WorkerTime leaseUntil{};
    milliseconds timeout{0};
};

struct StopRun
{
    CallId call = 0;
    WorkerTarget worker;
    TaskKey task;
    std::uint32_t attempt = 1;
    std::uint64_t fencingToken = 0;
    milliseconds timeout{0};
};

/// Extends the lease of everything that runs on a worker and reads its lists.
struct RenewWorker
{
    CallId call = 0;
    WorkerTarget worker;
    std::uint64_t fencingToken = 0;
    /// The worker deletes its ends up to this number.
    std::uint64_t acknowledged = 0;
    /// Not sent if zero.
    WorkerTime leaseUntil{};
    /// The worker replies as soon as a run ends, or else after this time.
    milliseconds wait{0};
    milliseconds timeout{0};
};

enum class StartRefusal : std::uint8_t {
    None,
    Fenced,
    OldAttempt,
    Late,
    NoRoom,
    Ticket,
    Unavailable,
    WrongIncarnation,
    Invalid
};

struct OrderReply
{
    CallId call = 0;
    CallStatus status = CallStatus::Unknown;
    StartRefusal refusal = StartRefusal::None;
    /// The worker's clock when it replied; empty if the reply has none.
    std::optional<WorkerTime> clock;
};

enum class RunEnd : std::uint8_t { Done, Failed, Stopped, LeaseExpired, GangBroken, GangAlone };

struct RunningTask
{
    TaskKey task;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    int percent = 0;
};

struct EndedTask
{
    std::uint64_t number = 0;
    TaskKey task;
    std::uint32_t attempt = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

struct RenewReply
{
    CallId call = 0;
    CallStatus status = CallStatus::Unknown;
    StartRefusal refusal = StartRefusal::None;
    std::int64_t incarnation = 0;
    WorkerTime clock{};
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

/// A worker's entry in the worker directory.
struct WorkerEntry
{
    std::string id;
    Endpoint endpoint;
    std::string pool;
    std::string zone;
    std::int64_t incarnation = 0;
    bool draining = false;
    /// Minimum time until a draining worker leaves.
    milliseconds leavesIn{0};
    Resources capacity;
    std::vector<std::string> labels;
    /// Empty if none of the labels names a rack.
    std::string rack;
};

// --- settings and the worker directory ---

/// Reads the operator's settings.
struct ReadConfiguration
{
    CallId call = 0;
};

/// Waits for a change of the operator's settings.
struct WatchConfiguration
{
    CallId call = 0;
    std::uint64_t after = 0;
    milliseconds wait{0};
};

struct ConfigurationReply
{
    CallId call = 0;
    CallStatus status = CallStatus::Unknown;
    /// Empty if there are no settings or they did not change.
    std::optional<Configuration> configuration;
    std::uint64_t revision = 0;
};

/// Reads the whole worker directory.
struct ReadWorkers
{
    CallId call = 0;
    /// For each page of the directory.
    milliseconds timeout = storeCallTimeout;
};

struct WorkersReply
{
    CallId call = 0;
    CallStatus status = CallStatus::Unknown;
    std::vector<WorkerEntry> workers;
    /// Number of entries that could not be parsed.
    std::uint32_t unreadable = 0;
};

// --- the placement adviser ---

struct RequestAdvice
{
    CallId call = 0;
    StepKey step;
    std::vector<std::string> workers;
    milliseconds timeout{0};
};

struct Ticket
{
    std::string worker;
    std::string ticket;
};

struct AdviceReply
{
    CallId call = 0;
    CallStatus status = CallStatus::Unknown;
    std::vector<Ticket> allowed;
    milliseconds validity{0};
};

// --- clients ---

enum class ClientCallKind : std::uint8_t { Submit, Query, Cancel, CountPending };

/// A client's request, after routing.
struct ClientCall
{
    CallId call = 0;
    ClientCallKind kind = ClientCallKind::Query;
    std::string queue;
    JobId job = 0;
    /// Encoded JobRecord of a submission.
    std::string record;
    /// Tenant whose key the call carries; empty for none.
    std::string tenant;
    /// The call may only use jobs of this tenant.
    bool isRestricted = false;
    /// Longest time for which a query of a running job may wait for the job's end. 0: it is answered at once.
    milliseconds wait{0};
};

enum class ClientOutcome : std::uint8_t {
    Ok,
    /// The job does not exist.
    NoSuchJob,
    /// Not accepted; this call will not be accepted later either.
    Refused,
    /// The job can't run on any worker, or not within its tenant's cap.
    Impossible,
    /// The outcome was not known in time; the client may query it later.
    Unknown,
    /// This daemon doesn't lead; the caller has to send the call to the leader.
    NotLeader,
    /// The job belongs to another tenant.
    Forbidden,
};

enum class JobState : std::uint8_t {
    Queued,
    Running,
    Done,
    Failed,
    Cancelled,
    /// Cancelled before any submission of it arrived. Clients are told that there is no such job, and a submission that
    /// arrives later is refused. Only the records of ended jobs have this state.
    Withdrawn,
};

struct ClientAnswer
{
    CallId call = 0;
    ClientOutcome outcome = ClientOutcome::Unknown;
    JobState state = JobState::Queued;
    std::uint64_t count = 0;
    milliseconds retryAfter{0};
    /// Reason of a rejection, for the client; empty for the usual text.
    std::string detail;
};

} // namespace wigeonkeel::dispatch
