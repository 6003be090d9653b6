#include "core/cell/cell_state.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

// Workers come in a few sizes. The bound keeps a cell of unusual workers from making each check linear.
constexpr std::size_t maxKnownCapacities = 64;

} // namespace

void noteCapacity(CellState &cell, const Resources &capacity)
{
    const auto covers = [&](const Resources &known) { return fits(capacity, known); };
    if (std::ranges::any_of(cell.knownCapacities, covers)) {
        return;
    }
    if (cell.knownCapacities.size() < maxKnownCapacities) {
        cell.knownCapacities.push_back(capacity);
        return;
    }
    // Beyond the bound, the last row becomes an upper bound: a task may then queue in vain, but none is refused
    // wrongly.
    Resources &last = cell.knownCapacities.back();
    last = {.cpuMilli = std::max(last.cpuMilli, capacity.cpuMilli),
        .memoryMib = std::max(last.memoryMib, capacity.memoryMib),
        .accelerators = std::max(last.accelerators, capacity.accelerators),
        .slots = std::max(last.slots, capacity.slots)};
}

bool fitsKnownWorker(const CellState &cell, const Resources &size)
{
    const auto holds = [&](const Resources &known) { return fits(size, known); };
    return cell.knownCapacities.empty() || std::ranges::any_of(cell.knownCapacities, holds);
}

Resources totalCapacity(const CellState &cell)
{
    return cell.capacitySum;
}

Resources totalFree(const CellState &cell)
{
    return cell.freeSum;
}

Resources placeableFree(const CellState &cell)
{
    return cell.freeSum - cell.closedFreeSum;
}

} // namespace wigeonkeel
