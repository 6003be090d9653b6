#include "core/protocol/gangs.h"

#include "core/routing/backoff.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

constexpr BackoffOptions attemptBackoff = {};
/// Lost messages that fit into the hold: a commit may be repeated several times before the reservation expires.
constexpr int repliesPerHold = 8;
/// Daemon clocks may differ by this part in their rate.
constexpr int driftPart = 100;

bool contains(std::span<const std::uint32_t> indices, std::uint32_t index)
{
    return std::ranges::find(indices, index) != indices.end();
}

GangParticipant *findParticipant(Gang &gang, std::string_view daemon)
{
    const auto found = std::ranges::find(gang.participants, daemon, &GangParticipant::daemon);
    return found == gang.participants.end() ? nullptr : &*found;
}

bool isEnd(TaskProgress progress)
{
    return progress != TaskProgress::Sent && progress != TaskProgress::Running;
}

void abortAll(Gang &gang, GangSteps &steps)
{
    for (const GangParticipant &participant : gang.participants) {
        const bool mayHold
            = participant.phase == ParticipantPhase::Asked || participant.phase == ParticipantPhase::Held;
        if (mayHold) {
            steps.push_back({.kind = GangStepKind::Abort, .daemon = participant.daemon, .tasks = {}});
        }
    }
    gang.participants.clear();
    gang.owners.clear();
}

void backOff(Gang &gang, std::string_view reason, const Now &now, RandomState &random, GangSteps &steps)
{
    abortAll(gang, steps);
    gang.phase = GangPhase::Waiting;
    gang.reason = reason;
    gang.retryAt = now.monotonic + backoffDelay(attemptBackoff, gang.attempts, random);
}

void commitAll(Gang &gang, const Now &now, const GangOptions &options, GangSteps &steps)
{
    std::erase_if(gang.participants, [](const GangParticipant &participant) { return participant.tasks.empty(); });
    gang.phase = GangPhase::Committing;
    gang.committedAt = now.monotonic;
    for (GangParticipant &participant : gang.participants) {
        participant.phase = ParticipantPhase::Committed;
        participant.nextSend = now.monotonic + gangReplyTimeout(options);
        steps.push_back({.kind = GangStepKind::Commit, .daemon = participant.daemon, .tasks = participant.tasks});
    }
}

/// Asks the next owner, or decides the attempt if no task is open or no owner is left.
void advance(Gang &gang, const Now &now, const GangOptions &options, RandomState &random, GangSteps &steps)
{
    // Half of the hold remains for the commits and their repetitions.
    const bool late = now.monotonic > gang.firstReserve + options.hold / 2;
    if (gang.open.empty() && !late) {
        commitAll(gang, now, options, steps);
        return;
    }
    if (gang.owners.empty() || late) {
        backOff(
            gang, late ? "the owners answered too late" : "no room for all tasks at the same time", now, random, steps);
        return;
    }
    const GangOwner owner = std::move(gang.owners.back());
    gang.owners.pop_back();
    gang.participants.push_back({.daemon = owner.daemon,
        .incarnation = owner.incarnation,
        .tasks = {},
        .nextSend = now.monotonic + gangReplyTimeout(options)});
    steps.push_back({.kind = GangStepKind::Reserve, .daemon = owner.daemon, .tasks = gang.open});
}

void beginUndo(Gang &gang, std::string_view reason, const Now &now)
{
    if (gang.phase == GangPhase::Undoing) {
        return;
    }
    gang.phase = GangPhase::Undoing;
    gang.reason = reason;
    gang.nextStop = now.monotonic;
    for (const GangParticipant &participant : gang.participants) {
        if (participant.phase == ParticipantPhase::NotStarted) {
            continue;
        }
        for (const std::uint32_t task : participant.tasks) {
            if (!contains(gang.ended, task)) {
                gang.undo[task] = {.owner = participant.daemon, .seenAt = now.monotonic};
            }
        }
    }
}

void repeatCommits(Gang &gang, const Now &now, const GangOptions &options, GangSteps &steps)
{
    for (GangParticipant &participant : gang.participants) {
        if (participant.phase != ParticipantPhase::Committed || now.monotonic < participant.nextSend) {
            continue;
        }
        participant.nextSend = now.monotonic + gangReplyTimeout(options);
        steps.push_back({.kind = GangStepKind::Commit, .daemon = participant.daemon, .tasks = participant.tasks});
    }
}

} // namespace

milliseconds gangReplyTimeout(const GangOptions &options)
{
    return options.hold / repliesPerHold;
}

void beginAttempt(Gang &gang, std::span<const GangOwner> owners, std::uint64_t exchange, const Now &now,
    const GangOptions &options, RandomState &random, GangSteps &steps)
{
    gang.phase = GangPhase::Reserving;
    gang.exchange = exchange;
    ++gang.attempts;
    gang.owners.assign(owners.rbegin(), owners.rend());
    gang.participants.clear();
    gang.ended.clear();
    gang.open.clear();
    for (const TaskSpec &task : gang.tasks) {
        gang.open.push_back(task.id.index);
    }
    gang.firstReserve = now.monotonic;
    advance(gang, now, options, random, steps);
}

void onReserveAnswer(Gang &gang, std::string_view daemon, std::span<const std::uint32_t> held, const Now &now,
    const GangOptions &options, RandomState &random, GangSteps &steps)
{
    GangParticipant *participant = findParticipant(gang, daemon);
    if (gang.phase != GangPhase::Reserving || participant == nullptr || participant->phase != ParticipantPhase::Asked) {
        return;
    }
    for (const std::uint32_t task : held) {
        if (std::erase(gang.open, task) > 0) {
            participant->tasks.push_back(task);
        }
    }
    participant->phase = ParticipantPhase::Held;
    advance(gang, now, options, random, steps);
}

void onCommitAnswer(Gang &gang, std::string_view daemon, bool started, const Now &now)
{
    GangParticipant *participant = findParticipant(gang, daemon);
    if (participant == nullptr || participant->phase != ParticipantPhase::Committed) {
        return;
    }
    if (started) {
        participant->phase = ParticipantPhase::Started;
        return;
    }
    participant->phase = ParticipantPhase::NotStarted;
    for (const std::uint32_t task : participant->tasks) {
        gang.undo.erase(task);
    }
    beginUndo(gang, "a reservation had ended before the commit", now);
}

void onParticipantLost(Gang &gang, GangParticipant &participant, const Now &now, const GangOptions &options,
    RandomState &random, GangSteps &steps)
{
    const bool held = participant.phase == ParticipantPhase::Held && !participant.tasks.empty();
    const bool asked = participant.phase == ParticipantPhase::Asked;
    const bool committed = participant.phase == ParticipantPhase::Committed;
    if (participant.phase != ParticipantPhase::Started && participant.phase != ParticipantPhase::NotStarted) {
        participant.phase = ParticipantPhase::Lost;
    }
    if (committed) {
        beginUndo(gang, "an owner was lost during the commit", now);
    } else if (held) {
        backOff(gang, "an owner was lost", now, random, steps);
    } else if (asked) {
        advance(gang, now, options, random, steps);
    }
}

void tickGang(Gang &gang, const Now &now, const GangOptions &options, RandomState &random, GangSteps &steps)
{
    if (gang.phase == GangPhase::Reserving && !gang.participants.empty()) {
        GangParticipant &last = gang.participants.back();
        if (last.phase == ParticipantPhase::Asked && now.monotonic >= last.nextSend) {
            // Its answer may be lost; it must not hold room that is not used.
            steps.push_back({.kind = GangStepKind::Abort, .daemon = last.daemon, .tasks = {}});
            gang.participants.pop_back();
            advance(gang, now, options, random, steps);
        }
        return;
    }
    if (gang.phase != GangPhase::Committing && gang.phase != GangPhase::Undoing) {
        return;
    }
    repeatCommits(gang, now, options, steps);
    // All reservations were made before the commit, so each has expired by its owner's clock.
    const bool expired = now.monotonic >= gang.committedAt + options.hold + options.hold / driftPart;
    if (expired && !isStarted(gang)) {
        beginUndo(gang, "an owner did not answer the commit", now);
    }
}

void giveUpGang(Gang &gang, std::string_view reason, const Now &now, GangSteps &steps)
{
    gang.cancelled = true;
    if (gang.phase == GangPhase::Committing) {
        beginUndo(gang, reason, now);
    }
    if (gang.phase == GangPhase::Reserving || gang.phase == GangPhase::Waiting) {
        abortAll(gang, steps);
        gang.phase = GangPhase::Waiting;
        gang.reason = reason;
    }
}

void noteTaskUpdate(Gang &gang, std::string_view owner, const TaskUpdateMessage &update, const Now &now)
{
    if (gang.phase != GangPhase::Committing && gang.phase != GangPhase::Undoing) {
        return;
    }
    const std::uint32_t index = update.task.index;
    if (isEnd(update.progress)) {
        gang.undo.erase(index);
        if (!contains(gang.ended, index)) {
            gang.ended.push_back(index);
        }
        return;
    }
    if (gang.phase == GangPhase::Undoing && !contains(gang.ended, index)) {
        // The owner may be a new one that found the task on a worker that it has taken over.
        gang.undo[index] = {.owner = std::string(owner), .seenAt = now.monotonic};
    }
}

bool isStarted(const Gang &gang)
{
    return gang.phase == GangPhase::Committing
        && std::ranges::all_of(gang.participants,
            [](const GangParticipant &participant) { return participant.phase == ParticipantPhase::Started; });
}

bool isRefused(const Gang &gang, const GangOptions &options)
{
    if (gang.phase == GangPhase::Undoing) {
        return gang.undo.empty();
    }
    return gang.phase == GangPhase::Waiting && (gang.cancelled || gang.attempts >= options.maxAttempts);
}

void endReservation(CellState &cell, Reservation &reservation, const Now &now)
{
    if (reservation.state != ReservationState::Held) {
        return;
    }
    reservation.state = ReservationState::Ended;
    reservation.endedAt = now.monotonic;
    for (const TaskSpec &task : reservation.tasks) {
        const auto found = cell.tasks.find(task.id);
        // A report may have shown that the task of an earlier attempt still runs on the worker.
        if (found != cell.tasks.end() && found->second.reserved) {
            release(cell, task.id);
        }
    }
    reservation.tasks.clear();
}

bool isIntact(const CellState &cell, const Reservation &reservation)
{
    return std::ranges::all_of(reservation.tasks, [&cell](const TaskSpec &task) {
        const auto found = cell.tasks.find(task.id);
        return found != cell.tasks.end() && found->second.reserved;
    });
}

std::size_t expireReservations(GangTable &table, CellState &cell, const Now &now)
{
    std::size_t expired = 0;
    for (auto &[id, reservation] : table.reservations) {
        if (reservation.state == ReservationState::Held && now.monotonic >= reservation.expiresAt) {
            endReservation(cell, reservation, now);
            ++expired;
        }
    }
    std::erase_if(table.reservations, [&](const auto &item) {
        const Reservation &reservation = item.second;
        return reservation.state != ReservationState::Held
            && now.monotonic - reservation.endedAt > table.options.answerMemory;
    });
    return expired;
}

void dropBrokenReservations(GangTable &table, CellState &cell, const Now &now)
{
    for (auto &[id, reservation] : table.reservations) {
        if (reservation.state == ReservationState::Held && !isIntact(cell, reservation)) {
            endReservation(cell, reservation, now);
        }
    }
}

std::size_t heldReservations(const GangTable &table)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        table.reservations, [](const auto &item) { return item.second.state == ReservationState::Held; }));
}

} // namespace wigeonkeel
