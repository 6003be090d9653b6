#pragma once

#include "core/resources.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace wigeonkeel
{

/// Resources in half the space, so that the trees of a large cell stay in the processor's cache. Amounts beyond 31 bits
/// (two million cores, two pebibytes) are cut off.
struct CompactResources
{
    std::int32_t cpuMilli = 0;
    std::int32_t memoryMib = 0;
    std::int32_t accelerators = 0;
    std::int32_t slots = 0;

    bool operator==(const CompactResources &) const = default;
};

/// Largest free amounts over ranges of places, as a complete binary tree. Finds a place on which a size fits without
/// looking at each: a range is skipped if one amount is too small everywhere in it.
struct FreeTree
{
    /// Node 1 is the root, the children of node n are 2n and 2n+1, the leaves start at `leafCount`.
    std::vector<CompactResources> nodes;
    std::uint32_t leafCount = 0;
};

/// Sets the free amount of a place; the tree grows as needed. Logarithmic.
void setFree(FreeTree &tree, std::uint32_t place, const Resources &free);

/// Gives a place the amount of another one.
void copyFree(FreeTree &tree, std::uint32_t to, std::uint32_t from);

/// Makes a place unusable.
void clearFree(FreeTree &tree, std::uint32_t place);

/// True if some single place may hold the size; false is certain.
bool mayFit(const FreeTree &tree, const Resources &size);

/// The first place from `start` on that holds the size, then from 0 on. Logarithmic when one amount decides; a mix of
/// places that each lack another amount costs more, at most one visit for each node.
std::optional<std::uint32_t> findFit(const FreeTree &tree, const Resources &size, std::uint32_t start);

} // namespace wigeonkeel
