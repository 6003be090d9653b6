#pragma once

#include "core/cell/admission.h"
#include "core/cell/label_table.h"
#include "core/cell/policy.h"
#include "core/peer_messages.h"
#include "core/worker_messages.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

namespace wigeonkeel
{

/// A worker whose capacity this daemon accounts for.
struct WorkerEntry
{
    std::string name;
    std::string zone;
    std::string rack;
    Resources capacity;
    Resources free;
    /// False after the worker was taken out; the place is used again.
    bool present = false;
    /// New tasks may be placed. False while leaving, excluded for failures or not rebuilt.
    bool placeable = false;
    /// The policies have not been told of the last change yet.
    bool changePending = false;
    /// Changes of the set of service tasks; lets a policy skip workers whose services are as before.
    std::uint32_t serviceChanges = 0;
    /// In no order; TaskEntry::place is the position.
    std::vector<TaskId> tasks;
};

/// A task that is charged to a worker.
struct TaskEntry
{
    WorkerIndex worker = 0;
    /// Position in WorkerEntry::tasks.
    std::uint32_t place = 0;
    LabelId label = 0;
    /// 0 if the task was found in a report.
    std::uint32_t startCount = 1;
    Resources size;
    /// Last measured use; zero until the first report.
    Resources usage;
    TaskState state = TaskState::Running;
    /// Room is held for a gang task whose start is not sent yet; the worker does not know the task.
    bool reserved = false;
    /// The worker has answered the start or listed the task.
    bool confirmed = false;
    /// Sequence of the start command; 0 if the task was found in a report.
    std::uint64_t startSequence = 0;
    /// Lease of the start; past it, an unconfirmed start can no longer take effect.
    WorkerTime startLease{};
};

/// A policy with its state for one cell, shared by all kinds and operators that use it.
struct PolicyInstance
{
    const PolicyPlugin *plugin = nullptr;
    void *state = nullptr;
    /// Frees the state.
    std::shared_ptr<void> owner;
};

/// A policy for each kind; null for the default.
using PolicyChoice = std::array<const PolicyPlugin *, taskKindCount>;

/// Workers owned by this daemon and the tasks charged to them.
struct CellState
{
    std::vector<WorkerEntry> workers;
    std::map<std::string, WorkerIndex, std::less<>> workerByName;
    absl::flat_hash_map<TaskId, TaskEntry> tasks;
    /// The tasks of jobs, so that those of one job are found without going through all.
    absl::btree_set<TaskId> jobTasks;
    /// Charges of tasks that are also charged to another worker: an earlier start may still run there.
    std::map<std::pair<TaskId, WorkerIndex>, TaskEntry> duplicates;
    LabelTable labels;
    /// Policies that this program has; operators' settings name them.
    std::span<const PolicyPlugin> availablePolicies;
    /// One for each policy that is a default or named by an operator.
    std::vector<PolicyInstance> policies;
    PolicyChoice policyByKind{};
    /// Only operators whose settings name a policy.
    std::map<std::string, PolicyChoice, std::less<>> policiesByOperator;
    /// Zone of this daemon; policies that save traffic prefer it.
    std::string ownZone;
    /// Places of removed workers.
    std::vector<WorkerIndex> unusedPlaces;
    /// Workers that changed since the policies were last told.
    std::vector<WorkerIndex> changedWorkers;
    Resources capacitySum;
    Resources freeSum;
    /// Part of the free amounts that is on workers that take no new tasks.
    Resources closedFreeSum;
    /// What the tasks of each kind are charged with.
    std::array<Resources, taskKindCount> heldByKind;
    /// What the tasks of each team and workload are charged with; the queue adds what waits.
    AdmissionTable admission;
    /// Incremented when a task that found no room before may find some now.
    std::uint64_t roomVersion = 1;
    /// Distinct capacities of the workers seen so far, for the refusal of tasks that fit no worker.
    std::vector<Resources> knownCapacities;
};

/// Label of a charged task.
const TaskLabel &labelOf(const CellState &cell, const TaskEntry &task);

/// Makes a policy the default of a kind from now on. A policy that comes into use is told of all workers; the state of
/// one that is no longer used is destroyed.
void setPolicy(CellState &cell, TaskKind kind, const PolicyPlugin *plugin);

/// Sets the policies of an operator's tasks that are not placed yet, with the same effect on states as setPolicy().
void setOperatorPolicies(CellState &cell, std::string_view operatorName, const PolicyChoice &choice);

/// The policy that places a task, or null if there is none.
const PolicyPlugin *policyFor(const CellState &cell, const TaskLabel &label);

/// Tells the policies of all workers that changed since the last call, each worker once. chooseWorker() does so itself.
void notifyPolicies(CellState &cell);

/// Notes a capacity that some worker of the cell has, be it owned by another daemon.
void noteCapacity(CellState &cell, const Resources &capacity);

/// True if some known worker could hold the size when empty, or no worker is known.
bool fitsKnownWorker(const CellState &cell, const Resources &size);

/// Adds an owned worker from its full report: every task listed is charged.
WorkerIndex addWorker(CellState &cell, const WorkerReport &report);

/// Takes a worker out, with its charges. Returns the ids of tasks that were charged to it.
std::vector<TaskId> removeWorker(CellState &cell, std::string_view name);

/// Says whether new tasks may be placed on the worker.
void setPlaceable(CellState &cell, std::string_view name, bool placeable);

/// A worker for the task by the policy of its operator and kind, or nothing.
std::optional<WorkerIndex> chooseWorker(CellState &cell, const TaskSpec &task, const Now &now);

/// Workers for tasks of one gang, which must start together, one for each, or an empty list.
std::vector<WorkerIndex> chooseWorkers(CellState &cell, std::span<const TaskSpec> tasks, const Now &now);

/// Charges a task to a worker before its start is sent. False if it does not fit or is charged already. A reserved
/// task stays charged, whatever the worker reports, until its start was sent or it is released.
bool charge(CellState &cell, WorkerIndex worker, const TaskSpec &task, bool reserved = false);

/// Sets the sequence and lease of the start command that was sent for a charged task.
void noteStart(CellState &cell, const TaskId &task, std::uint64_t sequence, WorkerTime lease);

/// Frees what a task holds.
void release(CellState &cell, const TaskId &task);

/// Takes over results and task states of a report of an owned worker. Returns what the tasks' homes must be told.
std::vector<TaskUpdateMessage> applyReport(CellState &cell, const WorkerReport &report);

/// Sum over present workers.
Resources totalCapacity(const CellState &cell);
Resources totalFree(const CellState &cell);

/// Free amounts of the workers that take new tasks.
Resources placeableFree(const CellState &cell);

} // namespace wigeonkeel
