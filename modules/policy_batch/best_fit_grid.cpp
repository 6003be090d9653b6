#include "modules/policy_batch/best_fit_grid.h"

#include <algorithm>
#include <bit>

namespace wigeonkeel
{

namespace
{

/// Members of one cell that are looked at.
constexpr std::size_t probesPerCell = 8;
/// Members of all cells that are looked at for one choice; keeps a choice within a few microseconds.
constexpr unsigned maxProbes = 128;
/// Amounts below 16 millicores or mebibytes share level 0.
constexpr unsigned smallestBits = 4;

void takeOut(BestFitGrid &grid, WorkerIndex worker)
{
    BestFitGrid::Place &place = grid.places[worker];
    std::vector<WorkerIndex> &members = grid.members[place.cell];
    const WorkerIndex last = members.back();
    members[place.position] = last;
    grid.places[last].position = place.position;
    members.pop_back();
    place.used = false;
    if (members.empty()) {
        grid.rows[place.cell / gridLevels] &= ~(std::uint64_t{1} << (place.cell % gridLevels));
    }
}

/// What would be left of the worker, as a share of its capacity, summed over processors and memory.
double leftover(const WorkerEntry &worker, const Resources &size)
{
    const auto share = [](std::int64_t left, std::int64_t capacity) {
        return capacity <= 0 ? 0 : static_cast<double>(left) / static_cast<double>(capacity);
    };
    return share(worker.free.cpuMilli - size.cpuMilli, worker.capacity.cpuMilli)
        + share(worker.free.memoryMib - size.memoryMib, worker.capacity.memoryMib);
}

struct Search
{
    const BestFitGrid &grid;
    const CellState &cell;
    const Resources &size;
    std::optional<WorkerIndex> best;
    double bestLeftover = 0;
    unsigned probes = 0;
};

/// True if a member of the cell fits.
bool probeCell(Search &search, std::size_t index)
{
    const std::vector<WorkerIndex> &members = search.grid.members[index];
    const std::size_t count = std::min(members.size(), probesPerCell);
    bool found = false;
    for (std::size_t i = 0; i < count; ++i) {
        const WorkerEntry &worker = search.cell.workers[members[i]];
        ++search.probes;
        if (!fits(search.size, worker.free)) {
            continue;
        }
        found = true;
        const double value = leftover(worker, search.size);
        if (!search.best || value < search.bestLeftover) {
            search.best = members[i];
            search.bestLeftover = value;
        }
    }
    return found;
}

} // namespace

unsigned gridLevel(std::int64_t amount)
{
    if (amount < (1 << smallestBits)) {
        return 0;
    }
    const auto value = static_cast<std::uint64_t>(amount);
    const unsigned bits = static_cast<unsigned>(std::bit_width(value)) - 1;
    const auto quarter = static_cast<unsigned>((value >> (bits - 2)) & 3);
    return std::min(1 + (bits - smallestBits) * 4 + quarter, gridLevels - 1);
}

void updateGrid(BestFitGrid &grid, const CellState &cell, WorkerIndex worker, bool usable)
{
    if (grid.places.size() <= worker) {
        grid.places.resize(cell.workers.size());
    }
    const Resources &free = cell.workers[worker].free;
    const auto index = static_cast<std::uint16_t>(gridLevel(free.cpuMilli) * gridLevels + gridLevel(free.memoryMib));
    BestFitGrid::Place &place = grid.places[worker];
    if (place.used && usable && place.cell == index) {
        return;
    }
    if (place.used) {
        takeOut(grid, worker);
    }
    if (!usable) {
        return;
    }
    std::vector<WorkerIndex> &members = grid.members[index];
    place = {.cell = index, .position = static_cast<std::uint32_t>(members.size()), .used = true};
    members.push_back(worker);
    grid.rows[index / gridLevels] |= std::uint64_t{1} << (index % gridLevels);
}

std::optional<WorkerIndex> findTightest(const BestFitGrid &grid, const CellState &cell, const Resources &size)
{
    Search search{.grid = grid, .cell = cell, .size = size, .best = {}};
    const unsigned firstRow = gridLevel(size.cpuMilli);
    const unsigned firstColumn = gridLevel(size.memoryMib);
    unsigned bestDistance = 2 * gridLevels;
    for (unsigned row = firstRow; row < gridLevels && row - firstRow <= bestDistance; ++row) {
        std::uint64_t mask = grid.rows[row] >> firstColumn << firstColumn;
        for (; mask != 0 && search.probes < maxProbes; mask &= mask - 1) {
            const auto column = static_cast<unsigned>(std::countr_zero(mask));
            const unsigned distance = row - firstRow + column - firstColumn;
            if (distance > bestDistance) {
                break;
            }
            if (probeCell(search, std::size_t{row} * gridLevels + column)) {
                bestDistance = distance;
                break;
            }
        }
    }
    return search.best;
}

} // namespace wigeonkeel
