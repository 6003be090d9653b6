#pragma once

#include "core/cell/cell_state.h"

#include <map>
#include <string>
#include <vector>

namespace wigeonkeel
{

/// Usable workers of one rack.
struct Rack
{
    std::string zone;
    std::string name;
    std::vector<WorkerIndex> members;
    /// Sum over members.
    Resources free;
};

/// Workers by rack, for gangs that should stay close together.
struct RackTable
{
    struct Place
    {
        std::uint32_t rack = 0;
        std::uint32_t position = 0;
        Resources free;
        bool used = false;
    };

    std::vector<Rack> racks;
    std::map<std::pair<std::string, std::string>, std::uint32_t> byName;
    /// By worker.
    std::vector<Place> places;
};

/// Takes over a worker's present state.
void updateRacks(RackTable &table, const CellState &cell, WorkerIndex worker);

/// Racks in the order in which a gang tries them: one rack that may hold all, the tightest first; then the racks with
/// the most free, those of the same zone together.
std::vector<std::uint32_t> rackOrder(const RackTable &table, const Resources &total);

} // namespace wigeonkeel
