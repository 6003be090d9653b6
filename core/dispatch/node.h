#pragma once

#include "core/dispatch/call_log.h"
#include "core/dispatch/dispatcher.h"
#include "core/dispatch/outbox.h"
#include "core/routing/random.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonkeel::dispatch
{

struct NodeOptions
{
    std::string name;
    /// Where other daemons reach this one.
    Endpoint endpoint;
    /// Daemons that may know the leader while the store does not answer.
    std::vector<Endpoint> seeds;
    /// Processor share of this VM in thousandths of a core; daemons on the largest VMs claim leadership first.
    std::int64_t cpuMilli = 0;
    /// Capacity of this VM's link; 0 if it is not known.
    double linkBytesPerSecond = 0;
    DispatchBounds bounds;
    /// Memory that jobs may take while this daemon leads.
    std::size_t jobMemoryBytes = JobMemory{}.limit;
    /// Memory that clients' calls may take at this daemon until they are answered.
    std::size_t callMemoryBytes = std::size_t{32} << 20;
    /// Time between the platform's termination signal and the moment it kills the process.
    milliseconds shutdownGrace{6000};
};

/// Steps from follower to leader.
enum class ClaimPhase : std::uint8_t {
    Following,
    ReadingControl,
    EndingFormerLease,
    OpeningLease,
    WritingClaim,
    LoadingJobs,
    LoadingProgress,
    LoadingWorkers,
    Leading,
};

/// The reason for a call to the store; decides which part handles the reply.
enum class StorePurpose : std::uint8_t {
    ControlPoll,
    ClaimControl,
    ClaimEndFormerLease,
    ClaimLease,
    ClaimWrite,
    LoadJobs,
    LoadProgress,
    LoadEnds,
    ClaimKeepAlive,
    ReclaimLease,
    ReclaimWrite,
    MemberLease,
    MemberWrite,
    MemberKeepAlive,
    MemberList,
    Ignored,
};

struct Leadership
{
    ClaimPhase phase = ClaimPhase::Following;
    MonotonicTime phaseSince{};
    LeaderInfo leader;
    /// When the last message from the leader arrived; empty before the first.
    std::optional<MonotonicTime> lastLeaderMessageAt;
    bool leaderConnected = false;
    /// The leader's port refused a connection after the previous one broke, so its process has ended.
    bool leaderConnectionRefused = false;
    /// The leader reports that it can't write to the store. A daemon that can reach the store takes over: until ends
    /// are stored only workers hold them, and they are lost if a worker fails.
    bool leaderStoreFailing = false;
    /// The leader's claim is missing from the store.
    bool claimMissing = false;
    MonotonicTime claimMissingSince{};
    MonotonicTime claimAt = MonotonicTime::max();
    /// A daemon that resigned does not claim before this, so that others can.
    MonotonicTime noClaimUntil{};
    MonotonicTime nextPoll{};
    bool pollOpen = false;
    /// Whether the last poll of the claim failed, and when one last succeeded.
    bool pollFailed = false;
    MonotonicTime polledAt{};
    /// Start of the current series of successful polls.
    MonotonicTime storeAnsweringSince = MonotonicTime::max();
    MonotonicTime claimFailedAt{};
    /// Earliest time at which this daemon hands leadership over to one on a larger VM.
    MonotonicTime nextHandover{};
    /// The lease of the claim that this daemon replaces, once it has requested its end.
    std::uint64_t formerLease = 0;
    // This daemon's own claim:
    std::uint64_t lease = 0;
    /// Revision of the term key after this daemon last wrote its claim.
    std::uint64_t term = 0;
    /// When the lease of the claim was last requested from the store, which counts the lease from a later time.
    MonotonicTime leaseRequestedAt{};
    MonotonicTime nextKeepAlive{};
    MonotonicTime keepAliveSentAt{};
    bool keepAliveOpen = false;
    bool reclaiming = false;
    /// The claim is not known to be written under the current lease, so that keep-alives of the lease don't confirm it.
    bool claimUnwritten = false;
    MonotonicTime nextTokenTry{};
    std::vector<StoreItem> control;
    /// Earliest time of the next attempt to connect to the leader.
    MonotonicTime nextDial{};
    /// Since when the connection to the leader is missing, and the last turn of the search for it.
    MonotonicTime leaderMissingSince = MonotonicTime::max();
    std::int64_t searchTurn = 0;
    std::string loadAfter;
    /// The page of records to read again after a failure, and when.
    std::optional<StorePurpose> failedLoad;
    MonotonicTime failedLoadRetryAt{};
    /// Requests for the present page of records that got no reply.
    std::uint32_t loadTimeouts = 0;
    std::map<JobId, JobRecord> loadedJobs;
    std::map<JobId, std::string> loadedProgress;
    MonotonicTime leadingSince{};
    MonotonicTime followersMissingSince = MonotonicTime::max();
};

struct Member
{
    std::string name;
    std::int64_t cpuMilli = 0;
    /// Whether the most recent list contains this daemon, and when a list last did or, if none does, when its
    /// connection ended.
    bool listed = true;
    MonotonicTime listedAt{};
};

struct Membership
{
    std::uint64_t lease = 0;
    bool callOpen = false;
    bool written = false;
    MonotonicTime nextStep{};
    MonotonicTime nextList{};
    /// Daemons that the store lists or recently listed, including this one.
    std::vector<Member> members;
    /// When the list was first read after this daemon's own entry was written.
    MonotonicTime knownSince = MonotonicTime::max();
};

struct ConfigWatch
{
    std::uint64_t revision = 0;
    bool callOpen = false;
    CallId call = 0;
    MonotonicTime nextCall{};
    /// Newest version that another daemon announced, and since when it is newer than this daemon's own.
    std::uint64_t newerVersion = 0;
    MonotonicTime newerSince{};
    MonotonicTime nextRequest{};
};

/// A client's call that this daemon received and has not answered yet.
struct EntryCall
{
    ClientCall call;
    MonotonicTime receivedAt{};
    MonotonicTime deadline{};
    /// Sent to a leader at least once, so a leader may have executed it.
    bool everSent = false;
    /// Sent to the current leader.
    bool sent = false;
    MonotonicTime sentAt{};
};

/// Records of calls that may be on their way to the leader. Less than a link may queue, so that the calls that waited
/// for a new leader don't make the link fail.
constexpr std::size_t maxForwardedBytes = 1 << 20;

/// The daemon that a call came from, and the number of the call there; the answer is returned to it.
struct CallOrigin
{
    std::string node;
    CallId remoteCall = 0;
};

/// The last state that a connected daemon reported.
struct PeerState
{
    std::int64_t cpuMilli = 0;
    bool storeFailing = false;
    /// Number of its last presence message, which is echoed to it.
    std::uint64_t presenceNumber = 0;
    /// Newest presence number that this daemon had sent when the peer last reported that it reaches the store. Reports
    /// that echo no higher number may be older than that one.
    std::uint64_t storeReachedNumber = 0;
    /// When this daemon sent what the newest report of a failing store echoes; the report was made after this. The
    /// arrival proves nothing: a message may wait in a socket for seconds. Empty if there is no such report.
    std::optional<MonotonicTime> storeFailingAfter;
};

struct PresenceSent
{
    std::uint64_t number = 0;
    MonotonicTime at{};
};

struct WorkerPoll
{
    bool open = false;
    MonotonicTime next{};
    CallId call = 0;
    /// Reads in a row that got no reply.
    std::uint32_t timeouts = 0;
};

/// State of one daemon, which follows or leads and serves clients' calls.
struct Node
{
    NodeOptions options;
    Outbox outbox;
    RandomState random;
    /// Distinguishes this process from others of the same name; drawn by the first tick.
    std::uint64_t identity = 0;
    Configuration configuration;
    bool hasConfiguration = false;
    ConfigWatch configWatch;
    Leadership leadership;
    Membership membership;
    WorkerPoll workerPoll;
    std::unique_ptr<Dispatcher> dispatcher;
    absl::flat_hash_map<CallId, StorePurpose> storeCalls;
    std::map<CallId, EntryCall> entries;
    /// What the entries take.
    std::size_t entryBytes = 0;
    /// Calls whose clients have closed their connections or sending sides; dropped when there is no room for others.
    std::set<CallId> abandonedEntries;
    std::uint64_t callsRefusedByMemory = 0;
    /// Bytes that may be forwarded before the next tick.
    std::size_t forwardBudget = maxForwardedBytes;
    CallLog callLog;
    absl::flat_hash_map<CallId, CallOrigin> forwarded;
    /// Advice requests that this daemon makes on behalf of the leader.
    absl::flat_hash_map<CallId, CallOrigin> adviceOrders;
    /// Daemons that are connected, by name.
    std::vector<std::string> connectedNodes;
    /// By name; of connected daemons.
    std::map<std::string, PeerState, std::less<>> peers;
    MonotonicTime nextPresence{};
    /// The presence messages that this daemon sent recently, oldest first.
    std::vector<PresenceSent> presencesSent;
    std::uint64_t presenceNumber = 0;
    bool ready = false;
    /// The state that this daemon, as the leader, last reported to its followers.
    bool storeFailing = false;
    bool shuttingDown = false;
    /// During shutdown, all clients' calls are answered before this; otherwise without limit.
    MonotonicTime callsEndAt = MonotonicTime::max();
    Endpoint dialled;
    MonotonicTime nextSeed{};
};

/// Allocates the number of a call to the store. Its reply is routed by `purpose`.
CallId newStoreCall(Node &node, StorePurpose purpose);

// --- events ---

void handleConfigurationReply(Node &node, const ConfigurationReply &reply, Now now);
void handleStoreReply(Node &node, const StoreReply &reply, Now now);
void handleWorkersReply(Node &node, const WorkersReply &reply, Now now);
void handleOrderReply(Node &node, const OrderReply &reply, Now now);
void handleRenewReply(Node &node, const RenewReply &reply, Now now);
void handleAdviceReply(Node &node, const AdviceReply &reply, Now now);

/// Handles a client's call after routing. The answer is emitted as an AnswerClient action.
void handleClientCall(Node &node, ClientCall call, milliseconds timeLeft, Now now);
/// The client of a call won't read its answer, or has only closed its sending side.
void handleClientGone(Node &node, CallId call);

void handlePeerMessage(Node &node, std::string_view from, const PeerBody &body, Now now);
void handleNodeConnected(Node &node, std::string_view name, Now now);
void handleNodeDisconnected(Node &node, std::string_view name, Now now);
/// Handles a failed connection attempt. `refused`: no process listens on the endpoint.
void handleDialFailure(Node &node, const Endpoint &endpoint, bool refused, Now now);

/// Runs the timers that are due. Call it often; each part has its own interval.
void tick(Node &node, Now now);

/// Resigns leadership and reports not ready. Calls are still accepted, and all are answered before `callsEndAt`.
void beginShutdown(Node &node, Now now);

/// Removes and returns the actions since the last call. Answers to forwarded calls become messages to the daemons that
/// forwarded them.
std::vector<Action> takeActions(Node &node);

bool isLeading(const Node &node);

/// A message from the connected leader arrived recently. Such a leader may still rewrite a claim that is missing.
bool isLeaderResponsive(const Leadership &leadership, Now now);

/// The state that this daemon reports to the others, without a number.
Presence presenceOf(const Node &node);

} // namespace wigeonkeel::dispatch
