#pragma once

#include "core/clock.h"
#include "core/dispatch/messages.h"

#include <span>
#include <string_view>

namespace wigeonkeel::dispatch
{

struct Node;

/// Decides which daemon should lead. The leader sends all orders, so it should run on a VM with a large processor
/// share; a small VM leads only while no larger one can.

/// Updates the list of daemons from the store. Daemons that are missing keep their rank for a while, because during an
/// outage of the store the leases of running daemons expire too.
void updateMembers(Node &node, std::span<const StoreItem> items, std::string_view prefix, Now now);

/// Keeps a daemon that has disconnected but is not in the list: it may be running and write the claim.
void keepUnlistedMember(Node &node, std::string_view name, Now now);

/// How long this daemon waits before it claims, so that daemons of a higher rank can claim first.
milliseconds rankDelay(const Node &node);

/// True once the daemons that started together with this one have had time to write their entries to the store.
bool areRanksKnown(const Node &node, Now now);

/// True once this follower should write the claim.
bool isClaimDue(Node &node, Now now);

/// Why this leader should resign in favour of another daemon; empty if it should not.
std::string_view reasonToResign(Node &node, Now now);

/// The name of a known daemon that may have claimed leadership: it has not provably reported within the time that a
/// takeover adds to a lease that it can't reach the store. Empty if there is none.
std::string_view daemonThatMayLead(const Node &node, Now now);

/// True while this leader may extend worker leases, because any successor's takeover would wait until the extended
/// leases expire. That holds if the store confirmed the claim within the time that a takeover adds to a lease, or if
/// every other daemon reported within this time that it can't reach the store either.
bool isLeaseExtensionSafe(const Node &node, Now now);

} // namespace wigeonkeel::dispatch
