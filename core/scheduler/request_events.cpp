#include "core/scheduler/request_events.h"

#include "core/protocol/request_admission.h"
#include "core/scheduler/job_events.h"
#include "core/scheduler/request_progress.h"
#include "core/scheduler/scheduler.h"
#include "core/scheduler/task_limits.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

bool isPeerAlive(const void *state, std::string_view peer)
{
    return isAlive(*static_cast<const MembershipTable *>(state), peer);
}

/// A peer whose request is waited for learns at once that it arrived, so that it doesn't send it again.
void acknowledgeForward(const Waiter &waiter, Actions &actions)
{
    if (!waiter.peer.empty() && waiter.wait) {
        sendAnswer(waiter, {.outcome = Outcome::Running, .reason = "accepted"}, actions);
    }
}

bool isAnswered(const Scheduler &scheduler, const RequestKey &key)
{
    const auto found = scheduler.requests.entries.find(key);
    return found == scheduler.requests.entries.end() || found->second.phase == RequestPhase::Ended;
}

void passOnSubmission(Scheduler &scheduler, const Submission &submission, const Waiter &waiter, std::uint32_t hops,
    std::string_view peer, const Now &now, Actions &actions)
{
    ForwardEntry entry{.key = makeRequestKey(submission.operatorName, submission.id),
        .submission = submission,
        .waiter = waiter,
        .hops = hops};
    if (!startForward(scheduler.forwards, std::move(entry), peer, now, actions)) {
        sendAnswer(waiter, makeRefusal(scheduler.requests.options, submission, "too many requests are passed on", now),
            actions);
        return;
    }
    acknowledgeForward(waiter, actions);
}

void submitAtHome(Scheduler &scheduler, const Submission &submission, const Waiter &waiter, std::uint32_t hops,
    const Now &now, Actions &actions)
{
    const RequestKey key = makeRequestKey(submission.operatorName, submission.id);
    if (joinKnownJob(scheduler, key, waiter, actions)) {
        return;
    }
    const auto present = scheduler.requests.entries.find(key);
    if (present == scheduler.requests.entries.end() || present->second.queryOnly) {
        const AdmissionDecision decision = admitSubmission(scheduler, submission, now);
        if (!decision.admitted) {
            refuseSubmission(scheduler, submission, waiter, decision, now, actions);
            return;
        }
    }
    if (isJob(submission.kind)) {
        submitJobAtHome(scheduler, submission, waiter, now, actions);
        return;
    }
    RequestEntry *entry = admitRequest(scheduler.requests, submission, false, waiter, now, actions);
    if (entry != nullptr) {
        entry->hops = hops;
        beginRequest(scheduler, key, now, actions);
    }
    if (!isAnswered(scheduler, key)) {
        acknowledgeForward(waiter, actions);
    }
}

void passOnQuestion(Scheduler &scheduler, ForwardEntry entry, std::string_view peer, const Now &now, Actions &actions)
{
    const Waiter waiter = entry.waiter;
    if (!startForward(scheduler.forwards, std::move(entry), peer, now, actions)) {
        sendAnswer(waiter, {.outcome = Outcome::Unknown, .reason = "too many requests are passed on"}, actions);
    }
}

void queryAtHome(Scheduler &scheduler, std::string_view operatorName, std::string_view id, const Waiter &waiter,
    const Now &now, Actions &actions)
{
    const Submission question{.operatorName = std::string(operatorName), .id = std::string(id)};
    const RequestKey key = makeRequestKey(operatorName, id);
    if (joinKnownJob(scheduler, key, waiter, actions)) {
        return;
    }
    if (admitRequest(scheduler.requests, question, true, waiter, now, actions) != nullptr) {
        beginRequest(scheduler, key, now, actions);
    }
    if (!isAnswered(scheduler, key)) {
        acknowledgeForward(waiter, actions);
    }
}

void stopTask(Scheduler &scheduler, const TaskId &task, const Now &now, Actions &actions)
{
    const auto found = scheduler.cell.tasks.find(task);
    if (found != scheduler.cell.tasks.end()) {
        const std::string worker = scheduler.cell.workers[found->second.worker].name;
        sendCommand(scheduler.ownership, worker, {.kind = CommandKind::Stop, .task = task}, now, actions);
        return;
    }
    for (const auto &[name, peer] : scheduler.membership.peers) {
        if (peer.liveness != PeerLiveness::Dead) {
            actions.push_back(SendToPeer{.peer = name,
                .message
                = StopTasksMessage{.job = task.job, .tasks = {task.index}, .reason = "cancelled by the caller"}});
        }
    }
}

void cancelAtHome(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    RequestEntry &entry = scheduler.requests.entries.at(key);
    const TaskId task{.job = key, .index = 0};
    const bool journaled = isJournaled(entry.submission);
    const bool undecided = entry.phase == RequestPhase::Checking || entry.phase == RequestPhase::LookingUp
        || entry.phase == RequestPhase::Recording;
    const bool unqueued = entry.phase == RequestPhase::Queued && removeQueued(scheduler, task);
    if (!undecided && !unqueued) {
        entry.cancelRequested = true;
        entry.answer.reason = "a stop was requested";
        stopTask(scheduler, task, now, actions);
        return;
    }
    const bool mayHaveRun = entry.mayHaveRun || entry.takenByOther;
    Answer answer{
        .outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun, .reason = "cancelled before it was started"};
    if (undecided && mayHaveRun) {
        dropRequest(scheduler.requests, key, answer, actions);
        return;
    }
    endRequest(scheduler.requests, key, std::move(answer), now, actions);
    if (journaled) {
        saveOutcome(scheduler, key, now);
    }
}

/// Two daemons look for the same idempotent request: the one with the lower name goes first. True if it is this one.
bool goesBefore(Scheduler &scheduler, RequestEntry &entry, std::string_view asker)
{
    if (scheduler.membership.options.self.name < asker) {
        return true;
    }
    // What it answered before it began to look says nothing any more.
    entry.lookups[std::string(asker)] = {};
    return false;
}

LookupStatus lookUp(Scheduler &scheduler, const RequestKey &key, std::string_view from, const Now &now, Answer &answer)
{
    const auto found = scheduler.requests.entries.find(key);
    const TaskId task{.job = key, .index = 0};
    const bool present = found != scheduler.requests.entries.end();
    if (present && found->second.phase == RequestPhase::LookingUp && found->second.lookupExchange != 0
        && !scheduler.cell.tasks.contains(task) && goesBefore(scheduler, found->second, from)) {
        return LookupStatus::NotReady;
    }
    if (present && !found->second.adopted && found->second.phase >= RequestPhase::Queued) {
        answer = {.outcome = found->second.answer.outcome, .reason = found->second.answer.reason};
        return LookupStatus::Known;
    }
    if (scheduler.cell.tasks.contains(task)) {
        return LookupStatus::OnWorker;
    }
    const bool rebuilding = std::ranges::any_of(
        scheduler.ownership.workers, [](const auto &item) { return item.second.state == OwnershipState::Rebuilding; });
    if (rebuilding || !addTombstone(scheduler.requests, key, now)) {
        return LookupStatus::NotReady;
    }
    noteDenied(scheduler.requests, key, from);
    // A task that a failed home had queued here must not start after the key was denied.
    removeQueued(scheduler, task);
    return LookupStatus::NotKnown;
}

/// Advances the requests that wait for the store, peers or time; only those of a partition if one is given.
void advanceUndecided(Scheduler &scheduler, std::optional<std::uint32_t> partition, const Now &now, Actions &actions)
{
    std::vector<RequestKey> keys(scheduler.requests.undecided.begin(), scheduler.requests.undecided.end());
    // The set's order differs from process to process; a schedule must be repeatable.
    std::ranges::sort(keys);
    for (const RequestKey &key : keys) {
        if (!partition || *partition == partitionOf(key)) {
            advanceRequest(scheduler, key, now, actions);
        }
    }
}

/// Sends a forward again, or tells the waiter that there was no answer.
void retryForward(Scheduler &scheduler, ForwardEntry entry, const Now &now, Actions &actions)
{
    if (entry.sends >= scheduler.forwards.options.maxSends) {
        sendAnswer(entry.waiter,
            {.outcome = Outcome::Unknown,
                .reason = "the daemon that keeps the request does not answer",
                .retryAfter = scheduler.requests.options.retryAfter},
            actions);
        return;
    }
    Submission &submission = entry.submission;
    // The first send may have arrived, so that this one must not count as a first attempt.
    if (submission.attempt > 0) {
        ++submission.attempt;
    }
    const std::string home(reachableHomeOf(scheduler.membership, partitionOf(entry.key)));
    if (home != scheduler.membership.options.self.name) {
        const Waiter waiter = entry.waiter;
        if (!startForward(scheduler.forwards, std::move(entry), home, now, actions)) {
            sendAnswer(waiter, {.outcome = Outcome::Unknown, .reason = "too many requests are passed on"}, actions);
        }
        return;
    }
    switch (entry.kind) {
    case ForwardKind::Submission:
        submitAtHome(scheduler, submission, entry.waiter, entry.hops, now, actions);
        return;
    case ForwardKind::Query:
        queryAtHome(scheduler, submission.operatorName, submission.id, entry.waiter, now, actions);
        return;
    case ForwardKind::Cancel:
        cancelRequest(scheduler, submission.operatorName, submission.id, entry.waiter, now, actions);
        return;
    }
}

} // namespace

void submitRequest(Scheduler &scheduler, const Submission &submission, const Waiter &waiter, std::uint32_t hops,
    const Now &now, Actions &actions)
{
    const RequestKey key = makeRequestKey(submission.operatorName, submission.id);
    const std::string home(reachableHomeOf(scheduler.membership, partitionOf(key)));
    const bool mayPassOn = hops < scheduler.forwards.options.maxHops;
    if (scheduler.requests.entries.contains(key) || findJob(scheduler.jobs, key) != nullptr) {
        submitAtHome(scheduler, submission, waiter, hops, now, actions);
        return;
    }
    // Under a steady load there is always a forward under way, so that a daemon that passes on new requests never ends.
    const bool fromCaller = waiter.peer.empty();
    if (scheduler.draining && fromCaller) {
        sendAnswer(
            waiter, makeRefusal(scheduler.requests.options, submission, "this daemon is shutting down", now), actions);
        return;
    }
    if (home != scheduler.membership.options.self.name && mayPassOn) {
        passOnSubmission(scheduler, submission, waiter, hops + 1, home, now, actions);
        return;
    }
    if (!scheduler.draining) {
        submitAtHome(scheduler, submission, waiter, hops, now, actions);
        return;
    }
    const std::string other = otherDaemon(scheduler, partitionOf(key));
    if (!other.empty() && mayPassOn) {
        passOnSubmission(scheduler, submission, waiter, scheduler.forwards.options.maxHops, other, now, actions);
        return;
    }
    sendAnswer(
        waiter, makeRefusal(scheduler.requests.options, submission, "this daemon is shutting down", now), actions);
}

void refuseSubmission(Scheduler &scheduler, const Submission &submission, const Waiter &waiter,
    const AdmissionDecision &decision, const Now &now, Actions &actions)
{
    const RequestKey key = makeRequestKey(submission.operatorName, submission.id);
    if (scheduler.requests.entries.contains(key) || !isFirstAttempt(scheduler.requests.options, submission, now)) {
        queryRequest(scheduler, submission.operatorName, submission.id, waiter, now, actions);
        return;
    }
    sendAnswer(
        waiter, {.outcome = Outcome::NotRun, .reason = decision.reason, .retryAfter = decision.retryAfter}, actions);
}

void queryRequest(Scheduler &scheduler, std::string_view operatorName, std::string_view id, const Waiter &waiter,
    const Now &now, Actions &actions)
{
    const RequestKey key = makeRequestKey(operatorName, id);
    const std::string home(homeOf(scheduler.membership, partitionOf(key)));
    const bool here = home == scheduler.membership.options.self.name || !waiter.peer.empty();
    if (here || scheduler.requests.entries.contains(key) || findJob(scheduler.jobs, key) != nullptr) {
        queryAtHome(scheduler, operatorName, id, waiter, now, actions);
        return;
    }
    ForwardEntry entry{.kind = ForwardKind::Query,
        .key = key,
        .submission = {.operatorName = std::string(operatorName), .id = std::string(id)},
        .waiter = waiter};
    passOnQuestion(scheduler, std::move(entry), home, now, actions);
}

void cancelRequest(Scheduler &scheduler, std::string_view operatorName, std::string_view id, const Waiter &waiter,
    const Now &now, Actions &actions)
{
    const RequestKey key = makeRequestKey(operatorName, id);
    if (cancelJob(scheduler, key, waiter, now, actions)) {
        return;
    }
    const auto found = scheduler.requests.entries.find(key);
    const std::string home(homeOf(scheduler.membership, partitionOf(key)));
    if (found == scheduler.requests.entries.end()) {
        if (home == scheduler.membership.options.self.name || !waiter.peer.empty()) {
            sendAnswer(waiter, {.outcome = Outcome::Unknown, .reason = "no such request is known"}, actions);
            return;
        }
        ForwardEntry entry{.kind = ForwardKind::Cancel,
            .key = key,
            .submission = {.operatorName = std::string(operatorName), .id = std::string(id)},
            .waiter = waiter};
        passOnQuestion(scheduler, std::move(entry), home, now, actions);
        return;
    }
    if (found->second.phase != RequestPhase::Ended) {
        cancelAtHome(scheduler, key, now, actions);
    }
    const auto after = scheduler.requests.entries.find(key);
    const bool kept = after != scheduler.requests.entries.end();
    sendAnswer(waiter,
        kept ? after->second.answer
             : Answer{.outcome = Outcome::Unknown, .reason = "cancelled; an earlier attempt may have run"},
        actions);
}

void onForward(
    Scheduler &scheduler, std::string_view from, const ForwardMessage &message, const Now &now, Actions &actions)
{
    const Waiter waiter{.peer = std::string(from), .exchange = message.exchange, .wait = message.wait};
    submitRequest(scheduler, message.submission, waiter, std::max(message.hops, 1U), now, actions);
}

void onForwardQuery(
    Scheduler &scheduler, std::string_view from, const ForwardQueryMessage &message, const Now &now, Actions &actions)
{
    const Waiter waiter{.peer = std::string(from), .exchange = message.exchange, .wait = message.wait};
    if (message.cancel) {
        cancelRequest(scheduler, message.operatorName, message.id, waiter, now, actions);
        return;
    }
    queryRequest(scheduler, message.operatorName, message.id, waiter, now, actions);
}

void onLookup(
    Scheduler &scheduler, std::string_view from, const LookupMessage &message, const Now &now, Actions &actions)
{
    if (lookUpJob(scheduler, from, message, now, actions)) {
        return;
    }
    LookupReplyMessage reply{.exchange = message.exchange, .key = message.key};
    reply.status = lookUp(scheduler, message.key, from, now, reply.answer);
    reply.heldWorkers = heldWorkers(scheduler, now);
    reply.unlisted = !scheduler.unlisted.leftAt.empty();
    actions.push_back(SendToPeer{.peer = std::string(from), .message = std::move(reply)});
}

void onLookupReply(
    Scheduler &scheduler, std::string_view from, const LookupReplyMessage &message, const Now &now, Actions &actions)
{
    noteAuditReply(scheduler, from, message, now);
    if (onJobLookupReply(scheduler, from, message, now)) {
        return;
    }
    const auto found = scheduler.requests.entries.find(message.key);
    if (found == scheduler.requests.entries.end() || found->second.phase != RequestPhase::LookingUp) {
        return;
    }
    if (message.status == LookupStatus::Known) {
        followPeer(scheduler, message.key, from, now, actions);
        return;
    }
    const auto peer = scheduler.membership.peers.find(from);
    const std::uint64_t incarnation = peer == scheduler.membership.peers.end() ? 0 : peer->second.info.incarnation;
    if (found->second.lookupExchange != 0 && message.exchange < found->second.lookupExchange) {
        return;
    }
    noteLookupReply(found->second, message, from, incarnation);
    advanceRequest(scheduler, message.key, now, actions);
}

bool onRequestUpdate(Scheduler &scheduler, const TaskUpdateMessage &update, const Now &now, Actions &actions)
{
    const RequestKey key = update.task.job;
    const auto found = scheduler.requests.entries.find(key);
    if (found == scheduler.requests.entries.end()) {
        const bool ends = update.progress == TaskProgress::Done || update.progress == TaskProgress::Failed
            || update.progress == TaskProgress::Stopped;
        if (!ends || update.task.index != 0) {
            return false;
        }
        // The request's home has failed; this daemon is the home now and completes the intent that it recorded.
        const Answer answer{.outcome = update.progress == TaskProgress::Done ? Outcome::Done : Outcome::Failed,
            .reason = update.detail,
            .result = update.result,
            .digest = digestOf(update.result),
            .worker = update.worker};
        addJournalWrite(scheduler.journal,
            {.key = key,
                .kind = JournalWriteKind::AdoptedOutcome,
                .entry = makeOutcome(scheduler.journal.options, {}, answer),
                .due = now.monotonic});
        pumpRequestJournal(scheduler, key, now, actions);
        return true;
    }
    const bool ended = found->second.phase == RequestPhase::Ended;
    const bool taken = updateRequest(scheduler.requests, update, now, actions);
    if (!ended) {
        saveOutcome(scheduler, key, now);
    }
    const auto entry = scheduler.requests.entries.find(key);
    if (entry != scheduler.requests.entries.end() && entry->second.cancelRequested
        && update.progress == TaskProgress::Running) {
        stopTask(scheduler, update.task, now, actions);
    }
    return taken;
}

void onJournalStoreReply(Scheduler &scheduler, const StoreReply &reply, const Now &now, Actions &actions)
{
    JournalNotices notices;
    const auto partition = onJournalReply(scheduler.journal, reply, now, notices, actions);
    onJournalNotices(scheduler, notices, now, actions);
    advanceUndecided(scheduler, partition, now, actions);
}

void onSessionsStoreReply(Scheduler &scheduler, const StoreReply &reply, const Now &now, Actions &actions)
{
    onSessionsReply(scheduler.sessions, reply, now, actions);
    advanceUndecided(scheduler, std::nullopt, now, actions);
}

void tickRequests(Scheduler &scheduler, const Now &now, Actions &actions)
{
    tickSessions(scheduler.sessions, now, actions);
    JournalNotices notices;
    tickJournal(scheduler.journal, now, notices, actions);
    onJournalNotices(scheduler, notices, now, actions);
    advanceUndecided(scheduler, std::nullopt, now, actions);
    restartRequests(scheduler, now, actions);
    for (ForwardEntry &entry : takeOverdue(scheduler.forwards, now, isPeerAlive, &scheduler.membership)) {
        retryForward(scheduler, std::move(entry), now, actions);
    }
    evictRequests(scheduler.requests, now);
}

bool drainRequests(Scheduler &scheduler, const Now &now, Actions &actions)
{
    if (!isIdle(scheduler.requests) || !scheduler.forwards.entries.empty()) {
        scheduler.requestDrain.idleSince = MonotonicTime::max();
        return false;
    }
    if (scheduler.requestDrain.idleSince == MonotonicTime::max()) {
        scheduler.requestDrain.idleSince = now.monotonic;
    }
    const bool givenUp = now.monotonic - scheduler.requestDrain.idleSince >= scheduler.requestDrain.flushLimit;
    for (JournalPartition &partition : scheduler.journal.partitions) {
        for (JournalWrite &write : partition.pending) {
            write.due = std::min(write.due, now.monotonic);
        }
    }
    if (!isFlushed(scheduler.journal)) {
        return givenUp;
    }
    scheduler.sessions.closing = true;
    tickSessions(scheduler.sessions, now, actions);
    return isClosed(scheduler.sessions) || givenUp;
}

} // namespace wigeonkeel
