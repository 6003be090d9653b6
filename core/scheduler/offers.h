#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/peer_messages.h"
#include "core/routing/route.h"
#include "core/task.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wigeonkeel
{

struct Scheduler;

enum class OfferPhase : std::uint8_t {
    /// Sent and not answered; the peer may start the task.
    Sent,
    /// The peer or a later owner of its worker has the task.
    Accepted,
    /// The peer is dead or was restarted; waits until its workers are surely owned again.
    PeerLost,
};

/// A task of this home that was offered to a peer, until its end is known.
struct OutgoingOffer
{
    TaskSpec task;
    OfferPhase phase = OfferPhase::Sent;
    bool accepted = false;
    std::string peer;
    /// The worker that the task was lost with; empty if it isn't known.
    std::string lostWorker;
    /// The answer of another incarnation says nothing about this offer.
    std::uint64_t incarnation = 0;
    std::uint64_t exchange = 0;
    MonotonicTime sentAt{};
    MonotonicTime nextSend{};
    MonotonicTime lostAt{};
    /// Since when every worker has an owner again; the epoch while that is not so.
    MonotonicTime ownedSince{};
    std::uint32_t repetitions = 0;
    /// Peers that have refused the task.
    std::vector<std::string> refusedBy;
};

/// An answer that was given to a peer, so that a repeated offer is answered the same.
struct GivenAnswer
{
    OfferReplyMessage reply;
    MonotonicTime at{};
};

/// When a task that every peer refused may be offered again.
struct OfferPause
{
    std::uint32_t attempts = 0;
    MonotonicTime until{};
};

struct OfferOptions
{
    /// An offer without answer is sent again at this interval, and counts as a failure of the peer.
    milliseconds repeatInterval{500};
    /// How long given answers are kept. Far longer than a connection can hold a message back: silent ones are closed.
    milliseconds answerMemory{120000};
    /// Offers without answer at the same time.
    std::size_t maxUnanswered = 512;
};

struct OfferTable
{
    OfferOptions options;
    std::map<TaskId, OutgoingOffer> outgoing;
    std::size_t unanswered = 0;
    std::map<std::pair<std::string, std::uint64_t>, GivenAnswer> given;
    std::map<TaskId, OfferPause> pauses;
    std::map<std::string, Route, std::less<>> routes;
    /// Until then, tasks of at least this size find no peer. Spares the search for each task of a long queue.
    MonotonicTime noRoomUntil{};
    Resources noRoomSize;
    MonotonicTime nextCleaning{};
};

/// Offers a task that finds no room here to a peer with room. True if an offer is under way: the task then leaves the
/// queue and comes back with enqueueTask() when every peer that was tried has refused it.
bool offerTask(Scheduler &scheduler, const TaskSpec &task, const Now &now, Actions &actions);

/// A peer offers a task: starts it here or refuses it at once. It is never queued here.
void onOffer(
    Scheduler &scheduler, std::string_view from, const OfferMessage &message, const Now &now, Actions &actions);

void onOfferReply(
    Scheduler &scheduler, std::string_view from, const OfferReplyMessage &message, const Now &now, Actions &actions);

/// Takes note of what an owner says about an offered task.
void noteOfferUpdate(Scheduler &scheduler, std::string_view from, const TaskUpdateMessage &update);

/// This daemon no longer holds the worker of a request's task. Its home settles it like an offer to a lost peer: a new
/// owner reports the task, or all workers are owned again without it.
void onRequestTaskLost(
    Scheduler &scheduler, const TaskSpec &task, std::string_view worker, const Now &now, Actions &actions);

/// An owner tells this home that it lost a task. The home acknowledges it and settles the offer. False if the task was
/// not offered by this home.
bool onOfferedTaskLost(
    Scheduler &scheduler, std::string_view from, const TaskUpdateMessage &update, const Now &now, Actions &actions);

/// The peer's incarnation that got offers has ended, as far as known here.
void onOfferPeerLost(Scheduler &scheduler, std::string_view peer, const Now &now);

/// The peer is heard again. Offers to the same incarnation go on.
void onOfferPeerBack(Scheduler &scheduler, std::string_view peer, const Now &now);

enum class TakeoverState : std::uint8_t {
    Waiting,
    /// Every worker has an owner that would have reported the task.
    TakenOver,
    /// Workers are still without an owner, and the task's own lease has ended unless the lost daemon lives on where it
    /// can't be heard from here and renews it.
    TimedOut,
};

/// What is known about tasks that were handed to a daemon which was lost at `lostAt`. `lastWorker` is empty
/// if the task's worker is not known. `ownedSince` is kept by the
/// caller from one question to the next.
TakeoverState examineTakeover(const Scheduler &scheduler, MonotonicTime lostAt, std::string_view lastWorker,
    MonotonicTime &ownedSince, TaskKind kind, const Now &now);

/// Repeats offers without answer and settles those of lost peers. An offer that was sent is not offered elsewhere
/// before its peer has refused it or is lost and all workers are owned again: a start may be under way.
void tickOffers(Scheduler &scheduler, const Now &now, Actions &actions);

} // namespace wigeonkeel
