#include "core/scheduler/headroom.h"

namespace wigeonkeel
{

Resources keptForRequests(ArrivalRates &rates, const CellState &cell, const Now &now)
{
    const Resources &held = cell.heldByKind[static_cast<std::size_t>(TaskKind::Request)];
    return urgentHeadroom(rates, totalCapacity(cell), held, now);
}

bool leavesFree(const CellState &cell, const Resources &size, const Resources &kept)
{
    const Resources free = placeableFree(cell);
    // An amount that the task does not ask for does not matter: not placing it would keep none of it free.
    const auto leaves = [](std::int64_t asked, std::int64_t reserve, std::int64_t idle) {
        return asked == 0 || asked + reserve <= idle;
    };
    return leaves(size.cpuMilli, kept.cpuMilli, free.cpuMilli) && leaves(size.memoryMib, kept.memoryMib, free.memoryMib)
        && leaves(size.accelerators, kept.accelerators, free.accelerators)
        && leaves(size.slots, kept.slots, free.slots);
}

} // namespace wigeonkeel
