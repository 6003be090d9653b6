#pragma once

#include "core/cell/cell_state.h"
#include "core/cell/free_tree.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace wigeonkeel
{

/// Workers of one availability zone, with or without accelerators.
struct WorkerGroup
{
    std::string zone;
    bool accelerated = false;
    std::vector<WorkerIndex> members;
    /// By position in `members`.
    FreeTree tree;
};

/// An index of the workers that policies share as code; each policy has its own, kept up to date by workerChanged.
struct WorkerGroups
{
    struct Place
    {
        std::uint32_t group = 0;
        std::uint32_t position = 0;
        bool used = false;
    };

    std::vector<WorkerGroup> groups;
    /// By worker.
    std::vector<Place> places;
    std::map<std::pair<std::string, bool>, std::uint32_t> byZone;
};

/// Takes over a worker's present state. Logarithmic.
void updateGroups(WorkerGroups &groups, const CellState &cell, WorkerIndex worker);

/// A worker of the group on which the size fits, the first one from a position on.
std::optional<WorkerIndex> findInGroup(const WorkerGroup &group, const Resources &size, std::uint32_t start);

/// Takes members at random, `samples` of them, and gives the fitting one with the lowest score; nothing if none fits.
template <typename Score>
std::optional<WorkerIndex> sampleGroup(const WorkerGroup &group, const CellState &cell, const Resources &size,
    unsigned samples, std::uint64_t &randomState, const Score &score);

/// Next number of a splitmix64 sequence; reproducible from its state.
inline std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = state;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// Largest share of any resource that is in use, 0 to 1.
double loadOf(const WorkerEntry &worker);

template <typename Score>
std::optional<WorkerIndex> sampleGroup(const WorkerGroup &group, const CellState &cell, const Resources &size,
    unsigned samples, std::uint64_t &randomState, const Score &score)
{
    std::optional<WorkerIndex> best;
    double bestScore = 0;
    for (unsigned i = 0; i < samples && !group.members.empty(); ++i) {
        const WorkerIndex index = group.members[nextRandom(randomState) % group.members.size()];
        const WorkerEntry &worker = cell.workers[index];
        if (!worker.placeable || !fits(size, worker.free)) {
            continue;
        }
        const double value = score(worker);
        if (!best || value < bestScore) {
            best = index;
            bestScore = value;
        }
    }
    return best;
}

} // namespace wigeonkeel
