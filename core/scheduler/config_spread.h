#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/peer_messages.h"

#include <string_view>

namespace wigeonkeel
{

struct Scheduler;

/// When this daemon may ask a peer for configuration again. The records themselves are in ConfigTable.
struct ConfigSpread
{
    MonotonicTime nextPull{};
    milliseconds pullInterval{1000};
};

/// Asks a peer for what is newer there, while the store does not answer here.
void pullConfigIfBehind(
    Scheduler &scheduler, std::string_view peer, std::uint64_t peerRevision, const Now &now, Actions &actions);

/// Answers with records that are newer than the asker's revision, oldest first, in one message of bounded size.
void onConfigPull(
    const Scheduler &scheduler, std::string_view from, const ConfigPullMessage &message, Actions &actions);

/// Takes over records of a peer; asks for the rest if the message did not hold all.
void onConfigPush(Scheduler &scheduler, std::string_view from, const ConfigPushMessage &message, Actions &actions);

} // namespace wigeonkeel
