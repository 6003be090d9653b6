#include "core/cell/pending_queue.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// Progress of a kind's pass by one placement is this number divided by its share.
constexpr std::uint64_t strideScale = 6000;
/// Blocks a shape that waits for a limit and not for room.
constexpr std::uint64_t heldVersion = 1;

KindQueue &kindOf(PendingQueue &queue, const TaskSpec &task)
{
    return queue.kinds[static_cast<std::size_t>(task.label.kind)];
}

std::uint8_t urgencyOf(const TaskSpec &task)
{
    return std::min<std::uint8_t>(task.label.urgency, urgencyLevels - 1);
}

KindQueue::ShapeKey shapeKey(std::uint8_t urgency, const Resources &size, std::uint64_t limitGroup)
{
    return {urgency, size.cpuMilli, size.memoryMib, size.accelerators, size.slots, limitGroup};
}

KindQueue::ReadyKey readyKey(QueueShape &shape)
{
    return {-static_cast<int>(shape.urgency), shape.tasks.front().arrival, &shape};
}

bool isBlocked(const QueueShape &shape)
{
    return shape.blockedAt != 0;
}

QueueShape &shapeFor(KindQueue &kind, const TaskSpec &task, std::uint64_t limitGroup)
{
    const std::uint8_t urgency = urgencyOf(task);
    const auto [found, added] = kind.shapes.try_emplace(shapeKey(urgency, task.size, limitGroup));
    if (added) {
        found->second.urgency = urgency;
        found->second.size = task.size;
        found->second.limitGroup = limitGroup;
    }
    return found->second;
}

void append(PendingQueue &queue, KindQueue &kind, const TaskSpec &task, std::uint64_t limitGroup)
{
    if (kind.count == 0) {
        kind.pass = std::max(kind.pass, queue.currentPass);
    }
    QueueShape &shape = shapeFor(kind, task, limitGroup);
    shape.tasks.push_back(
        {.task = task, .arrival = queue.nextArrival++, .shape = &shape, .passed = 0, .byUrgency = {}});
    const auto place = std::prev(shape.tasks.end());
    std::list<QueueShape::Queued *> &level = kind.byUrgency[shape.urgency];
    place->byUrgency = level.insert(level.end(), &*place);
    if (shape.tasks.size() == 1) {
        kind.ready.insert(readyKey(shape));
    }
    ++kind.count;
    queue.byId.emplace(task.id, place);
    if (task.startBefore != MonotonicTime::max()) {
        queue.deadlines.emplace(task.startBefore, task.id);
    }
}

void remove(PendingQueue &queue, PendingQueue::Place place)
{
    KindQueue &kind = kindOf(queue, place->task);
    QueueShape &shape = *place->shape;
    queue.byId.erase(place->task.id);
    queue.deadlines.erase({place->task.startBefore, place->task.id});
    kind.byUrgency[shape.urgency].erase(place->byUrgency);
    --kind.count;
    const bool first = place == shape.tasks.begin();
    if (first && !isBlocked(shape)) {
        kind.ready.erase(readyKey(shape));
    }
    shape.tasks.erase(place);
    if (shape.tasks.empty()) {
        if (isBlocked(shape)) {
            shape.blockedIn->erase(shape.blockedPlace);
        }
        kind.shapes.erase(shapeKey(shape.urgency, shape.size, shape.limitGroup));
        return;
    }
    if (first && !isBlocked(shape)) {
        kind.ready.insert(readyKey(shape));
    }
}

void block(KindQueue &kind, QueueShape &shape, std::uint64_t version, std::list<QueueShape *> &list)
{
    kind.ready.erase(readyKey(shape));
    shape.blockedAt = version;
    shape.blockedIn = &list;
    shape.blockedPlace = list.insert(list.end(), &shape);
}

/// The shape was taken off its list of blocked ones.
void makeReady(const PendingQueue &queue, KindQueue &kind, QueueShape &shape)
{
    shape.blockedAt = 0;
    kind.ready.insert(readyKey(shape));
    // Kinds that were blocked don't save up turns.
    kind.pass = std::max(kind.pass, queue.currentPass);
}

/// Counts the pass for the older tasks of the same urgency. Blocked ones could not have been placed instead.
void notePassed(const KindQueue &kind, const QueueShape::Queued &placed)
{
    const std::list<QueueShape::Queued *> &level = kind.byUrgency[placed.shape->urgency];
    if (kind.ready.empty() || std::get<QueueShape *>(*kind.ready.begin())->tasks.front().arrival >= placed.arrival) {
        return;
    }
    auto older = placed.byUrgency;
    for (std::size_t i = 1; i < PendingQueue::backlogWindow && older != level.begin(); ++i) {
        --older;
        (*older)->passed += isBlocked(*(*older)->shape) ? 0 : 1;
    }
}

/// The youngest task of the lowest urgency below `urgency`, or nothing.
std::optional<PendingQueue::Place> leastUrgent(PendingQueue &queue, KindQueue &kind, std::uint8_t urgency)
{
    for (std::uint8_t level = 0; level < urgency; ++level) {
        if (!kind.byUrgency[level].empty()) {
            return queue.byId.at(kind.byUrgency[level].back()->task.id);
        }
    }
    return std::nullopt;
}

} // namespace

QueueAdmission addToQueue(PendingQueue &queue, const TaskSpec &task, std::uint64_t limitGroup)
{
    if (queue.byId.contains(task.id)) {
        return {.queued = true, .shed = {}};
    }
    KindQueue &kind = kindOf(queue, task);
    if (kind.count < kind.limit) {
        append(queue, kind, task, limitGroup);
        return {.queued = true, .shed = {}};
    }
    const auto victim = leastUrgent(queue, kind, urgencyOf(task));
    if (!victim) {
        return {};
    }
    QueueAdmission admission{.queued = true, .shed = std::move((*victim)->task)};
    // The spec was moved out, but its id, times and label kind are plain values and still valid for the removal.
    remove(queue, *victim);
    append(queue, kind, task, limitGroup);
    return admission;
}

bool takeFromQueue(PendingQueue &queue, const TaskId &task)
{
    const auto found = queue.byId.find(task);
    if (found == queue.byId.end()) {
        return false;
    }
    remove(queue, found->second);
    return true;
}

const TaskSpec *nextTask(const PendingQueue &queue)
{
    const KindQueue *next = nullptr;
    for (const KindQueue &kind : queue.kinds) {
        if (!kind.ready.empty() && (next == nullptr || kind.pass < next->pass)) {
            next = &kind;
        }
    }
    return next == nullptr ? nullptr : &std::get<QueueShape *>(*next->ready.begin())->tasks.front().task;
}

void takePlaced(PendingQueue &queue, const TaskId &task)
{
    const auto found = queue.byId.find(task);
    if (found == queue.byId.end()) {
        return;
    }
    KindQueue &kind = kindOf(queue, found->second->task);
    queue.currentPass = std::max(queue.currentPass, kind.pass);
    kind.pass += strideScale / kindShares[static_cast<std::size_t>(found->second->task.label.kind)];
    notePassed(kind, *found->second);
    remove(queue, found->second);
}

std::uint64_t limitGroupOf(const PendingQueue &queue, const TaskId &task)
{
    const auto found = queue.byId.find(task);
    return found == queue.byId.end() ? 0 : found->second->shape->limitGroup;
}

void blockShape(PendingQueue &queue, const TaskId &task, std::uint64_t roomVersion)
{
    const auto found = queue.byId.find(task);
    if (found != queue.byId.end() && !isBlocked(*found->second->shape)) {
        KindQueue &kind = kindOf(queue, found->second->task);
        block(kind, *found->second->shape, roomVersion, kind.blocked);
    }
}

void holdShape(PendingQueue &queue, const TaskId &task, const LimitKey &limit)
{
    const auto found = queue.byId.find(task);
    if (found != queue.byId.end() && !isBlocked(*found->second->shape)) {
        block(kindOf(queue, found->second->task), *found->second->shape, heldVersion, queue.held[limit]);
    }
}

void releaseHeld(PendingQueue &queue, const LimitKey &limit)
{
    const auto found = queue.held.find(limit);
    if (found == queue.held.end()) {
        return;
    }
    for (QueueShape *shape : found->second) {
        makeReady(queue, kindOf(queue, shape->tasks.front().task), *shape);
    }
    queue.held.erase(found);
}

void unblockShapes(PendingQueue &queue, std::uint64_t roomVersion, std::size_t limit)
{
    for (KindQueue &kind : queue.kinds) {
        // The list is in the order of tries, so that the first shape that is up to date ends the search.
        for (std::size_t i = 0; i < limit && !kind.blocked.empty(); ++i) {
            QueueShape &shape = *kind.blocked.front();
            if (shape.blockedAt == roomVersion) {
                break;
            }
            kind.blocked.pop_front();
            makeReady(queue, kind, shape);
        }
    }
}

std::vector<TaskSpec> takeExpired(PendingQueue &queue, MonotonicTime now, std::size_t limit)
{
    std::vector<TaskSpec> expired;
    while (expired.size() < limit && !queue.deadlines.empty() && queue.deadlines.begin()->first <= now) {
        const auto found = queue.byId.find(queue.deadlines.begin()->second);
        expired.push_back(found->second->task);
        remove(queue, found->second);
    }
    return expired;
}

} // namespace wigeonkeel
