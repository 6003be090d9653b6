#include "core/cell/backlog_choice.h"

#include <limits>

namespace wigeonkeel
{

namespace
{

double squaredShare(std::int64_t left, std::int64_t capacity)
{
    const double share = capacity <= 0 ? 0 : static_cast<double>(left) / static_cast<double>(capacity);
    return share * share;
}

/// The squares favour a task of the worker's own proportions: an amount of one resource that is left without the others
/// is of no use. Accelerators count only for tasks that ask for them.
double unusedAfter(const WorkerEntry &worker, const Resources &size)
{
    const double value = squaredShare(worker.free.cpuMilli - size.cpuMilli, worker.capacity.cpuMilli)
        + squaredShare(worker.free.memoryMib - size.memoryMib, worker.capacity.memoryMib);
    return size.accelerators == 0
        ? value
        : value + squaredShare(worker.free.accelerators - size.accelerators, worker.capacity.accelerators);
}

} // namespace

const TaskSpec &chooseFromBacklog(CellState &cell, const PendingQueue &queue, const TaskSpec &next, const Now &now)
{
    const KindQueue &kind = queue.kinds[static_cast<std::size_t>(next.label.kind)];
    const auto found = queue.byId.find(next.id);
    if (next.label.kind != TaskKind::Batch || kind.shapes.size() < 2 || found == queue.byId.end()) {
        return next;
    }
    const auto worker = chooseWorker(cell, next, now);
    if (!worker) {
        return next;
    }
    const WorkerEntry &entry = cell.workers[*worker];
    const std::list<QueueShape::Queued *> &waiting = kind.byUrgency[found->second->shape->urgency];
    const TaskSpec *best = &next;
    double least = std::numeric_limits<double>::max();
    auto place = found->second->byUrgency;
    for (std::size_t i = 0; i < PendingQueue::backlogWindow && place != waiting.end(); ++i, ++place) {
        const QueueShape::Queued &candidate = **place;
        const Resources &size = candidate.task.size;
        if (candidate.shape->blockedAt != 0) {
            continue;
        }
        // Workers with accelerators stay with the tasks that ask for them.
        const bool sameGroup = (size.accelerators > 0) == (next.size.accelerators > 0);
        if (sameGroup && fits(size, entry.free)) {
            const double unused = unusedAfter(entry, size);
            if (unused < least) {
                best = &candidate.task;
                least = unused;
            }
        }
        if (candidate.passed >= queue.passLimit) {
            break;
        }
    }
    return *best;
}

} // namespace wigeonkeel
