#pragma once

#include "core/answer.h"
#include "core/caller_messages.h"
#include "core/resources.h"
#include "core/task.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wigeonkeel
{

/// Daemon as peers know it.
struct PeerInfo
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string zone;
    /// Random at each start; tells a restarted daemon from its predecessor.
    std::uint64_t incarnation = 0;

    bool operator==(const PeerInfo &) const = default;
};

/// Daemons of different versions refuse each other's connections. Version 2: heartbeats as changes and repeats.
inline constexpr std::uint32_t peerProtocolVersion = 2;

/// First message on a connection, in both directions.
struct HelloMessage
{
    PeerInfo from;
    std::uint32_t protocolVersion = peerProtocolVersion;
};

/// A daemon incarnation that the sender holds for dead.
struct PeerDeath
{
    std::string name;
    std::uint64_t incarnation = 0;

    bool operator==(const PeerDeath &) const = default;
};

struct HeartbeatMessage
{
    PeerInfo from;
    std::uint64_t sequence = 0;
    /// Sum over owned workers.
    Resources capacity;
    Resources free;
    std::uint32_t ownedWorkers = 0;
    std::uint32_t queuedTasks = 0;
    /// Store revision up to which configuration is in force here.
    std::uint64_t configRevision = 0;
    bool draining = false;
    bool storeReachable = false;
    /// Workers that this daemon knows as leaving.
    std::vector<std::string> leavingWorkers;
    /// Peers heard from within the heartbeat limit; lets one lossy link accuse nobody.
    std::vector<std::string> alivePeers;
    /// Recent deaths, passed on so that daemons outside the ring neighbourhood of a dead one learn of it.
    std::vector<PeerDeath> deadPeers;

    bool operator==(const HeartbeatMessage &) const = default;
};

/// What differs from the last heartbeat on the same connection; only the load may. The connection makes a whole
/// heartbeat of it, so that no other part sees this message.
struct HeartbeatChangeMessage
{
    /// Nothing if unchanged.
    std::optional<Resources> capacity;
    std::optional<Resources> free;
    std::uint32_t ownedWorkers = 0;
    std::uint32_t queuedTasks = 0;
    std::uint64_t configRevision = 0;
    bool storeReachable = false;
};

/// A caller's request on its way to its home daemon.
struct ForwardMessage
{
    std::uint64_t exchange = 0;
    Submission submission;
    bool wait = true;
    /// Counts daemons passed, so that two views of the membership can't make a loop.
    std::uint32_t hops = 0;
};

/// A query or cancel on its way to the home daemon.
struct ForwardQueryMessage
{
    std::uint64_t exchange = 0;
    std::string operatorName;
    std::string id;
    bool wait = false;
    bool cancel = false;
};

/// Home's answer, in chunks of the result; a receiver takes them in any order and repeated.
struct AnswerMessage
{
    std::uint64_t exchange = 0;
    Answer answer;
    /// Place of `answer.result` in the whole result.
    std::uint64_t offset = 0;
    std::uint64_t totalSize = 0;
};

/// Asks an owner to start a task on one of its workers.
struct OfferMessage
{
    std::uint64_t exchange = 0;
    TaskSpec task;
    /// Remaining time until the start is of no use; 0 for no limit, negative if it has passed: the receiver then only
    /// repeats an answer that it gave before, or refuses.
    milliseconds startWithin{0};
};

enum class OfferStatus : std::uint8_t {
    /// A start was sent; the report of its end follows as a TaskUpdateMessage.
    Accepted,
    /// No start was sent.
    Refused,
};

struct OfferReplyMessage
{
    std::uint64_t exchange = 0;
    TaskId task;
    OfferStatus status = OfferStatus::Refused;
    std::string worker;
    std::string reason;
};

enum class TaskProgress : std::uint8_t {
    /// A start is about to be sent; from here on the task may run.
    Sent,
    /// No start was sent and none will be, unless the home queues the task again.
    Refused,
    /// The worker confirmed the start.
    Running,
    /// Surely not started; may be started elsewhere.
    NotStarted,
    Done,
    Failed,
    Stopped,
    /// Can't be shown whether it ran; surely not running now.
    Lost,
    /// Can't be shown whether it ran, nor that it is not running now.
    Unresolved,
};

/// What an owner tells the home daemon about a task; sent until acknowledged.
struct TaskUpdateMessage
{
    TaskId task;
    /// Daemon that accepted the work, from the task's label.
    std::string home;
    TaskProgress progress = TaskProgress::Running;
    std::string worker;
    std::string result;
    std::uint64_t digest = 0;
    std::string detail;
    /// Number of the start that the update is about; 0 if the owner found the task and does not know it.
    std::uint32_t startCount = 1;
};

struct TaskUpdateAckMessage
{
    TaskId task;
    TaskProgress progress = TaskProgress::Running;
};

enum class LookupStatus : std::uint8_t {
    /// Not known here, and from now on refused from memory (tombstone).
    NotKnown,
    /// A task of the request is on a worker that the answering daemon owns.
    OnWorker,
    /// Accepted here; the answer says how far it is.
    Known,
    /// Some owned workers are still being rebuilt; ask again.
    NotReady,
};

struct LookupMessage
{
    std::uint64_t exchange = 0;
    RequestKey key;
    WallTime created{};
};

struct LookupReplyMessage
{
    std::uint64_t exchange = 0;
    RequestKey key;
    LookupStatus status = LookupStatus::NotReady;
    Answer answer;
    /// Sum of the hashes of the names of the workers that the sender holds; see core/scheduler/worker_coverage.h.
    std::uint64_t heldWorkers = 0;
    /// A worker left the VM list lately, and requests may still run on it.
    bool unlisted = false;
};

/// Asks an owner to set room aside for tasks of a gang.
struct ReserveMessage
{
    std::uint64_t exchange = 0;
    RequestKey gang;
    std::vector<TaskSpec> tasks;
    milliseconds holdFor{0};
};

struct ReserveReplyMessage
{
    std::uint64_t exchange = 0;
    RequestKey gang;
    /// Tasks that room was set aside for.
    std::vector<std::uint32_t> held;
};

struct CommitMessage
{
    std::uint64_t exchange = 0;
    RequestKey gang;
    std::vector<std::uint32_t> tasks;
};

struct CommitReplyMessage
{
    std::uint64_t exchange = 0;
    RequestKey gang;
    bool started = false;
};

struct AbortMessage
{
    /// Number of the attempt, as in its Reserve; a late Abort must not end a later attempt.
    std::uint64_t exchange = 0;
    RequestKey gang;
};

/// Stop tasks of a job that run on the receiver's workers.
struct StopTasksMessage
{
    RequestKey job;
    /// Empty for all tasks.
    std::vector<std::uint32_t> tasks;
    std::string reason;
};

struct ConfigPullMessage
{
    /// Revision up to which the sender is up to date.
    std::uint64_t revision = 0;
};

struct ConfigRecord
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

struct ConfigPushMessage
{
    std::uint64_t revision = 0;
    std::vector<ConfigRecord> records;
    /// More records follow in further messages.
    bool more = false;
};

/// Asks a peer whether it hears a third one.
struct ProbeMessage
{
    std::uint64_t exchange = 0;
    std::string target;
};

struct ProbeReplyMessage
{
    std::uint64_t exchange = 0;
    std::string target;
    bool heard = false;
};

using PeerMessage = std::variant<HelloMessage, HeartbeatMessage, ForwardMessage, ForwardQueryMessage, AnswerMessage,
    OfferMessage, OfferReplyMessage, TaskUpdateMessage, TaskUpdateAckMessage, LookupMessage, LookupReplyMessage,
    ReserveMessage, ReserveReplyMessage, CommitMessage, CommitReplyMessage, AbortMessage, StopTasksMessage,
    ConfigPullMessage, ConfigPushMessage, ProbeMessage, ProbeReplyMessage, HeartbeatChangeMessage>;

/// A message that arrived from a peer.
struct PeerReceived
{
    std::string from;
    PeerMessage message;
};

/// The connection to a peer opened (after Hello in both directions) or closed.
struct PeerLinkChanged
{
    std::string peer;
    bool up = false;
    std::string detail;
};

} // namespace wigeonkeel
