#include "core/cell/free_tree.h"

#include <algorithm>
#include <bit>

namespace wigeonkeel
{

namespace
{

constexpr CompactResources unusable = {.cpuMilli = -1, .memoryMib = -1, .accelerators = -1, .slots = -1};

CompactResources largest(const CompactResources &left, const CompactResources &right)
{
    return {.cpuMilli = std::max(left.cpuMilli, right.cpuMilli),
        .memoryMib = std::max(left.memoryMib, right.memoryMib),
        .accelerators = std::max(left.accelerators, right.accelerators),
        .slots = std::max(left.slots, right.slots)};
}

std::int32_t compact(std::int64_t amount)
{
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(amount, -1, INT32_MAX));
}

CompactResources compact(const Resources &amount)
{
    return {.cpuMilli = compact(amount.cpuMilli),
        .memoryMib = compact(amount.memoryMib),
        .accelerators = compact(amount.accelerators),
        .slots = compact(amount.slots)};
}

bool holds(const CompactResources &free, const Resources &size)
{
    return size.cpuMilli <= free.cpuMilli && size.memoryMib <= free.memoryMib && size.accelerators <= free.accelerators
        && size.slots <= free.slots;
}

void grow(FreeTree &tree, std::uint32_t places)
{
    FreeTree larger;
    larger.leafCount = std::bit_ceil(places);
    larger.nodes.assign(std::size_t{2} * larger.leafCount, unusable);
    for (std::uint32_t place = 0; place < tree.leafCount; ++place) {
        larger.nodes[larger.leafCount + place] = tree.nodes[tree.leafCount + place];
    }
    for (std::uint32_t node = larger.leafCount - 1; node > 0; --node) {
        larger.nodes[node] = largest(larger.nodes[2 * node], larger.nodes[2 * node + 1]);
    }
    tree = std::move(larger);
}

void setNode(FreeTree &tree, std::uint32_t place, const CompactResources &free)
{
    if (place >= tree.leafCount) {
        grow(tree, place + 1);
    }
    std::uint32_t node = tree.leafCount + place;
    tree.nodes[node] = free;
    for (node /= 2; node > 0; node /= 2) {
        const CompactResources value = largest(tree.nodes[2 * node], tree.nodes[2 * node + 1]);
        if (value == tree.nodes[node]) {
            return;
        }
        tree.nodes[node] = value;
    }
}

/// Leftmost fitting leaf below the node that is at or after `start`; `first` and `count` are the node's leaves.
std::optional<std::uint32_t> findBelow(const FreeTree &tree, const Resources &size, std::uint32_t node,
    std::uint32_t first, std::uint32_t count, std::uint32_t start)
{
    if (first + count <= start || !holds(tree.nodes[node], size)) {
        return std::nullopt;
    }
    if (count == 1) {
        return first;
    }
    const std::uint32_t half = count / 2;
    const auto left = findBelow(tree, size, 2 * node, first, half, start);
    return left ? left : findBelow(tree, size, 2 * node + 1, first + half, half, start);
}

} // namespace

void setFree(FreeTree &tree, std::uint32_t place, const Resources &free)
{
    setNode(tree, place, compact(free));
}

void copyFree(FreeTree &tree, std::uint32_t to, std::uint32_t from)
{
    setNode(tree, to, CompactResources(tree.nodes[tree.leafCount + from]));
}

void clearFree(FreeTree &tree, std::uint32_t place)
{
    setNode(tree, place, unusable);
}

bool mayFit(const FreeTree &tree, const Resources &size)
{
    return tree.leafCount > 0 && holds(tree.nodes[1], size);
}

std::optional<std::uint32_t> findFit(const FreeTree &tree, const Resources &size, std::uint32_t start)
{
    if (!mayFit(tree, size)) {
        return std::nullopt;
    }
    const auto found = findBelow(tree, size, 1, 0, tree.leafCount, start);
    return found || start == 0 ? found : findBelow(tree, size, 1, 0, tree.leafCount, 0);
}

} // namespace wigeonkeel
