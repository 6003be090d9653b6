#include "core/cell/worker_groups.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

void takeOut(WorkerGroups &groups, WorkerIndex worker)
{
    WorkerGroups::Place &place = groups.places[worker];
    WorkerGroup &group = groups.groups[place.group];
    const auto last = static_cast<std::uint32_t>(group.members.size() - 1);
    const WorkerIndex moved = group.members[last];
    if (moved != worker) {
        group.members[place.position] = moved;
        groups.places[moved].position = place.position;
        copyFree(group.tree, place.position, last);
    }
    group.members.pop_back();
    clearFree(group.tree, last);
    place.used = false;
}

void putIn(WorkerGroups &groups, const WorkerEntry &worker, WorkerIndex index)
{
    const bool accelerated = worker.capacity.accelerators > 0;
    const auto [found, added]
        = groups.byZone.try_emplace({worker.zone, accelerated}, static_cast<std::uint32_t>(groups.groups.size()));
    if (added) {
        groups.groups.push_back({.zone = worker.zone, .accelerated = accelerated, .members = {}, .tree = {}});
    }
    WorkerGroup &group = groups.groups[found->second];
    groups.places[index]
        = {.group = found->second, .position = static_cast<std::uint32_t>(group.members.size()), .used = true};
    group.members.push_back(index);
}

double shareUsed(std::int64_t capacity, std::int64_t free)
{
    return capacity <= 0 ? 0 : 1 - static_cast<double>(free) / static_cast<double>(capacity);
}

} // namespace

void updateGroups(WorkerGroups &groups, const CellState &cell, WorkerIndex worker)
{
    if (groups.places.size() <= worker) {
        groups.places.resize(cell.workers.size());
    }
    const WorkerEntry &entry = cell.workers[worker];
    if (groups.places[worker].used) {
        const WorkerGroup &group = groups.groups[groups.places[worker].group];
        const bool same = group.zone == entry.zone && group.accelerated == (entry.capacity.accelerators > 0);
        if (!entry.present || !same) {
            takeOut(groups, worker);
        }
    }
    if (!entry.present) {
        return;
    }
    if (!groups.places[worker].used) {
        putIn(groups, entry, worker);
    }
    const WorkerGroups::Place &place = groups.places[worker];
    FreeTree &tree = groups.groups[place.group].tree;
    if (entry.placeable) {
        setFree(tree, place.position, entry.free);
    } else {
        clearFree(tree, place.position);
    }
}

std::optional<WorkerIndex> findInGroup(const WorkerGroup &group, const Resources &size, std::uint32_t start)
{
    const auto position = findFit(group.tree, size, start);
    return position ? std::optional(group.members[*position]) : std::nullopt;
}

double loadOf(const WorkerEntry &worker)
{
    const double processors = shareUsed(worker.capacity.cpuMilli, worker.free.cpuMilli);
    const double memory = shareUsed(worker.capacity.memoryMib, worker.free.memoryMib);
    const double slots = shareUsed(worker.capacity.slots, worker.free.slots);
    return std::max({processors, memory, slots});
}

} // namespace wigeonkeel
