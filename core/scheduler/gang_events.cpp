#include "core/scheduler/gang_events.h"

#include "core/scheduler/gang_reservations.h"
#include "core/scheduler/scheduler.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "gangs";
/// Holds that a shutdown waits for a partial start to be undone. The new home of the gang stops what is left.
constexpr int undoHoldsInDrain = 4;

const std::string &selfName(const Scheduler &scheduler)
{
    return scheduler.membership.options.self.name;
}

Gang *findGang(Scheduler &scheduler, const RequestKey &key)
{
    const auto found = scheduler.gangs.gangs.find(key);
    return found == scheduler.gangs.gangs.end() ? nullptr : &found->second;
}

bool isListed(std::span<const std::uint32_t> indices, std::uint32_t index)
{
    return std::ranges::find(indices, index) != indices.end();
}

std::vector<TaskSpec> specsOf(const Gang &gang, std::span<const std::uint32_t> indices)
{
    std::vector<TaskSpec> specs;
    for (const TaskSpec &task : gang.tasks) {
        if (isListed(indices, task.id.index)) {
            specs.push_back(task);
        }
    }
    return specs;
}

/// Carries out a step at this daemon. The answer may lead to further steps.
void performHere(Scheduler &scheduler, const RequestKey &key, const ReservationId &id, const GangStep &step,
    const Now &now, GangSteps &steps, Actions &actions)
{
    const GangOptions &options = scheduler.gangs.options;
    if (step.kind == GangStepKind::Abort) {
        abortHere(scheduler, id, key, now);
        return;
    }
    if (step.kind == GangStepKind::Commit) {
        const bool started = commitHere(scheduler, id, key, step.tasks, now, actions);
        // The updates to the home may have changed the table.
        if (Gang *gang = findGang(scheduler, key); gang != nullptr && gang->exchange == id.second) {
            onCommitAnswer(*gang, selfName(scheduler), started, now);
        }
        return;
    }
    Gang &gang = scheduler.gangs.gangs.at(key);
    const auto held = reserveHere(scheduler, id, key, specsOf(gang, step.tasks), options.hold, now);
    onReserveAnswer(gang, selfName(scheduler), held, now, options, scheduler.random, steps);
}

PeerMessage messageFor(const Scheduler &scheduler, const RequestKey &key, std::uint64_t exchange, const GangStep &step)
{
    if (step.kind == GangStepKind::Abort) {
        return AbortMessage{.exchange = exchange, .gang = key};
    }
    if (step.kind == GangStepKind::Commit) {
        return CommitMessage{.exchange = exchange, .gang = key, .tasks = step.tasks};
    }
    return ReserveMessage{.exchange = exchange,
        .gang = key,
        .tasks = specsOf(scheduler.gangs.gangs.at(key), step.tasks),
        .holdFor = scheduler.gangs.options.hold};
}

void refuse(Scheduler &scheduler, const Gang &gang, const Now &now, Actions &actions)
{
    std::vector<TaskUpdateMessage> updates;
    for (const TaskSpec &task : gang.tasks) {
        if (!isListed(gang.ended, task.id.index)) {
            updates.push_back({.task = task.id,
                .home = task.label.home,
                .progress = TaskProgress::Refused,
                .detail = gang.reason,
                .startCount = task.startCount});
        }
    }
    ++scheduler.counters.gangsRefused;
    deliverUpdates(scheduler, updates, now, actions);
}

bool wasPartial(const Gang &gang)
{
    return gang.phase == GangPhase::Undoing
        && std::ranges::any_of(gang.participants,
            [](const GangParticipant &participant) { return participant.phase != ParticipantPhase::NotStarted; });
}

/// Removes a gang whose start has succeeded or failed for good.
void settleGang(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    const auto found = scheduler.gangs.gangs.find(key);
    if (found == scheduler.gangs.gangs.end()) {
        return;
    }
    if (isStarted(found->second)) {
        ++scheduler.counters.gangsStarted;
        scheduler.gangs.gangs.erase(found);
        return;
    }
    if (!isRefused(found->second, scheduler.gangs.options)) {
        return;
    }
    // The home may start the gang again when it is told, so the entry is removed first.
    const Gang gang = std::move(found->second);
    scheduler.gangs.gangs.erase(found);
    if (wasPartial(gang)) {
        ++scheduler.counters.gangsUndone;
        actions.push_back(LogAction{.level = LogLevel::Warning,
            .part = logPart,
            .text = fmt::format("gang {} was started in part and stopped: {}", toString(key), gang.reason)});
    }
    refuse(scheduler, gang, now, actions);
}

void performSteps(Scheduler &scheduler, const RequestKey &key, GangSteps steps, const Now &now, Actions &actions)
{
    const Gang *gang = findGang(scheduler, key);
    const std::uint64_t exchange = gang == nullptr ? 0 : gang->exchange;
    const ReservationId id(selfName(scheduler), exchange);
    // The list grows with the answers of this daemon itself.
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const GangStep step = steps[i];
        if (step.kind == GangStepKind::Reserve && findGang(scheduler, key) == nullptr) {
            continue;
        }
        if (step.daemon == selfName(scheduler)) {
            performHere(scheduler, key, id, step, now, steps, actions);
        } else {
            actions.push_back(SendToPeer{.peer = step.daemon, .message = messageFor(scheduler, key, exchange, step)});
        }
    }
    settleGang(scheduler, key, now, actions);
}

/// Owners with room for at least one of the tasks, in the order of their names.
std::vector<GangOwner> ownersFor(const Scheduler &scheduler, std::span<const TaskSpec> tasks)
{
    const auto hasRoom = [tasks](const Resources &free) {
        return std::ranges::any_of(tasks, [&free](const TaskSpec &task) { return fits(task.size, free); });
    };
    std::vector<GangOwner> owners;
    for (const auto &[name, peer] : scheduler.membership.peers) {
        const bool usable = peer.liveness == PeerLiveness::Alive && peer.linkUp && !peer.heartbeat.draining;
        if (usable && hasRoom(peer.heartbeat.free)) {
            owners.push_back({.daemon = name, .incarnation = peer.info.incarnation});
        }
    }
    if (!owners.empty() && hasRoom(placeableFree(scheduler.cell))) {
        const PeerInfo &self = scheduler.membership.options.self;
        owners.push_back({.daemon = self.name, .incarnation = self.incarnation});
        std::ranges::sort(owners, {}, &GangOwner::daemon);
    }
    return owners;
}

/// Starts the gang on own workers if all tasks fit there.
bool startLocally(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    const std::vector<TaskSpec> tasks = scheduler.gangs.gangs.at(key).tasks;
    const std::vector<TaskSpec> reserved = reserveRoom(scheduler, tasks, now);
    if (reserved.size() < tasks.size()) {
        for (const TaskSpec &task : reserved) {
            release(scheduler.cell, task.id);
        }
        return false;
    }
    ++scheduler.counters.gangsStarted;
    scheduler.gangs.gangs.erase(key);
    startReserved(scheduler, reserved, now, actions);
    return true;
}

void attemptGang(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    if (startLocally(scheduler, key, now, actions)) {
        return;
    }
    Gang &gang = scheduler.gangs.gangs.at(key);
    const std::vector<GangOwner> owners = ownersFor(scheduler, gang.tasks);
    GangSteps steps;
    beginAttempt(gang, owners, scheduler.gangs.nextExchange++, now, scheduler.gangs.options, scheduler.random, steps);
    performSteps(scheduler, key, std::move(steps), now, actions);
}

bool isLost(const Scheduler &scheduler, const GangParticipant &participant)
{
    if (participant.daemon == selfName(scheduler)) {
        return false;
    }
    const auto peer = scheduler.membership.peers.find(participant.daemon);
    return peer == scheduler.membership.peers.end() || peer->second.liveness == PeerLiveness::Dead
        || peer->second.info.incarnation != participant.incarnation;
}

void noteLostParticipants(Scheduler &scheduler, Gang &gang, const Now &now, GangSteps &steps)
{
    const auto awaited = [&scheduler](const GangParticipant &participant) {
        return participant.phase != ParticipantPhase::Lost && participant.phase != ParticipantPhase::Started
            && participant.phase != ParticipantPhase::NotStarted && isLost(scheduler, participant);
    };
    for (auto found = std::ranges::find_if(gang.participants, awaited); found != gang.participants.end();
         found = std::ranges::find_if(gang.participants, awaited)) {
        onParticipantLost(gang, *found, now, scheduler.gangs.options, scheduler.random, steps);
    }
}

void tellLost(Scheduler &scheduler, const TaskId &task, const Now &now, Actions &actions)
{
    const TaskUpdateMessage update{.task = task,
        .home = selfName(scheduler),
        .progress = TaskProgress::Lost,
        .detail = "the owner that was told to start it was lost and no other reports the task"};
    deliverUpdates(scheduler, {&update, 1}, now, actions);
}

/// Stops what was started of a gang that is undone.
void stopStarted(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    Gang &gang = scheduler.gangs.gangs.at(key);
    if (gang.phase != GangPhase::Undoing || now.monotonic < gang.nextStop) {
        return;
    }
    gang.nextStop = now.monotonic + gangReplyTimeout(scheduler.gangs.options);
    std::map<std::string, std::vector<std::uint32_t>> byOwner;
    std::vector<TaskId> lost;
    for (auto &[index, undo] : gang.undo) {
        const TaskId id{.job = key, .index = index};
        const auto found = scheduler.cell.tasks.find(id);
        if (found != scheduler.cell.tasks.end() && !found->second.reserved) {
            undo.owner = selfName(scheduler);
            undo.seenAt = now.monotonic;
        } else if (examineTakeover(scheduler, undo.seenAt, {}, undo.ownedSince, TaskKind::Gang, now)
            != TakeoverState::Waiting) {
            lost.push_back(id);
            continue;
        }
        byOwner[undo.owner].push_back(index);
    }
    for (auto &[owner, indices] : byOwner) {
        if (owner == selfName(scheduler)) {
            stopHere(scheduler, key, indices, now, actions);
            continue;
        }
        actions.push_back(SendToPeer{.peer = owner,
            .message
            = StopTasksMessage{.job = key, .tasks = std::move(indices), .reason = "the gang was started in part"}});
    }
    for (const TaskId &id : lost) {
        tellLost(scheduler, id, now, actions);
    }
}

void tickOneGang(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    Gang *gang = findGang(scheduler, key);
    if (gang == nullptr) {
        return;
    }
    GangSteps steps;
    if (scheduler.draining && (gang->phase == GangPhase::Reserving || gang->phase == GangPhase::Waiting)) {
        giveUpGang(*gang, "the daemon is draining", now, steps);
    }
    noteLostParticipants(scheduler, *gang, now, steps);
    tickGang(*gang, now, scheduler.gangs.options, scheduler.random, steps);
    performSteps(scheduler, key, std::move(steps), now, actions);
    gang = findGang(scheduler, key);
    if (gang == nullptr) {
        return;
    }
    if (gang->phase == GangPhase::Waiting && now.monotonic >= gang->retryAt) {
        attemptGang(scheduler, key, now, actions);
        return;
    }
    stopStarted(scheduler, key, now, actions);
    settleGang(scheduler, key, now, actions);
}

} // namespace

void startGang(
    Scheduler &scheduler, const RequestKey &gang, std::span<const TaskSpec> tasks, const Now &now, Actions &actions)
{
    if (tasks.empty() || scheduler.gangs.gangs.contains(gang)) {
        return;
    }
    Gang entry{.tasks = {tasks.begin(), tasks.end()}};
    for (TaskSpec &task : entry.tasks) {
        // The undoing of a partial start relies on what the owners tell the home.
        task.label.home = selfName(scheduler);
    }
    const auto impossible = std::ranges::find_if(
        entry.tasks, [&](const TaskSpec &task) { return task.id.job != gang || isNegative(task.size); });
    if (impossible != entry.tasks.end() || scheduler.draining) {
        entry.reason = scheduler.draining ? "the daemon is draining" : "a task has a wrong id or a negative size";
        refuse(scheduler, entry, now, actions);
        return;
    }
    scheduler.gangs.gangs.emplace(gang, std::move(entry));
    attemptGang(scheduler, gang, now, actions);
}

void cancelGang(Scheduler &scheduler, const RequestKey &gang, const Now &now, Actions &actions)
{
    if (Gang *entry = findGang(scheduler, gang); entry != nullptr) {
        GangSteps steps;
        giveUpGang(*entry, "cancelled", now, steps);
        performSteps(scheduler, gang, std::move(steps), now, actions);
        return;
    }
    stopHere(scheduler, gang, {}, now, actions);
    for (const auto &[name, peer] : scheduler.membership.peers) {
        if (peer.liveness != PeerLiveness::Dead) {
            actions.push_back(
                SendToPeer{.peer = name, .message = StopTasksMessage{.job = gang, .tasks = {}, .reason = "cancelled"}});
        }
    }
}

void onReserveReply(
    Scheduler &scheduler, std::string_view from, const ReserveReplyMessage &message, const Now &now, Actions &actions)
{
    Gang *gang = findGang(scheduler, message.gang);
    if (gang == nullptr || gang->exchange != message.exchange) {
        return;
    }
    GangSteps steps;
    onReserveAnswer(*gang, from, message.held, now, scheduler.gangs.options, scheduler.random, steps);
    performSteps(scheduler, message.gang, std::move(steps), now, actions);
}

void onCommitReply(
    Scheduler &scheduler, std::string_view from, const CommitReplyMessage &message, const Now &now, Actions &actions)
{
    Gang *gang = findGang(scheduler, message.gang);
    if (gang == nullptr || gang->exchange != message.exchange) {
        return;
    }
    onCommitAnswer(*gang, from, message.started, now);
    stopStarted(scheduler, message.gang, now, actions);
    settleGang(scheduler, message.gang, now, actions);
}

void noteGangUpdate(
    Scheduler &scheduler, std::string_view from, const TaskUpdateMessage &update, const Now &now, Actions &actions)
{
    Gang *gang = findGang(scheduler, update.task.job);
    if (gang == nullptr) {
        return;
    }
    noteTaskUpdate(*gang, from, update, now);
    if (gang->phase == GangPhase::Undoing) {
        settleGang(scheduler, update.task.job, now, actions);
    }
}

void tickGangs(Scheduler &scheduler, const Now &now, Actions &actions)
{
    scheduler.counters.gangReservationsExpired += expireReservations(scheduler.gangs, scheduler.cell, now);
    std::vector<RequestKey> keys;
    for (const auto &[key, gang] : scheduler.gangs.gangs) {
        keys.push_back(key);
    }
    for (const RequestKey &key : keys) {
        tickOneGang(scheduler, key, now, actions);
    }
}

bool areGangsDrained(const Scheduler &scheduler, const Now &now)
{
    const auto undoLimit = scheduler.gangs.options.hold * undoHoldsInDrain;
    const bool underWay = std::ranges::any_of(scheduler.gangs.gangs, [&](const auto &item) {
        return item.second.phase != GangPhase::Undoing || now.monotonic < item.second.committedAt + undoLimit;
    });
    return !underWay && heldReservations(scheduler.gangs) == 0;
}

} // namespace wigeonkeel
