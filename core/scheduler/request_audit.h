#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/peer_messages.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace wigeonkeel
{

struct Scheduler;

/// Requests that were started and of which this home has heard nothing for long, although no owner it knows has them.
struct RequestAudit
{
    struct Question
    {
        /// Peers that have not denied to know the request.
        std::set<std::string, std::less<>> waiting;
        /// Kept for examineTakeover().
        MonotonicTime ownedSince{};
    };

    std::map<RequestKey, Question> questions;
    MonotonicTime nextRound{};
    milliseconds interval{2000};
    /// Longer than a takeover, which brings news by itself.
    milliseconds silence{10000};
};

/// Asks all peers about such requests. One that nobody knows is ended as unknown: without this, its caller would wait
/// until the connection times out, because the update with its end was lost with a daemon.
void tickRequestAudit(Scheduler &scheduler, const Now &now, Actions &actions);

/// Takes note of a peer's answer to a lookup.
void noteAuditReply(Scheduler &scheduler, std::string_view from, const LookupReplyMessage &message, const Now &now);

} // namespace wigeonkeel
