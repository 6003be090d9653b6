#include "core/scheduler/offers.h"

#include "core/routing/peer_choice.h"
#include "core/scheduler/scheduler.h"
#include "core/scheduler/task_updates.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "offers";
constexpr BackoffOptions repeatBackoff = {};
constexpr milliseconds cleaningInterval{5000};
/// Heartbeats with new figures of free capacity come at longer intervals.
constexpr milliseconds noRoomMemory{100};
/// Sent in place of a remaining time that has passed.
constexpr milliseconds startPassed{-1};

milliseconds remainingTime(const TaskSpec &task, const Now &now)
{
    if (task.startBefore == MonotonicTime::max()) {
        return milliseconds(0);
    }
    const auto rest = std::chrono::duration_cast<milliseconds>(task.startBefore - now.monotonic);
    return rest.count() > 0 ? rest : startPassed;
}

bool isEnd(TaskProgress progress)
{
    return progress != TaskProgress::Sent && progress != TaskProgress::Running;
}

/// Peers that a task can be offered to now.
std::vector<PeerCandidate> candidatesFor(Scheduler &scheduler, std::span<const std::string> refusedBy, const Now &now)
{
    const MembershipTable &membership = scheduler.membership;
    std::vector<PeerCandidate> candidates;
    for (const auto &[name, peer] : membership.peers) {
        const bool usable = peer.liveness == PeerLiveness::Alive && peer.linkUp && !peer.heartbeat.draining;
        if (!usable || std::ranges::find(refusedBy, name) != refusedBy.end()) {
            continue;
        }
        const Route &route = scheduler.offers.routes[name];
        if (allowsAttempt(route.breaker, now.monotonic)) {
            candidates.push_back({.name = name,
                .sameZone = peer.info.zone == membership.options.self.zone,
                .capacity = peer.heartbeat.capacity,
                .free = peer.heartbeat.free,
                .latency = route.latency});
        }
    }
    return candidates;
}

void sendOffer(OutgoingOffer &offer, const Now &now, Actions &actions)
{
    actions.push_back(SendToPeer{.peer = offer.peer,
        .message
        = OfferMessage{.exchange = offer.exchange, .task = offer.task, .startWithin = remainingTime(offer.task, now)}});
}

/// Sends the offer to the better of two sampled peers. False if there is none.
bool sendToNextPeer(Scheduler &scheduler, OutgoingOffer &offer, const Now &now, Actions &actions)
{
    const std::vector<PeerCandidate> candidates = candidatesFor(scheduler, offer.refusedBy, now);
    const auto chosen = choosePeer(candidates, offer.task.size, scheduler.random);
    if (!chosen) {
        if (offer.refusedBy.empty()) {
            scheduler.offers.noRoomUntil = now.monotonic + noRoomMemory;
            scheduler.offers.noRoomSize = offer.task.size;
        }
        return false;
    }
    const std::string peer(candidates[*chosen].name);
    Route &route = scheduler.offers.routes[peer];
    if (offer.refusedBy.empty()) {
        noteFirstAttempt(route.budget);
    } else if (!takeRetry(route.budget)) {
        return false;
    }
    noteAttempt(route.breaker, now.monotonic);
    PeerState &state = scheduler.membership.peers.find(peer)->second;
    // The next heartbeat brings the true figure; until then, further tasks should not all go to this peer.
    state.heartbeat.free -= offer.task.size;
    offer.phase = OfferPhase::Sent;
    offer.peer = peer;
    offer.incarnation = state.info.incarnation;
    offer.exchange = scheduler.nextExchange++;
    offer.sentAt = now.monotonic;
    offer.nextSend = now.monotonic + scheduler.offers.options.repeatInterval;
    offer.repetitions = 0;
    ++scheduler.counters.offersSent;
    sendOffer(offer, now, actions);
    return true;
}

void pauseOffers(Scheduler &scheduler, const TaskId &task, const Now &now)
{
    OfferPause &pause = scheduler.offers.pauses[task];
    pause.until = now.monotonic + backoffDelay(repeatBackoff, pause.attempts, scheduler.random);
    ++pause.attempts;
}

void tellLost(Scheduler &scheduler, const OutgoingOffer &offer, TaskProgress progress, const Now &now, Actions &actions)
{
    ++scheduler.counters.offersLost;
    actions.push_back(LogAction{.level = LogLevel::Warning,
        .part = logPart,
        .text = fmt::format("task {} that was offered to daemon {} is lost", toString(offer.task.id), offer.peer)});
    const TaskUpdateMessage update{.task = offer.task.id,
        .home = offer.task.label.home,
        .progress = progress,
        .detail = fmt::format("daemon {} ended and no owner reports the task", offer.peer),
        .startCount = offer.task.startCount};
    deliverUpdates(scheduler, {&update, 1}, now, actions);
}

void reply(Scheduler &scheduler, std::string_view from, OfferReplyMessage message, const Now &now, Actions &actions)
{
    if (message.status == OfferStatus::Accepted) {
        ++scheduler.counters.offersTaken;
    } else {
        ++scheduler.counters.offersTurnedDown;
    }
    scheduler.offers.given.insert_or_assign(
        std::pair(std::string(from), message.exchange), GivenAnswer{.reply = message, .at = now.monotonic});
    actions.push_back(SendToPeer{.peer = std::string(from), .message = std::move(message)});
}

std::string workerOf(const CellState &cell, const TaskId &task)
{
    const auto found = cell.tasks.find(task);
    return found == cell.tasks.end() ? std::string() : cell.workers[found->second.worker].name;
}

/// Why an offer can't be taken, or nothing.
std::string_view refusalReason(const Scheduler &scheduler, std::string_view from, const OfferMessage &message)
{
    if (message.startWithin < milliseconds(0)) {
        return "the start deadline has passed";
    }
    if (scheduler.draining) {
        return "the daemon is draining";
    }
    const TaskLabel &label = message.task.label;
    // Its home was not asked when another daemon looked for the request.
    if (label.kind == TaskKind::Request && label.idempotent
        && isDenied(scheduler.requests, message.task.id.job, from)) {
        return "another daemon was told that the request is not known here";
    }
    return {};
}

/// True when every worker that is listed is owned by a live daemon, by heartbeats that were made after the former
/// owner's leases had ended. Then each task of a lost daemon was found by its new owner or is not there.
bool allWorkersOwned(const Scheduler &scheduler, MonotonicTime since)
{
    std::size_t owned = ownedCount(scheduler.ownership);
    for (const auto &[name, peer] : scheduler.membership.peers) {
        if (peer.liveness == PeerLiveness::Dead) {
            continue;
        }
        if (peer.lastHeard < since) {
            return false;
        }
        owned += peer.heartbeat.ownedWorkers;
    }
    return owned >= scheduler.ownership.workers.size();
}

/// True if the offer is settled and can be removed.
bool settleLost(Scheduler &scheduler, OutgoingOffer &offer, const Now &now, Actions &actions)
{
    if (scheduler.cell.tasks.contains(offer.task.id)) {
        // This daemon owns the worker now; the cell tells the home what becomes of the task.
        return true;
    }
    const TakeoverState state
        = examineTakeover(scheduler, offer.lostAt, offer.lostWorker, offer.ownedSince, offer.task.label.kind, now);
    if (state == TakeoverState::Waiting) {
        return false;
    }
    if (state == TakeoverState::TimedOut && offer.task.label.kind == TaskKind::Request) {
        // A request must not run in two places at once, so it is not started again.
        tellLost(scheduler, offer, TaskProgress::Unresolved, now, actions);
        return true;
    }
    if (!offer.accepted && offer.task.label.idempotent) {
        enqueueTask(scheduler, offer.task, now, actions);
        return true;
    }
    tellLost(scheduler, offer, TaskProgress::Lost, now, actions);
    return true;
}

void repeatOffer(Scheduler &scheduler, OutgoingOffer &offer, const Now &now, Actions &actions)
{
    const auto peer = scheduler.membership.peers.find(offer.peer);
    if (now.monotonic < offer.nextSend || peer == scheduler.membership.peers.end() || !peer->second.linkUp) {
        return;
    }
    noteFailure(scheduler.offers.routes[offer.peer].breaker, now.monotonic, scheduler.random);
    ++offer.repetitions;
    const auto jitter = backoffDelay(repeatBackoff, offer.repetitions, scheduler.random);
    offer.nextSend = now.monotonic + scheduler.offers.options.repeatInterval + jitter;
    ++scheduler.counters.offersRepeated;
    sendOffer(offer, now, actions);
}

void cleanUp(Scheduler &scheduler, const Now &now)
{
    OfferTable &offers = scheduler.offers;
    if (now.monotonic < offers.nextCleaning) {
        return;
    }
    offers.nextCleaning = now.monotonic + cleaningInterval;
    std::erase_if(
        offers.given, [&](const auto &item) { return now.monotonic - item.second.at > offers.options.answerMemory; });
    std::erase_if(
        offers.pauses, [&](const auto &item) { return now.monotonic - item.second.until > cleaningInterval; });
    std::erase_if(offers.routes, [&](const auto &item) { return !scheduler.membership.peers.contains(item.first); });
}

} // namespace

TakeoverState examineTakeover(const Scheduler &scheduler, MonotonicTime lostAt, std::string_view lastWorker,
    MonotonicTime &ownedSince, TaskKind kind, const Now &now)
{
    const OwnershipOptions &ownership = scheduler.ownership.options;
    const auto leasesEnded = lostAt + ownership.lease + ownership.lease / 100 + ownership.heartbeat;
    if (now.monotonic < leasesEnded) {
        return TakeoverState::Waiting;
    }
    // A new owner tells the home of the tasks that it found; the update may have to be repeated.
    const auto updateTime = scheduler.taskUpdates.resendInterval * 2;
    // A worker that is not listed may still run the task.
    const bool unlisted = !lastWorker.empty() && !scheduler.ownership.workers.contains(lastWorker);
    if (unlisted || !allWorkersOwned(scheduler, leasesEnded)) {
        ownedSince = {};
    } else if (ownedSince == MonotonicTime{}) {
        ownedSince = now.monotonic;
    }
    if (ownedSince != MonotonicTime{} && now.monotonic - ownedSince >= updateTime) {
        return TakeoverState::TakenOver;
    }
    const auto taskLease = kind == TaskKind::Request ? ownership.requestLease : ownership.taskLease;
    const bool timedOut = now.monotonic >= leasesEnded + taskLease + taskLease / 100 + updateTime;
    return timedOut ? TakeoverState::TimedOut : TakeoverState::Waiting;
}

bool offerTask(Scheduler &scheduler, const TaskSpec &task, const Now &now, Actions &actions)
{
    OfferTable &offers = scheduler.offers;
    const auto pause = offers.pauses.find(task.id);
    const bool pausing = pause != offers.pauses.end() && now.monotonic < pause->second.until;
    const bool noRoom = now.monotonic < offers.noRoomUntil && fits(offers.noRoomSize, task.size);
    if (pausing || noRoom || offers.unanswered >= offers.options.maxUnanswered || offers.outgoing.contains(task.id)) {
        return false;
    }
    OutgoingOffer offer{.task = task};
    // Updates about the tasks of jobs go to the home of the partition, which can change.
    if (offer.task.label.home.empty() && offer.task.label.kind == TaskKind::Request) {
        // The owner tells this daemon, whatever it thinks of the partition's home.
        offer.task.label.home = scheduler.membership.options.self.name;
    }
    if (!sendToNextPeer(scheduler, offer, now, actions)) {
        return false;
    }
    ++offers.unanswered;
    offers.outgoing.emplace(task.id, std::move(offer));
    return true;
}

void onOffer(Scheduler &scheduler, std::string_view from, const OfferMessage &message, const Now &now, Actions &actions)
{
    const auto given = scheduler.offers.given.find(std::pair(std::string(from), message.exchange));
    if (given != scheduler.offers.given.end()) {
        actions.push_back(SendToPeer{.peer = std::string(from), .message = given->second.reply});
        return;
    }
    OfferReplyMessage answer{.exchange = message.exchange, .task = message.task.id};
    if (scheduler.cell.tasks.contains(message.task.id)) {
        // Present from an earlier offer or found on a worker that was taken over.
        answer.status = OfferStatus::Accepted;
        answer.worker = workerOf(scheduler.cell, message.task.id);
        reply(scheduler, from, std::move(answer), now, actions);
        return;
    }
    answer.reason = refusalReason(scheduler, from, message);
    if (answer.reason.empty()) {
        TaskSpec task = message.task;
        task.startBefore = message.startWithin.count() > 0 ? now.monotonic + message.startWithin : MonotonicTime::max();
        if (placeTask(scheduler, task, now, actions)) {
            answer.status = OfferStatus::Accepted;
            answer.worker = workerOf(scheduler.cell, message.task.id);
        } else {
            answer.reason = "no room";
        }
    }
    reply(scheduler, from, std::move(answer), now, actions);
}

void onOfferReply(
    Scheduler &scheduler, std::string_view from, const OfferReplyMessage &message, const Now &now, Actions &actions)
{
    OfferTable &offers = scheduler.offers;
    const auto found = offers.outgoing.find(message.task);
    if (found == offers.outgoing.end() || found->second.exchange != message.exchange || found->second.peer != from) {
        return;
    }
    OutgoingOffer &offer = found->second;
    Route &route = offers.routes[offer.peer];
    noteSuccess(route.breaker);
    if (offer.repetitions == 0) {
        noteLatency(route.latency, std::chrono::duration_cast<std::chrono::microseconds>(now.monotonic - offer.sentAt));
    }
    if (offer.phase != OfferPhase::Sent) {
        // Answered before, or an update of the owner came first.
        return;
    }
    if (message.status == OfferStatus::Accepted) {
        --offers.unanswered;
        ++scheduler.counters.offersAccepted;
        offer.phase = OfferPhase::Accepted;
        offer.accepted = true;
        offers.pauses.erase(message.task);
        return;
    }
    ++scheduler.counters.offersRefused;
    offer.refusedBy.push_back(offer.peer);
    const bool inTime = now.monotonic < offer.task.startBefore;
    if (inTime && sendToNextPeer(scheduler, offer, now, actions)) {
        return;
    }
    --offers.unanswered;
    const TaskSpec task = std::move(offer.task);
    offers.outgoing.erase(found);
    pauseOffers(scheduler, task.id, now);
    enqueueTask(scheduler, task, now, actions);
}

void noteOfferUpdate(Scheduler &scheduler, std::string_view from, const TaskUpdateMessage &update)
{
    OfferTable &offers = scheduler.offers;
    const auto found = offers.outgoing.find(update.task);
    if (found == offers.outgoing.end()) {
        return;
    }
    OutgoingOffer &offer = found->second;
    const bool wasUnanswered = offer.phase == OfferPhase::Sent;
    offers.unanswered -= wasUnanswered ? 1 : 0;
    if (isEnd(update.progress)) {
        offers.outgoing.erase(found);
        return;
    }
    const auto peer = scheduler.membership.peers.find(from);
    if (wasUnanswered) {
        ++scheduler.counters.offersAccepted;
    }
    offer.phase = OfferPhase::Accepted;
    offer.accepted = true;
    offer.peer = std::string(from);
    offer.incarnation = peer == scheduler.membership.peers.end() ? 0 : peer->second.info.incarnation;
}

void onRequestTaskLost(
    Scheduler &scheduler, const TaskSpec &task, std::string_view worker, const Now &now, Actions &actions)
{
    const TaskUpdateMessage update{.task = task.id,
        .home = task.label.home,
        .progress = TaskProgress::Lost,
        .worker = std::string(worker),
        .detail = "the worker is no longer held",
        .startCount = task.startCount};
    const std::string &self = scheduler.membership.options.self.name;
    if (homeOfTask(scheduler, update) != self) {
        deliverUpdates(scheduler, {&update, 1}, now, actions);
        return;
    }
    const auto present = scheduler.offers.outgoing.find(task.id);
    if (present != scheduler.offers.outgoing.end()) {
        scheduler.offers.unanswered -= present->second.phase == OfferPhase::Sent ? 1 : 0;
    }
    scheduler.offers.outgoing.insert_or_assign(task.id,
        OutgoingOffer{.task = task,
            .phase = OfferPhase::PeerLost,
            .accepted = true,
            .peer = self,
            .lostWorker = std::string(worker),
            .lostAt = now.monotonic});
}

bool onOfferedTaskLost(
    Scheduler &scheduler, std::string_view from, const TaskUpdateMessage &update, const Now &now, Actions &actions)
{
    const auto found = scheduler.offers.outgoing.find(update.task);
    if (found == scheduler.offers.outgoing.end()) {
        // A former owner was paused and reports late that it lost a worker which this home holds now, with the task on
        // it.
        const bool heldHere = update.startCount == 0 && scheduler.cell.tasks.contains(update.task);
        if (heldHere) {
            actions.push_back(SendToPeer{.peer = std::string(from),
                .message = TaskUpdateAckMessage{.task = update.task, .progress = update.progress}});
        }
        return heldHere;
    }
    OutgoingOffer &offer = found->second;
    // A later owner or a later start of the task is not affected by what this owner lost.
    // An owner that found the task on a worker does not know the count and sends 0.
    const bool sameStart = update.startCount == 0 || offer.task.startCount == update.startCount;
    const bool current = offer.peer == from && sameStart;
    if (current && offer.phase != OfferPhase::PeerLost) {
        scheduler.offers.unanswered -= offer.phase == OfferPhase::Sent ? 1 : 0;
        offer.phase = OfferPhase::PeerLost;
        offer.accepted = true;
        offer.lostWorker = update.worker;
        offer.lostAt = now.monotonic;
        offer.ownedSince = {};
    }
    actions.push_back(SendToPeer{
        .peer = std::string(from), .message = TaskUpdateAckMessage{.task = update.task, .progress = update.progress}});
    return true;
}

void onOfferPeerLost(Scheduler &scheduler, std::string_view peer, const Now &now)
{
    for (auto &[id, offer] : scheduler.offers.outgoing) {
        if (offer.peer != peer || offer.phase == OfferPhase::PeerLost) {
            continue;
        }
        scheduler.offers.unanswered -= offer.phase == OfferPhase::Sent ? 1 : 0;
        offer.phase = OfferPhase::PeerLost;
        offer.lostAt = now.monotonic;
    }
}

void onOfferPeerBack(Scheduler &scheduler, std::string_view peer, const Now &now)
{
    const auto found = scheduler.membership.peers.find(peer);
    if (found == scheduler.membership.peers.end()) {
        return;
    }
    for (auto &[id, offer] : scheduler.offers.outgoing) {
        const bool same = offer.peer == peer && offer.incarnation == found->second.info.incarnation;
        if (!same || offer.phase != OfferPhase::PeerLost) {
            continue;
        }
        offer.phase = offer.accepted ? OfferPhase::Accepted : OfferPhase::Sent;
        offer.nextSend = now.monotonic;
        offer.ownedSince = {};
        scheduler.offers.unanswered += offer.accepted ? 0 : 1;
    }
}

void tickOffers(Scheduler &scheduler, const Now &now, Actions &actions)
{
    std::map<TaskId, OutgoingOffer> settled;
    for (auto &[id, offer] : scheduler.offers.outgoing) {
        if (offer.phase == OfferPhase::Sent) {
            repeatOffer(scheduler, offer, now, actions);
        } else if (offer.phase == OfferPhase::PeerLost) {
            settled.emplace(id, offer);
        }
    }
    // Settling can queue and offer tasks, so it must not happen while the table is walked through.
    for (auto &[id, offer] : settled) {
        scheduler.offers.outgoing.erase(id);
        if (!settleLost(scheduler, offer, now, actions)) {
            scheduler.offers.outgoing.emplace(id, std::move(offer));
        }
    }
    cleanUp(scheduler, now);
}

} // namespace wigeonkeel
