#include "core/scheduler/gang_reservations.h"

#include "core/scheduler/scheduler.h"
#include "core/scheduler/worker_use.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

bool isListed(std::span<const std::uint32_t> indices, std::uint32_t index)
{
    return std::ranges::find(indices, index) != indices.end();
}

/// Keeps the policies from choosing workers whose owner lease is too short for a start.
void suspendShortLeases(Scheduler &scheduler, const Now &now)
{
    resumeWorkers(scheduler, now);
    for (const WorkerEntry &worker : scheduler.cell.workers) {
        if (worker.present && worker.placeable && !mayStart(scheduler.ownership, worker.name, now)) {
            scheduler.workerRoutes.suspended.insert(worker.name);
            refreshPlaceable(scheduler, worker.name);
        }
    }
}

bool mayStartAll(const Scheduler &scheduler, std::span<const TaskSpec> tasks, const Now &now)
{
    return std::ranges::all_of(tasks, [&](const TaskSpec &task) {
        const TaskEntry &entry = scheduler.cell.tasks.at(task.id);
        return mayStart(scheduler.ownership, scheduler.cell.workers[entry.worker].name, now);
    });
}

/// A message without a reservation ends the attempt before it begins: a Reserve that comes later holds nothing.
Reservation &findOrEnd(Scheduler &scheduler, const ReservationId &id, const RequestKey &gang, const Now &now)
{
    const Reservation ended{
        .gang = gang, .state = ReservationState::Ended, .tasks = {}, .held = {}, .endedAt = now.monotonic};
    return scheduler.gangs.reservations.try_emplace(id, ended).first->second;
}

/// The Abort of an earlier attempt may be lost or late; its room would block the later one until it expires.
void endEarlierAttempts(Scheduler &scheduler, const ReservationId &id, const RequestKey &gang, const Now &now)
{
    std::map<ReservationId, Reservation> &reservations = scheduler.gangs.reservations;
    const auto end = reservations.lower_bound(id);
    for (auto earlier = reservations.lower_bound({id.first, 0}); earlier != end; ++earlier) {
        if (earlier->second.gang == gang) {
            endReservation(scheduler.cell, earlier->second, now);
        }
    }
}

} // namespace

std::vector<TaskSpec> reserveRoom(Scheduler &scheduler, std::span<const TaskSpec> tasks, const Now &now)
{
    CellState &cell = scheduler.cell;
    suspendShortLeases(scheduler, now);
    const std::vector<WorkerIndex> together = chooseWorkers(cell, tasks, now);
    std::vector<TaskSpec> reserved;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const auto worker = together.empty() ? chooseWorker(cell, tasks[i], now) : std::optional(together[i]);
        if (worker && charge(cell, *worker, tasks[i], true)) {
            reserved.push_back(tasks[i]);
        }
    }
    return reserved;
}

void startReserved(Scheduler &scheduler, std::span<const TaskSpec> tasks, const Now &now, Actions &actions)
{
    for (const TaskSpec &task : tasks) {
        const auto found = scheduler.cell.tasks.find(task.id);
        if (found == scheduler.cell.tasks.end()) {
            continue;
        }
        const std::string worker = scheduler.cell.workers[found->second.worker].name;
        sendStart(scheduler, worker, task, now, actions);
        noteStartSent(scheduler, worker);
    }
}

std::vector<std::uint32_t> reserveHere(Scheduler &scheduler, const ReservationId &id, const RequestKey &gang,
    std::span<const TaskSpec> tasks, milliseconds hold, const Now &now)
{
    const auto known = scheduler.gangs.reservations.find(id);
    if (known != scheduler.gangs.reservations.end()) {
        return known->second.held;
    }
    endEarlierAttempts(scheduler, id, gang, now);
    Reservation reservation{.gang = gang, .tasks = {}, .held = {}, .expiresAt = now.monotonic + hold};
    const bool sameJob = std::ranges::all_of(tasks, [&gang](const TaskSpec &task) { return task.id.job == gang; });
    if (sameJob && !scheduler.draining) {
        reservation.tasks = reserveRoom(scheduler, tasks, now);
    }
    for (const TaskSpec &task : reservation.tasks) {
        reservation.held.push_back(task.id.index);
    }
    if (reservation.held.empty()) {
        endReservation(scheduler.cell, reservation, now);
    }
    return scheduler.gangs.reservations.emplace(id, std::move(reservation)).first->second.held;
}

bool commitHere(Scheduler &scheduler, const ReservationId &id, const RequestKey &gang,
    std::span<const std::uint32_t> indices, const Now &now, Actions &actions)
{
    Reservation &reservation = findOrEnd(scheduler, id, gang, now);
    if (reservation.state != ReservationState::Held) {
        return reservation.state == ReservationState::Started;
    }
    const bool allHeld = std::ranges::all_of(
        indices, [&reservation](std::uint32_t index) { return isListed(reservation.held, index); });
    const bool usable = allHeld && now.monotonic < reservation.expiresAt && isIntact(scheduler.cell, reservation)
        && mayStartAll(scheduler, reservation.tasks, now);
    if (!usable) {
        scheduler.counters.gangReservationsExpired += now.monotonic >= reservation.expiresAt ? 1 : 0;
        endReservation(scheduler.cell, reservation, now);
        return false;
    }
    std::vector<TaskSpec> starts;
    for (const TaskSpec &task : reservation.tasks) {
        if (isListed(indices, task.id.index)) {
            starts.push_back(task);
        } else {
            release(scheduler.cell, task.id);
        }
    }
    reservation.state = ReservationState::Started;
    reservation.endedAt = now.monotonic;
    reservation.tasks.clear();
    startReserved(scheduler, starts, now, actions);
    return true;
}

void abortHere(Scheduler &scheduler, const ReservationId &id, const RequestKey &gang, const Now &now)
{
    endReservation(scheduler.cell, findOrEnd(scheduler, id, gang, now), now);
}

std::vector<TaskId> stopHere(Scheduler &scheduler, const RequestKey &job, std::span<const std::uint32_t> indices,
    const Now &now, Actions &actions)
{
    std::vector<TaskId> tasks;
    if (indices.empty()) {
        for (const auto &[id, entry] : scheduler.cell.tasks) {
            if (id.job == job && !entry.reserved) {
                tasks.push_back(id);
            }
        }
        std::ranges::sort(tasks);
    }
    for (const std::uint32_t index : indices) {
        const TaskId id{.job = job, .index = index};
        const auto found = scheduler.cell.tasks.find(id);
        if (found != scheduler.cell.tasks.end() && !found->second.reserved) {
            tasks.push_back(id);
        }
    }
    for (const TaskId &id : tasks) {
        const std::string worker = scheduler.cell.workers[scheduler.cell.tasks.at(id).worker].name;
        sendCommand(scheduler.ownership, worker, {.kind = CommandKind::Stop, .task = id}, now, actions);
    }
    return tasks;
}

void onReserve(
    Scheduler &scheduler, std::string_view from, const ReserveMessage &message, const Now &now, Actions &actions)
{
    const ReservationId id(from, message.exchange);
    const milliseconds hold = std::min(message.holdFor, scheduler.gangs.options.hold);
    const auto held = reserveHere(scheduler, id, message.gang, message.tasks, hold, now);
    actions.push_back(SendToPeer{.peer = std::string(from),
        .message = ReserveReplyMessage{.exchange = message.exchange, .gang = message.gang, .held = held}});
}

void onCommit(
    Scheduler &scheduler, std::string_view from, const CommitMessage &message, const Now &now, Actions &actions)
{
    const ReservationId id(from, message.exchange);
    const bool started = commitHere(scheduler, id, message.gang, message.tasks, now, actions);
    actions.push_back(SendToPeer{.peer = std::string(from),
        .message = CommitReplyMessage{.exchange = message.exchange, .gang = message.gang, .started = started}});
}

void onAbort(Scheduler &scheduler, std::string_view from, const AbortMessage &message, const Now &now)
{
    abortHere(scheduler, ReservationId(from, message.exchange), message.gang, now);
}

void onStopTasks(Scheduler &scheduler, const StopTasksMessage &message, const Now &now, Actions &actions)
{
    for (auto &[id, reservation] : scheduler.gangs.reservations) {
        if (reservation.gang == message.job) {
            endReservation(scheduler.cell, reservation, now);
        }
    }
    std::vector<TaskUpdateMessage> updates;
    for (const TaskId &id : stopHere(scheduler, message.job, message.tasks, now, actions)) {
        const auto found = scheduler.cell.tasks.find(id);
        if (found != scheduler.cell.tasks.end()) {
            updates.push_back({.task = id,
                .home = labelOf(scheduler.cell, found->second).home,
                .progress = TaskProgress::Running,
                .worker = scheduler.cell.workers[found->second.worker].name,
                .startCount = found->second.startCount});
        }
    }
    deliverUpdates(scheduler, updates, now, actions);
}

void onGangWorkerLost(Scheduler &scheduler, const Now &now)
{
    dropBrokenReservations(scheduler.gangs, scheduler.cell, now);
}

} // namespace wigeonkeel
