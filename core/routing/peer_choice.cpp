#include "core/routing/peer_choice.h"

#include <algorithm>
#include <vector>

namespace wigeonkeel
{

namespace
{

constexpr std::int64_t wholeShare = 1000;
/// A difference below this is noise on a network with varying delay.
constexpr double clearlySlower = 2.0;

std::int64_t shareOf(std::int64_t free, std::int64_t asked, std::int64_t capacity)
{
    if (asked <= 0) {
        return wholeShare;
    }
    if (free < asked || capacity <= 0) {
        return -1;
    }
    return (free - asked) * wholeShare / capacity;
}

} // namespace

std::int64_t freeShare(const PeerCandidate &candidate, const Resources &size)
{
    return std::min({shareOf(candidate.free.cpuMilli, size.cpuMilli, candidate.capacity.cpuMilli),
        shareOf(candidate.free.memoryMib, size.memoryMib, candidate.capacity.memoryMib),
        shareOf(candidate.free.accelerators, size.accelerators, candidate.capacity.accelerators),
        shareOf(candidate.free.slots, size.slots, candidate.capacity.slots)});
}

bool isBetter(const PeerCandidate &left, const PeerCandidate &right, const Resources &size)
{
    const std::int64_t leftShare = freeShare(left, size);
    const std::int64_t rightShare = freeShare(right, size);
    if ((leftShare < 0) != (rightShare < 0)) {
        return rightShare < 0;
    }
    if (left.sameZone != right.sameZone) {
        return left.sameZone;
    }
    if (left.latency.known && right.latency.known) {
        if (left.latency.micros > right.latency.micros * clearlySlower) {
            return false;
        }
        if (right.latency.micros > left.latency.micros * clearlySlower) {
            return true;
        }
    }
    return leftShare > rightShare;
}

std::optional<std::size_t> choosePeer(
    std::span<const PeerCandidate> candidates, const Resources &size, RandomState &random)
{
    std::vector<std::size_t> near;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (freeShare(candidates[i], size) < 0) {
            continue;
        }
        all.push_back(i);
        if (candidates[i].sameZone) {
            near.push_back(i);
        }
    }
    const std::vector<std::size_t> &usable = near.empty() ? all : near;
    if (usable.empty()) {
        return std::nullopt;
    }
    const std::size_t first = randomBelow(random, usable.size());
    if (usable.size() == 1) {
        return usable[first];
    }
    // The second sample is drawn from the others, so that the two differ.
    const std::size_t second = (first + 1 + randomBelow(random, usable.size() - 1)) % usable.size();
    const bool firstIsBetter = isBetter(candidates[usable[first]], candidates[usable[second]], size);
    return usable[firstIsBetter ? first : second];
}

} // namespace wigeonkeel
