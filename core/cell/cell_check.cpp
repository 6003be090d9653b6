#include "core/cell/cell_check.h"

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

/// Sum of the sizes charged to a worker.
Resources checkTasksOf(const CellState &cell, WorkerIndex index, std::vector<std::string> &violations)
{
    Resources held;
    const WorkerEntry &worker = cell.workers[index];
    for (std::size_t place = 0; place < worker.tasks.size(); ++place) {
        const auto task = cell.tasks.find(worker.tasks[place]);
        if (task == cell.tasks.end()) {
            violations.push_back(fmt::format("worker {} lists a task that is not charged", worker.name));
            continue;
        }
        if (task->second.worker != index || task->second.place != place) {
            violations.push_back(fmt::format("worker {} lists a task that is charged elsewhere", worker.name));
        }
        held += task->second.size;
    }
    for (const auto &[key, entry] : cell.duplicates) {
        if (key.second == index) {
            held += entry.size;
        }
    }
    return held;
}

void checkHeldByKind(const CellState &cell, std::vector<std::string> &violations)
{
    std::array<Resources, taskKindCount> held;
    for (const auto &[id, task] : cell.tasks) {
        held[static_cast<std::size_t>(labelOf(cell, task).kind)] += task.size;
    }
    for (const auto &[key, task] : cell.duplicates) {
        held[static_cast<std::size_t>(labelOf(cell, task).kind)] += task.size;
    }
    if (held != cell.heldByKind) {
        violations.emplace_back("the sums by kind differ from the tasks");
    }
}

void checkAdmission(const CellState &cell, std::vector<std::string> &violations)
{
    AdmissionTable expected;
    for (const auto &[id, task] : cell.tasks) {
        noteTaskStarted(expected, labelOf(cell, task), task.size);
    }
    for (const auto &[key, task] : cell.duplicates) {
        noteTaskStarted(expected, labelOf(cell, task), task.size);
    }
    for (const auto &[key, use] : cell.admission.teams) {
        if (use.held != expected.teams[key].held) {
            violations.push_back(fmt::format("team {} holds another amount than its tasks", key.second));
        }
    }
    for (const auto &[key, use] : cell.admission.workloads) {
        if (use.running != expected.workloads[key].running) {
            violations.push_back(fmt::format("workload {} counts other tasks than it runs", key.second));
        }
    }
    // The entries that were missing until now were created by the comparison above.
    if (expected.teams.size() != cell.admission.teams.size()
        || expected.workloads.size() != cell.admission.workloads.size()) {
        violations.emplace_back("the use by teams and workloads lacks some tasks");
    }
}

void checkLabels(const CellState &cell, std::vector<std::string> &violations)
{
    std::vector<std::uint32_t> uses(cell.labels.entries.size());
    for (const auto &[id, task] : cell.tasks) {
        if (task.label >= uses.size()) {
            violations.push_back(fmt::format("task {} has no label", toString(id)));
            continue;
        }
        ++uses[task.label];
    }
    for (const auto &[key, entry] : cell.duplicates) {
        ++uses[entry.label];
    }
    for (std::size_t label = 0; label < uses.size(); ++label) {
        if (uses[label] != cell.labels.entries[label].uses) {
            violations.push_back(
                fmt::format("label {} has {} uses, counted {}", label, cell.labels.entries[label].uses, uses[label]));
        }
    }
}

} // namespace

std::vector<std::string> checkCell(const CellState &cell)
{
    std::vector<std::string> violations;
    Resources capacity;
    Resources free;
    Resources closedFree;
    std::size_t present = 0;
    std::size_t listed = 0;
    for (WorkerIndex index = 0; index < cell.workers.size(); ++index) {
        const WorkerEntry &worker = cell.workers[index];
        const Resources held = checkTasksOf(cell, index, violations);
        listed += worker.tasks.size();
        present += worker.present ? 1 : 0;
        if (worker.free != worker.capacity - held) {
            violations.push_back(fmt::format("worker {}: free is {}, expected {}", worker.name, describe(worker.free),
                describe(worker.capacity - held)));
        }
        if (!worker.present && (worker.placeable || !worker.tasks.empty())) {
            violations.push_back(fmt::format("place {} of a removed worker is in use", index));
        }
        const auto named = cell.workerByName.find(worker.name);
        if (worker.present && (named == cell.workerByName.end() || named->second != index)) {
            violations.push_back(fmt::format("worker {} is not found by its name", worker.name));
        }
        capacity += worker.capacity;
        free += worker.free;
        if (worker.present && !worker.placeable) {
            closedFree += worker.free;
        }
    }
    if (capacity != cell.capacitySum || free != cell.freeSum || closedFree != cell.closedFreeSum) {
        violations.push_back("the sums of capacity and free amounts differ from the workers");
    }
    if (listed != cell.tasks.size()) {
        violations.push_back(fmt::format("{} tasks are listed by workers, {} are charged", listed, cell.tasks.size()));
    }
    if (present != cell.workerByName.size() || present + cell.unusedPlaces.size() != cell.workers.size()) {
        violations.push_back("present workers, names and unused places don't add up");
    }
    checkLabels(cell, violations);
    checkHeldByKind(cell, violations);
    checkAdmission(cell, violations);
    return violations;
}

} // namespace wigeonkeel
