#pragma once

#include "core/clock.h"
#include "core/protocol/membership.h"

#include <span>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// Names of this daemon and its peers that may live, sorted: the order of the ring. Valid as long as the table.
std::vector<std::string_view> makeRing(const MembershipTable &table);

/// The daemons that heartbeats of one daemon go to, as far as this daemon knows the ring: the successors at distances
/// 1, 2, 4, ... and then the next ones, up to the fanout.
std::vector<std::string_view> targetsOf(
    const MembershipTable &table, std::span<const std::string_view> ring, std::string_view daemon);

/// Sets which peers this daemon expects heartbeats from.
void refreshWatched(MembershipTable &table, std::span<const std::string_view> ring, const Now &now);

} // namespace wigeonkeel
