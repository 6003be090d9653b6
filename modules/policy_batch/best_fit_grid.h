#pragma once

#include "core/cell/cell_state.h"

#include <array>
#include <optional>
#include <vector>

namespace wigeonkeel
{

inline constexpr unsigned gridLevels = 64;

/// Workers by the order of magnitude of their free processors and memory, four levels for each doubling. The tightest
/// cell that holds a task is found from the row masks without looking at workers.
struct BestFitGrid
{
    struct Place
    {
        std::uint16_t cell = 0;
        std::uint32_t position = 0;
        bool used = false;
    };

    std::array<std::vector<WorkerIndex>, std::size_t{gridLevels} * gridLevels> members;
    /// For each level of processors, one bit for each level of memory that has members.
    std::array<std::uint64_t, gridLevels> rows{};
    /// By worker.
    std::vector<Place> places;
};

/// Level of an amount; grows with it.
unsigned gridLevel(std::int64_t amount);

/// Puts the worker where its free amounts belong, or takes it out if `usable` is false.
void updateGrid(BestFitGrid &grid, const CellState &cell, WorkerIndex worker, bool usable);

/// The fitting worker that has the least to spare, among a bounded number of candidates. Nothing does not mean that no
/// worker fits: in cells at the edge of the size some members may be too small, and only some of them are looked at.
std::optional<WorkerIndex> findTightest(const BestFitGrid &grid, const CellState &cell, const Resources &size);

} // namespace wigeonkeel
