#pragma once

#include "core/dispatch/configuration.h"
#include "core/dispatch/messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wigeonkeel::dispatch
{

/// The leader that a daemon knows. A higher token is newer.
struct LeaderInfo
{
    /// Revision of the leader's claim in the store; also the fencing token of its orders. 0 if no leader is known.
    std::uint64_t token = 0;
    std::string node;
    Endpoint endpoint;
    /// Random number of the process that claimed; 0 if it is unknown. A name may pass to another VM while the former
    /// one still runs.
    std::uint64_t identity = 0;
};

/// Sent when a connection opens, after every change of leader, and as a heartbeat.
struct Presence
{
    std::string node;
    LeaderInfo leader;
    std::uint64_t configVersion = 0;
    /// Processor share of the sender's VM in thousandths of a core.
    std::int64_t cpuMilli = 0;
    /// The sender leads and its writes to the store fail, or it follows and its reads fail. False during an attempt to
    /// claim leadership.
    bool storeFailing = false;
    /// Rises with each message of the sender, from a random start; 0 if it is not numbered.
    std::uint64_t number = 0;
    /// The number that the sender last received from the addressee: this message was sent after that one. 0 if none.
    std::uint64_t echo = 0;
};

/// A client's call that a follower forwards to the leader.
struct ForwardedCall
{
    ClientCall call;
};

struct ForwardedAnswer
{
    ClientAnswer answer;
};

/// Sent by the leader to have another daemon call the placement adviser, which serves one call at a time for each VM.
struct AdviceOrder
{
    RequestAdvice request;
};

struct AdviceResult
{
    AdviceReply reply;
};

/// Requests the operator's settings that another daemon has.
struct ConfigurationRequest
{
    std::uint64_t newerThan = 0;
};

/// The operator's settings, without the lookup indexes that are derived from them.
struct ConfigurationTransfer
{
    Configuration configuration;
};

using PeerBody = std::variant<Presence, ForwardedCall, ForwardedAnswer, AdviceOrder, AdviceResult, ConfigurationRequest,
    ConfigurationTransfer>;

/// Sends a message to a daemon; it is dropped if no connection to that daemon is open.
struct SendToNode
{
    std::string node;
    PeerBody body;
};

/// Opens and maintains a connection to an endpoint; closes the one that was maintained before.
struct DialNode
{
    /// With an empty `ip`, no connection is maintained.
    Endpoint endpoint;
};

/// Whether new client connections should be directed to this daemon.
struct ReadinessChanged
{
    bool ready = false;
};

} // namespace wigeonkeel::dispatch
