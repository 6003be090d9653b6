#include "core/scheduler/request_audit.h"

#include "core/scheduler/request_events.h"
#include "core/scheduler/scheduler.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// True if the end of the request can only come from somewhere that this daemon does not know.
bool isUnaccounted(const Scheduler &scheduler, const RequestKey &key, const RequestEntry &entry, const Now &now)
{
    const bool begun = entry.phase == RequestPhase::Queued || entry.phase == RequestPhase::Starting
        || entry.phase == RequestPhase::Running;
    if (!begun || entry.adopted || now.monotonic - entry.phaseSince < scheduler.requestAudit.silence) {
        return false;
    }
    const TaskId task{.job = key, .index = 0};
    if (scheduler.cell.tasks.contains(task) || scheduler.pending.byId.contains(task)) {
        return false;
    }
    const auto offer = scheduler.offers.outgoing.find(task);
    return offer == scheduler.offers.outgoing.end() || offer->second.phase == OfferPhase::Accepted;
}

std::vector<RequestKey> findUnaccounted(const Scheduler &scheduler, const Now &now)
{
    std::vector<RequestKey> keys;
    for (const auto &[key, entry] : scheduler.requests.entries) {
        if (isUnaccounted(scheduler, key, entry, now)) {
            keys.push_back(key);
        }
    }
    std::ranges::sort(keys);
    return keys;
}

void ask(Scheduler &scheduler, const RequestKey &key, RequestAudit::Question &question, Actions &actions)
{
    const WallTime created = scheduler.requests.entries.at(key).submission.created;
    for (const std::string &peer : question.waiting) {
        actions.push_back(SendToPeer{.peer = peer,
            .message = LookupMessage{.exchange = scheduler.nextExchange++, .key = key, .created = created}});
    }
}

void conclude(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    const TaskId task{.job = key, .index = 0};
    scheduler.offers.outgoing.erase(task);
    const TaskUpdateMessage update{.task = task,
        .home = scheduler.membership.options.self.name,
        .progress = TaskProgress::Unresolved,
        .detail = "no owner reports the task and its end was not heard",
        .startCount = 0};
    onRequestUpdate(scheduler, update, now, actions);
}

} // namespace

void tickRequestAudit(Scheduler &scheduler, const Now &now, Actions &actions)
{
    RequestAudit &audit = scheduler.requestAudit;
    if (now.monotonic < audit.nextRound) {
        return;
    }
    audit.nextRound = now.monotonic + audit.interval;
    const std::vector<RequestKey> keys = findUnaccounted(scheduler, now);
    std::erase_if(audit.questions, [&keys](const auto &item) { return !std::ranges::binary_search(keys, item.first); });
    for (const RequestKey &key : keys) {
        const auto [found, added] = audit.questions.try_emplace(key);
        RequestAudit::Question &question = found->second;
        if (added) {
            for (const auto &[name, peer] : scheduler.membership.peers) {
                if (peer.liveness != PeerLiveness::Dead) {
                    question.waiting.insert(name);
                }
            }
        }
        if (!question.waiting.empty()) {
            ask(scheduler, key, question, actions);
            continue;
        }
        const MonotonicTime since = scheduler.requests.entries.at(key).phaseSince;
        const TakeoverState state = examineTakeover(scheduler, since, {}, question.ownedSince, TaskKind::Request, now);
        if (state != TakeoverState::Waiting) {
            audit.questions.erase(found);
            conclude(scheduler, key, now, actions);
        }
    }
}

void noteAuditReply(Scheduler &scheduler, std::string_view from, const LookupReplyMessage &message, const Now &now)
{
    const auto found = scheduler.requestAudit.questions.find(message.key);
    if (found == scheduler.requestAudit.questions.end()) {
        return;
    }
    // A peer that was the home for a while may have ended its own copy; the task is not there either.
    const bool endedThere = message.status == LookupStatus::Known && message.answer.outcome != Outcome::Running;
    if (message.status == LookupStatus::NotKnown || endedThere) {
        const auto peer = found->second.waiting.find(from);
        if (peer != found->second.waiting.end()) {
            found->second.waiting.erase(peer);
        }
        return;
    }
    if (message.status == LookupStatus::OnWorker) {
        // It runs; its owner will report the end.
        scheduler.requestAudit.questions.erase(found);
        scheduler.requests.entries.at(message.key).phaseSince = now.monotonic;
    }
}

} // namespace wigeonkeel
