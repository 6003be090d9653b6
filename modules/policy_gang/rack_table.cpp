#include "modules/policy_gang/rack_table.h"

#include <algorithm>
#include <tuple>

namespace wigeonkeel
{

namespace
{

void takeOut(RackTable &table, WorkerIndex worker)
{
    RackTable::Place &place = table.places[worker];
    Rack &rack = table.racks[place.rack];
    const WorkerIndex last = rack.members.back();
    rack.members[place.position] = last;
    table.places[last].position = place.position;
    rack.members.pop_back();
    rack.free -= place.free;
    place.used = false;
}

} // namespace

void updateRacks(RackTable &table, const CellState &cell, WorkerIndex worker)
{
    if (table.places.size() <= worker) {
        table.places.resize(cell.workers.size());
    }
    RackTable::Place &place = table.places[worker];
    const WorkerEntry &entry = cell.workers[worker];
    const bool usable = entry.present && entry.placeable;
    if (place.used) {
        Rack &rack = table.racks[place.rack];
        if (usable && rack.name == entry.rack && rack.zone == entry.zone) {
            // The usual change; without it, each would search the racks by name.
            rack.free -= place.free;
            rack.free += entry.free;
            place.free = entry.free;
            return;
        }
        takeOut(table, worker);
    }
    if (!usable) {
        return;
    }
    const auto [found, added]
        = table.byName.try_emplace({entry.zone, entry.rack}, static_cast<std::uint32_t>(table.racks.size()));
    if (added) {
        table.racks.push_back({.zone = entry.zone, .name = entry.rack, .members = {}, .free = {}});
    }
    Rack &rack = table.racks[found->second];
    place = {.rack = found->second,
        .position = static_cast<std::uint32_t>(rack.members.size()),
        .free = entry.free,
        .used = true};
    rack.members.push_back(worker);
    rack.free += entry.free;
}

std::vector<std::uint32_t> rackOrder(const RackTable &table, const Resources &total)
{
    std::map<std::string_view, std::int64_t> zoneFree;
    for (const Rack &rack : table.racks) {
        zoneFree[rack.zone] += rack.free.cpuMilli;
    }
    struct Ranked
    {
        bool holdsAll;
        std::int64_t zoneFree;
        std::int64_t free;
        std::uint32_t index;
    };
    std::vector<Ranked> ranked;
    for (std::uint32_t i = 0; i < table.racks.size(); ++i) {
        const Rack &rack = table.racks[i];
        if (!rack.members.empty()) {
            ranked.push_back({fits(total, rack.free), zoneFree[rack.zone], rack.free.cpuMilli, i});
        }
    }
    std::ranges::sort(ranked, [](const Ranked &left, const Ranked &right) {
        if (left.holdsAll != right.holdsAll) {
            return left.holdsAll;
        }
        if (left.holdsAll) {
            return std::tie(left.free, left.index) < std::tie(right.free, right.index);
        }
        return std::tie(right.zoneFree, right.free, left.index) < std::tie(left.zoneFree, left.free, right.index);
    });
    std::vector<std::uint32_t> order;
    order.reserve(ranked.size());
    for (const Ranked &rack : ranked) {
        order.push_back(rack.index);
    }
    return order;
}

} // namespace wigeonkeel
