#pragma once

#include "core/cell/arrival_headroom.h"
#include "core/cell/cell_state.h"

namespace wigeonkeel
{

/// Capacity of the owned workers that batch tasks must leave free for the requests that are expected next.
Resources keptForRequests(ArrivalRates &rates, const CellState &cell, const Now &now);

/// True if a task of the size leaves the kept amounts free.
bool leavesFree(const CellState &cell, const Resources &size, const Resources &kept);

} // namespace wigeonkeel
