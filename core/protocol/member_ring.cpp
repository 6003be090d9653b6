#include "core/protocol/member_ring.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// Distances along the ring that heartbeats go to: 1, 2, 4, ... and then the smallest others; all if they are few.
std::vector<std::size_t> heartbeatDistances(std::size_t others, std::size_t fanout)
{
    std::vector<std::size_t> distances;
    for (std::size_t distance = 1; distance <= others && distances.size() < fanout; distance *= 2) {
        distances.push_back(distance);
    }
    for (std::size_t distance = 3; distance <= others && distances.size() < fanout; ++distance) {
        if ((distance & (distance - 1)) != 0) {
            distances.push_back(distance);
        }
    }
    return distances;
}

} // namespace

std::vector<std::string_view> makeRing(const MembershipTable &table)
{
    std::vector<std::string_view> ring;
    for (const auto &[name, peer] : table.peers) {
        // A dead peer with a connection is one that this daemon has not heard yet or again.
        if (peer.liveness != PeerLiveness::Dead || peer.linkUp) {
            ring.push_back(name);
        }
    }
    const std::string_view self = table.options.self.name;
    ring.insert(std::ranges::upper_bound(ring, self), self);
    return ring;
}

std::vector<std::string_view> targetsOf(
    const MembershipTable &table, std::span<const std::string_view> ring, std::string_view daemon)
{
    const auto place = std::ranges::lower_bound(ring, daemon);
    if (place == ring.end() || *place != daemon) {
        return {};
    }
    const auto index = static_cast<std::size_t>(place - ring.begin());
    std::vector<std::string_view> targets;
    for (const std::size_t distance : heartbeatDistances(ring.size() - 1, table.options.fanout)) {
        targets.push_back(ring[(index + distance) % ring.size()]);
    }
    return targets;
}

void refreshWatched(MembershipTable &table, std::span<const std::string_view> ring, const Now &now)
{
    for (auto &[name, peer] : table.peers) {
        const auto targets = targetsOf(table, ring, name);
        const bool watched = std::ranges::find(targets, table.options.self.name) != targets.end();
        if (!watched) {
            peer.watchedSince = {};
        } else if (peer.watchedSince == MonotonicTime{}) {
            peer.watchedSince = now.monotonic;
        }
    }
}

} // namespace wigeonkeel
