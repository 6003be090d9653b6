#pragma once

#include "core/dispatch/configuration.h"
#include "core/dispatch/messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Who leads, as a daemon knows it. A higher token is newer.
struct LeaderInfo
{
    /// Revision of the claim in the store; also the fencing token of its orders. 0 for none.
    std::uint64_t token = 0;
    std::string node;
    Endpoint endpoint;
};

/// Sent when a connection opens, with every change of the leader and as a heartbeat.
struct Presence
{
    std::string node;
    LeaderInfo leader;
    std::uint64_t configVersion = 0;
    /// Processor share of the sender's VM in thousandths of a core.
    std::int64_t cpuMilli = 0;
    /// The sender leads and its writes to the store fail, or it follows and its reads fail.
    bool storeFailing = false;
};

/// A client's call, handed to the leader.
struct ForwardedCall
{
    ClientCall call;
};

struct ForwardedAnswer
{
    ClientAnswer answer;
};

/// The leader asks a daemon to call the placement adviser, which serves one call at a time for each VM.
struct AdviceOrder
{
    AskAdvice ask;
};

struct AdviceResult
{
    AdviceReply reply;
};

/// Asks a daemon for the operator's settings that it has.
struct ConfigurationRequest
{
    std::uint64_t newerThan = 0;
};

/// The operator's settings, without their indexes.
struct ConfigurationTransfer
{
    Configuration configuration;
};

using PeerBody = std::variant<Presence, ForwardedCall, ForwardedAnswer, AdviceOrder, AdviceResult, ConfigurationRequest,
    ConfigurationTransfer>;

/// Sends on the connection with the daemon of this name; dropped if there is none.
struct SendToNode
{
    std::string node;
    PeerBody body;
};

/// Keeps a connection to an endpoint; the one kept before ends.
struct DialNode
{
    /// Empty ip for none.
    Endpoint endpoint;
};

/// Whether new connections of clients are welcome.
struct ReadinessChanged
{
    bool ready = false;
};

} // namespace wigeonkeel::dispatch
