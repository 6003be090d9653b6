#pragma once

#include "core/dispatch/dispatcher.h"
#include "core/dispatch/outbox.h"
#include "core/routing/random.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <optional>
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
    /// Processor share in thousandths; the largest VMs claim leadership first.
    std::int64_t cpuMilli = 0;
    DispatchBounds bounds;
    /// Time that the platform grants to a process after it was told to end.
    milliseconds shutdownGrace{6000};
};

/// Steps from follower to leader.
enum class ClaimPhase : std::uint8_t {
    Following,
    ReadingControl,
    OpeningLease,
    WritingClaim,
    LoadingJobs,
    LoadingProgress,
    LoadingWorkers,
    Leading,
};

/// What a call to the store was for.
enum class StorePurpose : std::uint8_t {
    ControlPoll,
    ClaimControl,
    ClaimLease,
    ClaimWrite,
    LoadJobs,
    LoadProgress,
    LoadEnds,
    KeepLeadership,
    ReclaimLease,
    ReclaimWrite,
    MemberLease,
    MemberWrite,
    MemberKeep,
    MemberList,
    Ignored,
};

struct Leadership
{
    ClaimPhase phase = ClaimPhase::Following;
    MonotonicTime phaseSince{};
    LeaderInfo leader;
    /// Last time that the leader's connection delivered something.
    MonotonicTime leaderHeardAt{};
    bool leaderConnected = false;
    /// The leader's port refused a connection after the one before broke: its process is gone.
    bool leaderRefused = false;
    /// The leader says that it can't write to the store; a daemon that can takes over, before ends that only workers
    /// keep are lost with a worker.
    bool leaderStoreFailing = false;
    /// The claim vanished from the store.
    bool claimMissing = false;
    MonotonicTime claimMissingSince{};
    MonotonicTime claimAt = MonotonicTime::max();
    /// After resigning, others go first.
    MonotonicTime noClaimUntil{};
    MonotonicTime nextPoll{};
    bool pollOpen = false;
    /// How the last poll of the claim ended, and when one was answered.
    bool pollFailed = false;
    MonotonicTime polledAt{};
    /// All polls since then were answered.
    MonotonicTime storeHeardSince = MonotonicTime::max();
    MonotonicTime claimFailedAt{};
    /// This daemon does not hand over to a larger VM before this.
    MonotonicTime nextHandover{};
    // Of this daemon's own claim:
    std::uint64_t lease = 0;
    /// Revision of the term's key when this daemon wrote its claim last.
    std::uint64_t term = 0;
    MonotonicTime keptAt{};
    MonotonicTime nextKeep{};
    MonotonicTime keepSentAt{};
    bool keepOpen = false;
    bool reclaiming = false;
    MonotonicTime nextTokenTry{};
    std::vector<StoreItem> control;
    std::string loadAfter;
    std::map<JobId, JobRecord> loadedJobs;
    std::map<JobId, std::string> loadedProgress;
    MonotonicTime leadingSince{};
    MonotonicTime followersMissingSince = MonotonicTime::max();
};

struct Member
{
    std::string name;
    std::int64_t cpuMilli = 0;
    /// In the newest list, and when it was in one.
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
    /// Daemons whose entries the store lists or listed a moment ago, this one included.
    std::vector<Member> members;
    /// When the list was read first after this daemon's own entry was written.
    MonotonicTime knownSince = MonotonicTime::max();
};

struct ConfigWatch
{
    std::uint64_t revision = 0;
    bool callOpen = false;
    CallId call = 0;
    MonotonicTime nextCall{};
    /// Newest version that another daemon has shown, and since when it is newer than this daemon's own.
    std::uint64_t newerVersion = 0;
    MonotonicTime newerSince{};
    MonotonicTime nextRequest{};
};

/// A client's call that this daemon took.
struct EntryCall
{
    ClientCall call;
    MonotonicTime takenAt{};
    MonotonicTime deadline{};
    /// A leader may have it.
    bool everSent = false;
    /// The present leader has it.
    bool sent = false;
};

/// A call of another daemon that this one, as the leader, is answering.
struct ForwardedFrom
{
    std::string node;
    CallId remoteCall = 0;
};

/// What a connected daemon says of itself.
struct PeerState
{
    std::int64_t cpuMilli = 0;
    bool storeFailing = false;
    MonotonicTime heardAt{};
};

struct WorkerPoll
{
    bool open = false;
    MonotonicTime next{};
    CallId call = 0;
};

/// One daemon: follows or leads, and takes clients' calls.
struct Node
{
    NodeOptions options;
    Outbox outbox;
    RandomState random;
    Configuration configuration;
    bool hasConfiguration = false;
    ConfigWatch configWatch;
    Leadership leadership;
    Membership membership;
    WorkerPoll workerPoll;
    std::unique_ptr<Dispatcher> dispatcher;
    absl::flat_hash_map<CallId, StorePurpose> storeCalls;
    std::map<CallId, EntryCall> entries;
    absl::flat_hash_map<CallId, ForwardedFrom> forwarded;
    /// Questions to the adviser that the leader gave to this daemon.
    absl::flat_hash_map<CallId, ForwardedFrom> adviceOrders;
    /// Daemons that are connected, by name.
    std::vector<std::string> connectedNodes;
    /// By name; of connected daemons.
    std::map<std::string, PeerState, std::less<>> peers;
    MonotonicTime nextPresence{};
    bool ready = false;
    /// Told to the followers.
    bool storeFailing = false;
    bool shuttingDown = false;
    /// By then all clients' calls are answered, because the process ends; never, unless it shuts down.
    MonotonicTime callsEndAt = MonotonicTime::max();
    Endpoint dialled;
    MonotonicTime nextSeed{};
};

/// Numbers a call to the store; its reply goes to the part that this purpose belongs to.
CallId storeCall(Node &node, StorePurpose purpose);

// --- events ---

void takeConfiguration(Node &node, const ConfigurationReply &reply, Now now);
void takeStoreReply(Node &node, const StoreReply &reply, Now now);
void takeWorkers(Node &node, const WorkersReply &reply, Now now);
void takeOrderReply(Node &node, const OrderReply &reply, Now now);
void takeRenewReply(Node &node, const RenewReply &reply, Now now);
void takeAdviceReply(Node &node, const AdviceReply &reply, Now now);

/// A client's call, after routing; its answer comes as AnswerClient.
void takeClient(Node &node, ClientCall call, milliseconds timeLeft, Now now);

void takePeerMessage(Node &node, std::string_view from, const PeerBody &body, Now now);
void nodeConnected(Node &node, std::string_view name, Now now);
void nodeDisconnected(Node &node, std::string_view name, Now now);
/// The dialled endpoint did not take the connection. `refused`: no process listens there.
void dialFailed(Node &node, const Endpoint &endpoint, bool refused, Now now);

/// Timers. Call often; each part has its own interval.
void tick(Node &node, Now now);

/// Gives up leadership and readiness. Calls are still taken, and all of them are answered before `callsEndAt`.
void beginShutdown(Node &node, Now now);

/// Actions since the last call, with the answers to other daemons' clients sent on their way.
std::vector<Action> takeActions(Node &node);

bool isLeading(const Node &node);

/// The leader was heard a moment ago; it may still renew a claim that vanished.
bool isLeaderHeard(const Leadership &leadership, Now now);

/// What this daemon tells the others of itself.
Presence presenceOf(const Node &node);

} // namespace wigeonkeel::dispatch
