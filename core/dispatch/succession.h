#pragma once

#include "core/clock.h"
#include "core/dispatch/messages.h"

#include <span>
#include <string_view>

namespace wigeonkeel::dispatch
{

struct Node;

/// Which daemon should lead. All orders pass through the leader, so it belongs on a VM with much processor; a small one
/// leads only while no larger one can.

/// Keeps the list of daemons from the store. Daemons that are missing keep their rank for a while: an outage of the
/// store ends the leases of daemons that live.
void rememberMembers(Node &node, std::span<const StoreItem> items, std::string_view prefix, Now now);

/// How long this daemon leaves the claim to those that should lead before it.
milliseconds claimSpacing(const Node &node);

/// The daemons that started together with this one have written their entries, and the list was read since.
bool areRanksKnown(const Node &node, Now now);

/// A follower's decision: true once this daemon should write the claim.
bool isClaimDue(Node &node, Now now);

/// Why this leader should make room for another; empty if it should not.
std::string_view reasonToResign(Node &node, Now now);

/// True while no other daemon can lead whose takeover doesn't wait for the leases that this leader extends now: the
/// store confirmed the claim within the time that a takeover adds to a lease, or every other daemon was heard a moment
/// ago and doesn't reach the store either.
bool isClaimSure(const Node &node, Now now);

} // namespace wigeonkeel::dispatch
