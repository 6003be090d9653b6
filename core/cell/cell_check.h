#pragma once

#include "core/cell/cell_state.h"

#include <string>
#include <vector>

namespace wigeonkeel
{

/// Checks the accounts of a cell and returns a sentence for each violation. Linear in workers and tasks; for tests.
std::vector<std::string> checkCell(const CellState &cell);

} // namespace wigeonkeel
