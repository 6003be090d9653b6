#pragma once

#include "core/dispatch/node.h"

namespace wigeonkeel::dispatch
{

/// Follows this leader if its token is higher than that of the known leader. Steps down if this daemon leads.
void followLeader(Node &node, const LeaderInfo &leader, Now now);

/// True if the claim was written by this process or by a former one on the same VM, which has ended: both listen on the
/// same endpoint. The name alone doesn't prove it: after a planned replacement another VM may have it while the former
/// one still runs.
bool isFromThisEndpoint(const Node &node, const LeaderInfo &claim);

enum class StepDownKind : std::uint8_t {
    /// Another daemon leads already.
    Replaced,
    /// This daemon leaves the claim to others for a while.
    Resigned,
};

/// Ends this daemon's own claim. `why` is written to the log.
void stepDown(Node &node, StepDownKind kind, std::string_view why, Now now);

/// Runs the timers of the claim, of its lease and of the polls for it.
void tickLeadership(Node &node, Now now);

/// Handles a reply of the store if its purpose concerns leadership; otherwise returns false.
bool handleLeadershipReply(Node &node, StorePurpose purpose, const StoreReply &reply, Now now);

/// Completes the claim: from now on this daemon leads. Called when a new leader has read the worker directory for the
/// first time.
void startLeading(Node &node, Now now);

/// Requests a connection to the leader unless one was requested already or an attempt failed just before.
void dialLeader(Node &node, Now now);

} // namespace wigeonkeel::dispatch
