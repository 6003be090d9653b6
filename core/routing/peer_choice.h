#pragma once

#include "core/clock.h"
#include "core/resources.h"
#include "core/routing/latency.h"
#include "core/routing/random.h"

#include <optional>
#include <span>
#include <string_view>

namespace wigeonkeel
{

/// A peer that a task could be offered to.
struct PeerCandidate
{
    std::string_view name;
    bool sameZone = false;
    /// Sums over the peer's workers, from its last heartbeat.
    Resources capacity;
    Resources free;
    LatencyAverage latency;
};

/// Smallest free share of the resources that the task asks for, in thousandths after the task was placed. Negative if
/// the sum of free capacity is too small.
std::int64_t freeShare(const PeerCandidate &candidate, const Resources &size);

/// True if `left` is to be preferred: fits at all, then same availability zone, then clearly lower latency (less than
/// half), then more free capacity.
bool isBetter(const PeerCandidate &left, const PeerCandidate &right, const Resources &size);

/// The better of two sampled candidates on which the task can fit, sampled in its own availability zone if any is
/// there. Two samples instead of the best of all: all daemons see the same stale summaries and would choose the same
/// peer.
std::optional<std::size_t> choosePeer(
    std::span<const PeerCandidate> candidates, const Resources &size, RandomState &random);

} // namespace wigeonkeel
