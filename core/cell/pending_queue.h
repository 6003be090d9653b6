#pragma once

#include "core/cell/limit_key.h"
#include "core/clock.h"
#include "core/task.h"

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace wigeonkeel
{

inline constexpr std::size_t urgencyLevels = 10;

/// Share of placements that each kind gets when all kinds are backlogged, in percent: request, service, gang, batch.
inline constexpr std::array<std::uint32_t, taskKindCount> kindShares = {60, 20, 10, 10};

/// Tasks that ask for the same amounts with the same urgency, under the same limits. If one finds no room or is held by
/// a limit, all of them are.
struct QueueShape
{
    struct Queued
    {
        TaskSpec task;
        std::uint64_t arrival = 0;
        QueueShape *shape = nullptr;
        /// Younger tasks of the same urgency that were chosen first although this one was not blocked.
        std::uint32_t passed = 0;
        std::list<Queued *>::iterator byUrgency;
    };

    std::uint8_t urgency = 0;
    Resources size;
    /// Tasks under the same limits; 0 if there are none.
    std::uint64_t limitGroup = 0;
    std::list<Queued> tasks;
    /// Room version at which the first task found no room; 0 while the shape is ready to be tried.
    std::uint64_t blockedAt = 0;
    /// List of the kind's blocked shapes, or of those that a limit holds.
    std::list<QueueShape *> *blockedIn = nullptr;
    std::list<QueueShape *>::iterator blockedPlace;
};

/// Waiting tasks of one kind.
struct KindQueue
{
    using ShapeKey = std::tuple<std::uint8_t, std::int64_t, std::int64_t, std::int64_t, std::int64_t, std::uint64_t>;
    /// Most urgent first, then by arrival of the first task.
    using ReadyKey = std::tuple<int, std::uint64_t, QueueShape *>;

    std::map<ShapeKey, QueueShape> shapes;
    std::set<ReadyKey> ready;
    /// The shape that was tried longest ago first.
    std::list<QueueShape *> blocked;
    /// All tasks in order of arrival, for shedding.
    std::array<std::list<QueueShape::Queued *>, urgencyLevels> byUrgency;
    std::size_t count = 0;
    std::size_t limit = 20000;
    /// Stride scheduling: the kind with the lowest value is served next.
    std::uint64_t pass = 0;
};

/// Tasks that wait for room at this daemon. Not copied: its parts point to each other.
struct PendingQueue
{
    using Place = std::list<QueueShape::Queued>::iterator;

    /// Tasks that a choice for packing looks at, the next one included. A trial packed large tasks to 0.970 of the
    /// bound with 64, 0.973 with 128 and 0.971 with 256.
    static constexpr std::size_t backlogWindow = 128;

    std::array<KindQueue, taskKindCount> kinds;
    absl::flat_hash_map<TaskId, Place> byId;
    std::set<std::pair<MonotonicTime, TaskId>> deadlines;
    /// Shapes that wait for a limit; not tried again when room changes.
    std::map<LimitKey, std::list<QueueShape *>> held;
    std::uint64_t nextArrival = 1;
    /// Pass of the kind that was served last; a kind that was idle starts from here.
    std::uint64_t currentPass = 0;
    /// Peers may have room again although nothing changed here.
    MonotonicTime nextPeerRetry{};
    /// Choices that one call may make; bounds the time of a step.
    std::size_t attemptsPerStep = 256;
    /// Times that a task that is not blocked may be passed by younger ones of the same urgency.
    std::uint32_t passLimit = 256;
    /// A call is under way; what it causes to be queued is placed by it.
    bool placing = false;

    std::size_t total() const { return byId.size(); }
};

/// Outcome of adding a task to a full queue.
struct QueueAdmission
{
    bool queued = false;
    /// The least urgent task, which had to make way.
    std::optional<TaskSpec> shed;
};

/// Adds a task. If its kind is full, the youngest of the least urgent tasks makes way, or the new one is not queued if
/// none is less urgent. A task that is queued already is not added again.
QueueAdmission addToQueue(PendingQueue &queue, const TaskSpec &task, std::uint64_t limitGroup = 0);

/// Limit group of a queued task; 0 if it has none or is not queued.
std::uint64_t limitGroupOf(const PendingQueue &queue, const TaskId &task);

/// Takes a task out. Constant, but for a search among the ready shapes of its kind if it was the first of its shape.
bool takeFromQueue(PendingQueue &queue, const TaskId &task);

/// The task to try next, by shares, urgency and arrival; null if all are blocked. Valid until the queue changes.
const TaskSpec *nextTask(const PendingQueue &queue);

/// Takes a placed task out and counts it against the share of its kind, and as a pass for each task within the backlog
/// window that was next before it.
void takePlaced(PendingQueue &queue, const TaskId &task);

/// The task's shape found no room; not tried again until the room version changes.
void blockShape(PendingQueue &queue, const TaskId &task, std::uint64_t roomVersion);

/// A limit holds the task's shape back; not tried again until the limit is released.
void holdShape(PendingQueue &queue, const TaskId &task, const LimitKey &limit);

/// Makes the shapes ready that a limit holds back. They are as many as its sizes and urgencies, not as its tasks.
void releaseHeld(PendingQueue &queue, const LimitKey &limit);

/// Makes up to `limit` shapes of each kind ready again that were blocked at another room version, those that were
/// tried longest ago first.
void unblockShapes(PendingQueue &queue, std::uint64_t roomVersion, std::size_t limit);

/// Takes out up to `limit` tasks whose start deadline has passed.
std::vector<TaskSpec> takeExpired(PendingQueue &queue, MonotonicTime now, std::size_t limit);

} // namespace wigeonkeel
