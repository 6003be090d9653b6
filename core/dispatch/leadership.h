#pragma once

#include "core/dispatch/node.h"

namespace wigeonkeel::dispatch
{

/// A higher token was seen: follows that leader, and stops leading.
void followLeader(Node &node, const LeaderInfo &leader, Now now);

enum class StepDown : std::uint8_t {
    /// Another daemon leads already.
    Replaced,
    /// Others go first for a while.
    Resigns,
};

/// Ends this daemon's own claim. `why` is for the log.
void stepDown(Node &node, StepDown kind, std::string_view why, Now now);

/// Timers of claim, renewal and polls.
void tickLeadership(Node &node, Now now);

/// Takes a reply for one of the purposes of leadership. False if it is for another part.
bool takeLeadershipReply(Node &node, StorePurpose purpose, const StoreReply &reply, Now now);

/// The worker directory was read for the first time by a new leader.
void finishTakeover(Node &node, Now now);

/// Asks the daemon that leads, or that may know who leads, for a connection.
void dialLeader(Node &node);

} // namespace wigeonkeel::dispatch
