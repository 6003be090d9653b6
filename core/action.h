#pragma once

#include "core/answer.h"
#include "core/caller_messages.h"
#include "core/log.h"
#include "core/observation.h"
#include "core/operator_messages.h"
#include "core/peer_messages.h"
#include "core/store_messages.h"
#include "core/worker_messages.h"

#include <string>
#include <variant>
#include <vector>

namespace wigeonkeel
{

/// Exchange commands with a worker. One is under way at a time for each worker; the rest waits in the adapter.
struct SendToWorker
{
    std::string worker;
    std::string address;
    std::uint16_t port = 0;
    std::vector<WorkerCommand> commands;
    /// Ask for every task that is present, not only for what changed.
    bool fullReport = false;
};

/// Stop talking to a worker and close its connections.
struct ForgetWorker
{
    std::string worker;
};

struct SendToPeer
{
    std::string peer;
    PeerMessage message;
};

/// Open a connection to this peer and keep it open, or (`keep` false) close it.
struct KeepPeer
{
    PeerInfo peer;
    bool keep = true;
};

struct ReplyToCaller
{
    CallerToken caller = 0;
    Answer answer;
};

/// Nothing is in flight any more; the process may end.
struct DrainedAction
{
};

struct LogAction
{
    LogLevel level = LogLevel::Info;
    std::string_view part;
    std::string text;
};

using Action = std::variant<SendToWorker, ForgetWorker, SendToPeer, KeepPeer, StoreCall, ReplyToCaller, OperatorReply,
    DrainedAction, LogAction, ObserveAction>;

using Actions = std::vector<Action>;

} // namespace wigeonkeel
