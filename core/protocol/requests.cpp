#include "core/protocol/requests.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// Bytes; a quarter of the largest frame, so that heartbeats are not held up for long.
constexpr std::size_t chunkBytes = 262144;
/// The entry, its keys in the indices, and its task in the queue or on a worker.
constexpr std::size_t entryBytes = sizeof(RequestEntry) + 512;
/// A payload is in the entry, in the queued task and in the start that is being sent.
constexpr std::size_t payloadCopies = 3;
constexpr std::string_view logPart = "requests";

std::size_t bytesOf(const RequestEntry &entry)
{
    return entryBytes + submittedBytes(entry.submission) + entry.answer.result.size() + entry.answer.reason.size();
}

bool isUndecided(RequestPhase phase)
{
    return phase == RequestPhase::Checking || phase == RequestPhase::LookingUp || phase == RequestPhase::Recording;
}

void answerWaiter(RequestTable &table, const Waiter &waiter, const Answer &answer, Actions &actions)
{
    if (waiter.peer.empty()) {
        table.callers.erase(waiter.caller);
    }
    sendAnswer(waiter, answer, actions);
}

void takeSubmission(RequestEntry &entry, const Submission &submission, const Now &now)
{
    entry.submission = submission;
    entry.saved = !isJournaled(submission);
    if (submission.startWithin.count() > 0) {
        entry.startBefore = now.monotonic + submission.startWithin;
    }
}

void addWaiter(RequestTable &table, RequestEntry &entry, const RequestKey &key, const Waiter &waiter)
{
    // A peer that polls for the answer sends the same exchange again.
    if (!waiter.peer.empty() && std::ranges::any_of(entry.waiting, [&](const Waiter &known) {
            return known.peer == waiter.peer && known.exchange == waiter.exchange;
        })) {
        return;
    }
    entry.waiting.push_back(waiter);
    if (waiter.peer.empty()) {
        table.callers.insert_or_assign(waiter.caller, key);
    }
}

/// An update of a start that is not the last one; only the end of a task still matters then.
bool isStale(const RequestEntry &entry, const TaskUpdateMessage &update)
{
    const bool ends = update.progress == TaskProgress::Done || update.progress == TaskProgress::Failed
        || update.progress == TaskProgress::Stopped || update.progress == TaskProgress::Running;
    return !ends && update.startCount != 0 && update.startCount < entry.startCount;
}

void refuseForMemory(
    RequestTable &table, const Submission &submission, const Waiter &waiter, const Now &now, Actions &actions)
{
    noteRefused(table.memory, logPart, "Requests", now.monotonic, actions);
    sendAnswer(waiter, makeRefusal(table.options, submission, "requests take too much memory here", now), actions);
}

bool mayRestart(const RequestTable &table, const RequestEntry &entry)
{
    const bool allowed = !isJournaled(entry.submission) || !table.options.rules.singleStart;
    return allowed && !entry.adopted && !entry.cancelRequested && entry.startCount < table.options.maxStarts;
}

void restartRequest(RequestTable &table, const RequestKey &key, const Now &now, Actions &actions)
{
    setPhase(table, key, RequestPhase::Queued, now, actions);
    table.restarts.push_back(key);
}

Answer notStartedAnswer(const RequestEntry &entry, std::string_view reason)
{
    return {.outcome = entry.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, .reason = std::string(reason)};
}

Answer endAnswer(const TaskUpdateMessage &update)
{
    const std::uint64_t digest = digestOf(update.result);
    if (update.progress == TaskProgress::Done && update.digest != 0 && update.digest != digest) {
        return {.outcome = Outcome::Unknown,
            .reason = "it ran, but its result did not arrive whole",
            .worker = update.worker};
    }
    return {.outcome = update.progress == TaskProgress::Done ? Outcome::Done : Outcome::Failed,
        .reason = update.detail,
        .result = update.result,
        .digest = digest,
        .worker = update.worker};
}

} // namespace

std::size_t submittedBytes(const Submission &submission)
{
    return submission.operatorName.size() + submission.id.size() + submission.team.size() + submission.workload.size()
        + submission.payload.size() * payloadCopies;
}

bool isJournaled(const Submission &submission)
{
    return submission.kind == TaskKind::Request && !submission.idempotent;
}

bool isSearched(const Submission &submission)
{
    return submission.kind == TaskKind::Request && submission.idempotent;
}

bool isFirstAttempt(const RequestOptions &options, const Submission &submission, const Now &now)
{
    return submission.attempt == 1
        && (submission.created == WallTime{} || now.wall - submission.created <= options.firstAttemptAge);
}

Answer makeRefusal(const RequestOptions &options, const Submission &submission, std::string_view reason, const Now &now)
{
    return {.outcome = isFirstAttempt(options, submission, now) ? Outcome::NotRun : Outcome::Unknown,
        .reason = std::string(reason),
        .retryAfter = options.retryAfter};
}

RequestEntry *admitRequest(RequestTable &table, const Submission &submission, bool queryOnly, const Waiter &waiter,
    const Now &now, Actions &actions)
{
    const RequestKey key = makeRequestKey(submission.operatorName, submission.id);
    const auto found = table.entries.find(key);
    if (found != table.entries.end()) {
        RequestEntry &entry = found->second;
        if (entry.queryOnly && !queryOnly && entry.phase != RequestPhase::Ended) {
            if (!hasRoom(table.memory, submittedBytes(submission))) {
                refuseForMemory(table, submission, waiter, now, actions);
                return nullptr;
            }
            entry.queryOnly = false;
            takeSubmission(entry, submission, now);
            charge(table.memory, entry.bytes, bytesOf(entry));
        }
        // A caller who repeats an idempotent request may have had it started by another home in the meantime.
        if (entry.phase != RequestPhase::Ended && !queryOnly && !isJournaled(submission)
            && !isFirstAttempt(table.options, submission, now)) {
            entry.mayHaveRun = true;
        }
        if (entry.phase == RequestPhase::Ended || (!waiter.wait && !isUndecided(entry.phase))) {
            sendAnswer(waiter, entry.answer, actions);
            return nullptr;
        }
        addWaiter(table, entry, key, waiter);
        return nullptr;
    }
    if (table.entries.size() >= table.options.maxEntries) {
        sendAnswer(waiter, makeRefusal(table.options, submission, "too many requests are kept here", now), actions);
        return nullptr;
    }
    if (!hasRoom(table.memory, entryBytes + submittedBytes(submission))) {
        refuseForMemory(table, submission, waiter, now, actions);
        return nullptr;
    }
    RequestEntry &entry = table.entries[key];
    takeSubmission(entry, submission, now);
    entry.queryOnly = queryOnly;
    entry.answer = {.outcome = Outcome::Running, .reason = "accepted"};
    entry.mayHaveRun = !isFirstAttempt(table.options, submission, now);
    entry.admittedAt = now.monotonic;
    entry.phaseSince = now.monotonic;
    entry.clearedAt = now.monotonic;
    charge(table.memory, entry.bytes, bytesOf(entry));
    addWaiter(table, entry, key, waiter);
    return &entry;
}

void setPhase(RequestTable &table, const RequestKey &key, RequestPhase phase, const Now &now, Actions &actions)
{
    RequestEntry &entry = table.entries.at(key);
    entry.phase = phase;
    entry.phaseSince = now.monotonic;
    if (isUndecided(phase) || entry.adopted) {
        table.undecided.insert(key);
    } else {
        table.undecided.erase(key);
    }
    if (isUndecided(phase)) {
        return;
    }
    std::erase_if(entry.waiting, [&](const Waiter &waiter) {
        if (!waiter.wait) {
            answerWaiter(table, waiter, entry.answer, actions);
        }
        return !waiter.wait;
    });
}

void endRequest(RequestTable &table, const RequestKey &key, Answer answer, const Now &now, Actions &actions)
{
    RequestEntry &entry = table.entries.at(key);
    entry.phase = RequestPhase::Ended;
    entry.endedAt = now.monotonic;
    entry.answer = std::move(answer);
    entry.adopted = false;
    table.undecided.erase(key);
    if (entry.saved) {
        table.ended.push_back(key);
    }
    for (const Waiter &waiter : entry.waiting) {
        answerWaiter(table, waiter, entry.answer, actions);
    }
    entry.waiting.clear();
    entry.lookups.clear();
    // An ended request is not started again.
    entry.submission.payload = std::string();
    charge(table.memory, entry.bytes, bytesOf(entry));
}

void dropRequest(RequestTable &table, const RequestKey &key, const Answer &answer, Actions &actions)
{
    const auto found = table.entries.find(key);
    for (const Waiter &waiter : found->second.waiting) {
        answerWaiter(table, waiter, answer, actions);
    }
    table.undecided.erase(key);
    charge(table.memory, found->second.bytes, 0);
    table.entries.erase(found);
}

bool updateRequest(RequestTable &table, const TaskUpdateMessage &update, const Now &now, Actions &actions)
{
    const RequestKey key = update.task.job;
    const auto found = table.entries.find(key);
    if (found == table.entries.end()) {
        return false;
    }
    RequestEntry &entry = found->second;
    if (entry.phase == RequestPhase::Ended || isStale(entry, update)) {
        return true;
    }
    if (!update.worker.empty()) {
        entry.worker = update.worker;
    }
    // It was not started here, so that another daemon has.
    entry.adopted = entry.adopted || isUndecided(entry.phase);
    switch (update.progress) {
    case TaskProgress::Sent:
        if (entry.phase == RequestPhase::Queued && entry.startCount == 0) {
            actions.push_back(ObserveAction{.kind = ObservationKind::RequestStart,
                .taskKind = TaskKind::Request,
                .duration = now.monotonic - entry.admittedAt});
        }
        entry.startCount = std::max(entry.startCount, update.startCount);
        setPhase(table, key, RequestPhase::Starting, now, actions);
        return false;
    case TaskProgress::Running:
        entry.answer.reason = "running";
        setPhase(table, key, RequestPhase::Running, now, actions);
        return false;
    case TaskProgress::Refused:
        endRequest(table, key, notStartedAnswer(entry, update.detail), now, actions);
        return true;
    case TaskProgress::NotStarted:
        if (mayRestart(table, entry)) {
            restartRequest(table, key, now, actions);
            return true;
        }
        endRequest(table, key, notStartedAnswer(entry, update.detail), now, actions);
        return true;
    case TaskProgress::Lost:
        entry.mayHaveRun = true;
        if (mayRestart(table, entry)) {
            restartRequest(table, key, now, actions);
            return true;
        }
        endRequest(table, key,
            {.outcome = Outcome::Unknown, .reason = "the worker no longer lists the task", .worker = update.worker},
            now, actions);
        return true;
    case TaskProgress::Unresolved:
        // Another start could run beside the first one.
        entry.mayHaveRun = true;
        endRequest(
            table, key, {.outcome = Outcome::Unknown, .reason = update.detail, .worker = update.worker}, now, actions);
        return true;
    case TaskProgress::Done:
    case TaskProgress::Failed:
    case TaskProgress::Stopped:
        endRequest(table, key, endAnswer(update), now, actions);
        return true;
    }
    return false;
}

void dropCaller(RequestTable &table, CallerToken caller)
{
    const auto key = table.callers.find(caller);
    if (key == table.callers.end()) {
        return;
    }
    const auto entry = table.entries.find(key->second);
    if (entry != table.entries.end()) {
        std::erase_if(entry->second.waiting,
            [caller](const Waiter &waiter) { return waiter.peer.empty() && waiter.caller == caller; });
    }
    table.callers.erase(key);
}

void noteSaved(RequestTable &table, const RequestKey &key)
{
    const auto found = table.entries.find(key);
    if (found == table.entries.end() || found->second.saved || found->second.phase != RequestPhase::Ended) {
        return;
    }
    found->second.saved = true;
    table.ended.push_back(key);
}

TaskSpec taskOf(const RequestTable &table, const RequestKey &key, const RequestEntry &entry)
{
    const Submission &submission = entry.submission;
    return {.id = {.job = key, .index = 0},
        .label = {.operatorName = submission.operatorName,
            .team = submission.team,
            .workload = submission.workload,
            .home = table.options.home,
            .kind = submission.kind,
            .urgency = submission.urgency,
            .idempotent = submission.idempotent},
        .size = submission.size,
        .payload = submission.payload,
        .declaredRunTime = submission.declaredRunTime,
        .startBefore = entry.startBefore,
        .startCount = entry.startCount + 1};
}

bool addTombstone(RequestTable &table, const RequestKey &key, const Now &now)
{
    if (!table.options.rules.tombstoneOnLookup || table.tombstones.contains(key)) {
        return true;
    }
    if (table.tombstones.size() >= table.options.maxTombstones) {
        return false;
    }
    table.tombstones.emplace(key, now.monotonic);
    table.tombstoneAges.emplace_back(now.monotonic, key);
    return true;
}

void noteDenied(RequestTable &table, const RequestKey &key, std::string_view asker)
{
    if (!table.tombstones.contains(key)) {
        return;
    }
    std::vector<std::string> &askers = table.deniedTo[key];
    if (std::ranges::find(askers, asker) == askers.end()) {
        askers.emplace_back(asker);
    }
}

bool isDenied(const RequestTable &table, const RequestKey &key, std::string_view from)
{
    const auto found = table.deniedTo.find(key);
    return found != table.deniedTo.end() && std::ranges::find(found->second, from) == found->second.end();
}

void evictRequests(RequestTable &table, const Now &now)
{
    while (!table.tombstoneAges.empty()
        && now.monotonic - table.tombstoneAges.front().first >= table.options.keepTombstones) {
        table.tombstones.erase(table.tombstoneAges.front().second);
        table.deniedTo.erase(table.tombstoneAges.front().second);
        table.tombstoneAges.pop_front();
    }
    while (!table.ended.empty()) {
        const auto found = table.entries.find(table.ended.front());
        if (found != table.entries.end() && now.monotonic - found->second.endedAt < table.options.keepAnswers) {
            return;
        }
        if (found != table.entries.end()) {
            charge(table.memory, found->second.bytes, 0);
            table.entries.erase(found);
        }
        table.ended.pop_front();
    }
}

bool isIdle(const RequestTable &table)
{
    return std::ranges::all_of(
        table.entries, [](const auto &item) { return item.second.phase == RequestPhase::Ended; });
}

void sendAnswer(const Waiter &waiter, const Answer &answer, Actions &actions)
{
    if (waiter.peer.empty()) {
        if (waiter.caller != 0) {
            actions.push_back(ReplyToCaller{.caller = waiter.caller, .answer = answer});
        }
        return;
    }
    const std::size_t total = answer.result.size();
    std::size_t offset = 0;
    do {
        AnswerMessage chunk{.exchange = waiter.exchange, .answer = answer, .offset = offset, .totalSize = total};
        chunk.answer.result = answer.result.substr(offset, chunkBytes);
        offset += chunk.answer.result.size();
        actions.push_back(SendToPeer{.peer = waiter.peer, .message = std::move(chunk)});
    } while (offset < total);
}

} // namespace wigeonkeel
