#include "core/scheduler/request_progress.h"

#include "core/protocol/request_admission.h"
#include "core/scheduler/scheduler.h"
#include "core/scheduler/worker_coverage.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "requests";
/// Phases follow each other without an event in between at most this often.
constexpr int maxSteps = 8;
/// Incarnation of two sessions of one name: no answer can speak for both.
constexpr std::uint64_t ambiguousIncarnation = UINT64_MAX;

RequestEntry *findEntry(Scheduler &scheduler, const RequestKey &key)
{
    const auto found = scheduler.requests.entries.find(key);
    return found == scheduler.requests.entries.end() ? nullptr : &found->second;
}

AdmissionView viewOf(const Scheduler &scheduler, const RequestKey &key, const RequestEntry &entry, const Now &now)
{
    const JournalEntry *recorded = findRecorded(scheduler.journal, key);
    const bool ownIntent
        = recorded != nullptr && !recorded->ended && recorded->holder == scheduler.journal.options.holder;
    const JournalPartition &partition = scheduler.journal.partitions[partitionOf(key)];
    return {.recorded = ownIntent ? nullptr : recorded,
        .journalFresh = entry.journalRead != 0 && partition.readsDone >= entry.journalRead,
        .sessionsFresh = entry.sessionsRead != 0 && scheduler.sessions.readsDone >= entry.sessionsRead,
        .journalFloor = partition.record.floor,
        .sessionFloor = scheduler.sessions.record.floor,
        .sessionOpen = scheduler.sessions.open,
        .sessionOpened = scheduler.sessions.opened,
        .hasTombstone = scheduler.requests.tombstones.contains(key),
        .hasPeer = !scheduler.sessions.open && entry.hops < scheduler.forwards.options.maxHops
            && !otherDaemon(scheduler, partitionOf(key)).empty(),
        .allWorkersHeld = entry.lookupExchange != 0 && allAnswered(entry) && areAllWorkersHeld(scheduler, entry, now)};
}

void beginCheck(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    RequestEntry &entry = scheduler.requests.entries.at(key);
    entry.journalRead = requestJournalRead(scheduler.journal, key);
    entry.sessionsRead = requestSessionsRead(scheduler.sessions);
    entry.lookups.clear();
    setPhase(scheduler.requests, key, RequestPhase::Checking, now, actions);
    tickSessions(scheduler.sessions, now, actions);
    pumpRequestJournal(scheduler, key, now, actions);
}

void adopt(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    RequestEntry &entry = scheduler.requests.entries.at(key);
    entry.adopted = true;
    entry.answer.reason = "running";
    setPhase(scheduler.requests, key, RequestPhase::Running, now, actions);
}

void sendLookups(Scheduler &scheduler, const RequestKey &key, RequestEntry &entry, const Now &now, Actions &actions)
{
    entry.nextLookup = now.monotonic + scheduler.requests.options.lookupRetry;
    for (const auto &[name, target] : entry.lookups) {
        if (target.answered || name == scheduler.membership.options.self.name) {
            continue;
        }
        actions.push_back(SendToPeer{.peer = name,
            .message
            = LookupMessage{.exchange = scheduler.nextExchange++, .key = key, .created = entry.submission.created}});
    }
}

/// Asks all live peers, whatever they have answered before: a worker that was without a holder may have one now.
void beginSearchRound(
    Scheduler &scheduler, const RequestKey &key, RequestEntry &entry, const Now &now, Actions &actions)
{
    const RequestOptions &options = scheduler.requests.options;
    entry.lookups.clear();
    for (const auto &[name, peer] : scheduler.membership.peers) {
        if (peer.liveness != PeerLiveness::Dead) {
            entry.lookups.try_emplace(name);
        }
    }
    entry.lookupExchange = scheduler.nextExchange;
    entry.clearedAt = now.monotonic;
    sendLookups(scheduler, key, entry, now, actions);
    entry.nextLookup = now.monotonic + std::min(options.lookupRetry * ++entry.lookupRounds, options.maxLookupRetry);
}

void beginLookup(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    RequestEntry &entry = scheduler.requests.entries.at(key);
    if (scheduler.cell.tasks.contains({.job = key, .index = 0})) {
        adopt(scheduler, key, now, actions);
        return;
    }
    if (!entry.queryOnly && isSearched(entry.submission)) {
        setPhase(scheduler.requests, key, RequestPhase::LookingUp, now, actions);
        entry.mayHaveRun = true;
        entry.lookupBegan = now.monotonic;
        entry.lookupRounds = 0;
        beginSearchRound(scheduler, key, entry, now, actions);
        return;
    }
    const PeerInfo &self = scheduler.membership.options.self;
    for (const Session &session : scheduler.sessions.record.sessions) {
        if (session.daemon == self.name && session.incarnation == self.incarnation) {
            continue;
        }
        const auto [target, added]
            = entry.lookups.try_emplace(session.daemon, LookupTarget{.incarnation = session.incarnation});
        if (!added && target->second.incarnation != session.incarnation) {
            target->second.incarnation = ambiguousIncarnation;
        }
    }
    for (const auto &[name, peer] : scheduler.membership.peers) {
        if (peer.liveness != PeerLiveness::Dead) {
            entry.lookups.try_emplace(name);
        }
    }
    setPhase(scheduler.requests, key, RequestPhase::LookingUp, now, actions);
    sendLookups(scheduler, key, entry, now, actions);
}

void lookUpAgain(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    RequestEntry &entry = scheduler.requests.entries.at(key);
    if (entry.lookupExchange != 0) {
        beginSearchRound(scheduler, key, entry, now, actions);
    } else {
        sendLookups(scheduler, key, entry, now, actions);
    }
}

void startRequest(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    scheduler.requests.entries.at(key).adopted = false;
    scheduler.requests.entries.at(key).lookupExchange = 0;
    setPhase(scheduler.requests, key, RequestPhase::Queued, now, actions);
    // A copy: placing may change the table.
    const TaskSpec task = taskOf(scheduler.requests, key, scheduler.requests.entries.at(key));
    enqueueTask(scheduler, task, now, actions);
}

void recordIntent(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    RequestEntry &entry = scheduler.requests.entries.at(key);
    // Only a lookup leads from an earlier phase to the record; a first attempt needs none.
    entry.cleared = entry.phase == RequestPhase::LookingUp || entry.phase == RequestPhase::Checking;
    setPhase(scheduler.requests, key, RequestPhase::Recording, now, actions);
    addJournalWrite(scheduler.journal,
        {.key = key,
            .kind = JournalWriteKind::Intent,
            .entry = {.created = entry.submission.created, .holder = scheduler.journal.options.holder},
            .due = now.monotonic});
    if (!scheduler.requests.options.rules.journalBeforeStart) {
        startRequest(scheduler, key, now, actions);
    }
    pumpRequestJournal(scheduler, key, now, actions);
}

/// The intent of a request that was not started may be in the store or on its way there.
void withdrawIntent(Scheduler &scheduler, const RequestKey &key, const Now &now)
{
    addJournalWrite(
        scheduler.journal, {.key = key, .kind = JournalWriteKind::Withdraw, .entry = {}, .due = now.monotonic});
}

void passOn(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    const RequestEntry entry = scheduler.requests.entries.at(key);
    const std::string peer = otherDaemon(scheduler, partitionOf(key));
    withdrawIntent(scheduler, key, now);
    scheduler.requests.entries.at(key).waiting.clear();
    dropRequest(scheduler.requests, key, {}, actions);
    for (const Waiter &waiter : entry.waiting) {
        ForwardEntry forward{
            .key = key, .submission = entry.submission, .waiter = waiter, .hops = scheduler.forwards.options.maxHops};
        if (!startForward(scheduler.forwards, std::move(forward), peer, now, actions)) {
            sendAnswer(waiter,
                makeRefusal(scheduler.requests.options, entry.submission, "too many requests are passed on", now),
                actions);
        }
    }
}

void answerFinally(Scheduler &scheduler, const RequestKey &key, Answer answer, const Now &now, Actions &actions)
{
    // The answer comes from the journal, so that it need not be written again.
    scheduler.requests.entries.at(key).saved = true;
    endRequest(scheduler.requests, key, std::move(answer), now, actions);
}

/// Carries out a step. True if the next one can be decided at once.
bool perform(Scheduler &scheduler, const RequestKey &key, const AdmissionStep &step, const Now &now, Actions &actions)
{
    switch (step.kind) {
    case AdmissionStepKind::Wait:
        return false;
    case AdmissionStepKind::Check:
        beginCheck(scheduler, key, now, actions);
        return true;
    case AdmissionStepKind::LookUp:
        beginLookup(scheduler, key, now, actions);
        return true;
    case AdmissionStepKind::LookUpAgain:
        lookUpAgain(scheduler, key, now, actions);
        return false;
    case AdmissionStepKind::RecordIntent:
        recordIntent(scheduler, key, now, actions);
        return false;
    case AdmissionStepKind::StartFromMemory:
    case AdmissionStepKind::Start:
        if (scheduler.cell.tasks.contains({.job = key, .index = 0})) {
            // This daemon has taken over the worker of the task during the search.
            adopt(scheduler, key, now, actions);
            return false;
        }
        startRequest(scheduler, key, now, actions);
        return false;
    case AdmissionStepKind::PassOn:
        passOn(scheduler, key, now, actions);
        return false;
    case AdmissionStepKind::Answer:
        answerFinally(scheduler, key, step.answer, now, actions);
        return false;
    case AdmissionStepKind::Drop:
        if (scheduler.requests.entries.at(key).phase == RequestPhase::Recording) {
            withdrawIntent(scheduler, key, now);
        }
        dropRequest(scheduler.requests, key, step.answer, actions);
        return false;
    case AdmissionStepKind::Adopt:
        adopt(scheduler, key, now, actions);
        return false;
    }
    return false;
}

void onIntentRecorded(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    RequestEntry *entry = findEntry(scheduler, key);
    if (entry == nullptr || entry->phase != RequestPhase::Recording) {
        return;
    }
    // Whoever starts it records an intent first; this one was the first.
    entry->mayHaveRun = false;
    startRequest(scheduler, key, now, actions);
}

void onIntentTaken(Scheduler &scheduler, const JournalNotice &notice, const Now &now, Actions &actions)
{
    RequestEntry *entry = findEntry(scheduler, notice.key);
    if (entry == nullptr) {
        return;
    }
    if (entry->phase != RequestPhase::Recording) {
        actions.push_back(LogAction{.level = LogLevel::Error,
            .part = logPart,
            .text = fmt::format("request {} was started here and recorded by {}; its caller sent a first attempt twice",
                toString(notice.key), notice.entry.holder)});
        return;
    }
    entry->takenByOther = true;
    beginCheck(scheduler, notice.key, now, actions);
    advanceRequest(scheduler, notice.key, now, actions);
}

void onBelowFloor(Scheduler &scheduler, const JournalNotice &notice, Actions &actions)
{
    RequestEntry *entry = findEntry(scheduler, notice.key);
    if (entry == nullptr || entry->phase != RequestPhase::Recording) {
        return;
    }
    dropRequest(scheduler.requests, notice.key,
        {.outcome = Outcome::Unknown, .reason = "it was created too long ago to show whether it ran"}, actions);
}

} // namespace

std::string otherDaemon(const Scheduler &scheduler, std::uint32_t partition)
{
    std::string best;
    std::uint64_t bestRank = 0;
    for (const auto &[name, peer] : scheduler.membership.peers) {
        const std::uint64_t rank = stableHash(name, partition);
        if (peer.liveness != PeerLiveness::Dead && (best.empty() || rank > bestRank)) {
            best = name;
            bestRank = rank;
        }
    }
    return best;
}

void beginRequest(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    const RequestEntry &entry = scheduler.requests.entries.at(key);
    const RequestOptions &options = scheduler.requests.options;
    // A daemon sends a forward without answer elsewhere, long before a caller would. If this daemon counted as dead
    // then, it was not asked.
    const bool forwarded = !entry.waiting.empty() && !entry.waiting.front().peer.empty();
    const MonotonicTime sent = now.monotonic - options.firstAttemptAge - options.memoryClockAhead;
    const bool unasked = forwarded && !scheduler.ownership.workers.empty() && !holdsWorkerSince(scheduler, sent, now);
    const bool denied = scheduler.requests.tombstones.contains(key) || unasked;
    const AdmissionStep step = firstStep(entry, denied, options, now);
    if (perform(scheduler, key, step, now, actions)) {
        advanceRequest(scheduler, key, now, actions);
    }
}

void advanceRequest(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    for (int i = 0; i < maxSteps; ++i) {
        const RequestEntry *entry = findEntry(scheduler, key);
        if (entry == nullptr) {
            return;
        }
        const AdmissionStep step
            = nextStep(*entry, viewOf(scheduler, key, *entry, now), scheduler.requests.options, now);
        if (!perform(scheduler, key, step, now, actions)) {
            return;
        }
    }
}

void pumpRequestJournal(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    JournalNotices notices;
    pumpJournal(scheduler.journal, partitionOf(key), now, notices, actions);
    onJournalNotices(scheduler, notices, now, actions);
}

void onJournalNotices(Scheduler &scheduler, const JournalNotices &notices, const Now &now, Actions &actions)
{
    for (const JournalNotice &notice : notices) {
        if (notice.write != JournalWriteKind::Intent) {
            if (notice.write == JournalWriteKind::Outcome) {
                noteSaved(scheduler.requests, notice.key);
            }
            continue;
        }
        switch (notice.kind) {
        case JournalNoticeKind::Recorded:
            onIntentRecorded(scheduler, notice.key, now, actions);
            break;
        case JournalNoticeKind::Taken:
            onIntentTaken(scheduler, notice, now, actions);
            break;
        case JournalNoticeKind::BelowFloor:
            onBelowFloor(scheduler, notice, actions);
            break;
        }
    }
}

void saveOutcome(Scheduler &scheduler, const RequestKey &key, const Now &now)
{
    const RequestEntry *entry = findEntry(scheduler, key);
    if (entry == nullptr || entry->saved || entry->phase != RequestPhase::Ended) {
        return;
    }
    const JournalOptions &options = scheduler.journal.options;
    addJournalWrite(scheduler.journal,
        {.key = key,
            .kind = JournalWriteKind::Outcome,
            .entry = makeOutcome(options, entry->submission.created, entry->answer),
            .due = now.monotonic + options.outcomeDelay});
}

bool isCleared(const Scheduler &scheduler, const TaskSpec &task, const Now &now)
{
    const auto found = scheduler.requests.entries.find(task.id.job);
    if (found == scheduler.requests.entries.end() || found->second.phase != RequestPhase::Queued
        || !isSearched(found->second.submission)) {
        return true;
    }
    const RequestOptions &options = scheduler.requests.options;
    const MonotonicTime clearedAt = found->second.clearedAt;
    const auto age = now.monotonic - clearedAt;
    // A peer that denied the request to another daemon refuses this home's offers until it was asked by this home.
    return age <= options.clearance || (age <= options.searchTimeout && holdsWorkerSince(scheduler, clearedAt, now));
}

void searchAgain(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    beginLookup(scheduler, key, now, actions);
}

void restartRequests(Scheduler &scheduler, const Now &now, Actions &actions)
{
    std::vector<RequestKey> keys;
    keys.swap(scheduler.requests.restarts);
    for (const RequestKey &key : keys) {
        const RequestEntry *entry = findEntry(scheduler, key);
        if (entry != nullptr && entry->phase == RequestPhase::Queued) {
            startRequest(scheduler, key, now, actions);
        }
    }
}

void followPeer(Scheduler &scheduler, const RequestKey &key, std::string_view peer, const Now &now, Actions &actions)
{
    const RequestEntry entry = scheduler.requests.entries.at(key);
    scheduler.requests.entries.at(key).waiting.clear();
    dropRequest(scheduler.requests, key, {}, actions);
    for (const Waiter &waiter : entry.waiting) {
        ForwardEntry forward{.kind = ForwardKind::Query, .key = key, .submission = entry.submission, .waiter = waiter};
        if (!startForward(scheduler.forwards, std::move(forward), peer, now, actions)) {
            sendAnswer(waiter, {.outcome = Outcome::Unknown, .reason = "too many requests are passed on"}, actions);
        }
    }
}

} // namespace wigeonkeel
