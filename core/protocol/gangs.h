#pragma once

#include "core/cell/cell_state.h"
#include "core/clock.h"
#include "core/peer_messages.h"
#include "core/routing/random.h"
#include "core/task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wigeonkeel
{

struct GangOptions
{
    /// How long an owner keeps a reservation without a commit.
    milliseconds hold{2000};
    /// Attempts of one start before the home is told that the gang is refused.
    std::uint32_t maxAttempts = 6;
    /// How long the ends of reservations are kept, so that late and repeated messages are answered the same.
    milliseconds answerMemory{120000};
};

enum class GangPhase : std::uint8_t {
    /// Asks one owner after the other. Nothing was started.
    Reserving,
    /// Holds nothing; the next attempt starts after a back-off.
    Waiting,
    /// Every task has a place; the owners are told to start.
    Committing,
    /// Some owner did not start its tasks; waits until those that started elsewhere have ended.
    Undoing,
};

enum class ParticipantPhase : std::uint8_t { Asked, Held, Committed, Started, NotStarted, Lost };

/// An owner that takes part in an attempt.
struct GangParticipant
{
    std::string daemon;
    /// The reservation of another incarnation is gone.
    std::uint64_t incarnation = 0;
    ParticipantPhase phase = ParticipantPhase::Asked;
    /// Indices of the tasks that it holds room for.
    std::vector<std::uint32_t> tasks;
    MonotonicTime nextSend{};
};

/// A task that may run although its gang was not started as a whole.
struct UndoTask
{
    /// Daemon that last said that it has the task.
    std::string owner;
    MonotonicTime seenAt{};
    /// Since when every worker has an owner again; the epoch while that is not so.
    MonotonicTime ownedSince{};
};

struct GangOwner
{
    std::string daemon;
    std::uint64_t incarnation = 0;
};

/// A gang that this daemon is starting.
struct Gang
{
    std::vector<TaskSpec> tasks;
    GangPhase phase = GangPhase::Reserving;
    bool cancelled = false;
    std::uint32_t attempts = 0;
    /// Number of the attempt, in all its messages.
    std::uint64_t exchange = 0;
    /// Owners not asked yet, the next one last.
    std::vector<GangOwner> owners;
    std::vector<GangParticipant> participants;
    /// Tasks without a place in this attempt.
    std::vector<std::uint32_t> open;
    /// Tasks whose end the home was told during this attempt.
    std::vector<std::uint32_t> ended;
    std::map<std::uint32_t, UndoTask> undo;
    MonotonicTime firstReserve{};
    MonotonicTime committedAt{};
    MonotonicTime retryAt{};
    MonotonicTime nextStop{};
    std::string reason;
};

enum class GangStepKind : std::uint8_t { Reserve, Commit, Abort };

/// A message to an owner, which may be this daemon itself.
struct GangStep
{
    GangStepKind kind = GangStepKind::Reserve;
    std::string daemon;
    std::vector<std::uint32_t> tasks;
};

using GangSteps = std::vector<GangStep>;

enum class ReservationState : std::uint8_t { Held, Started, Ended };

/// What an owner keeps for one attempt of a gang.
struct Reservation
{
    RequestKey gang;
    ReservationState state = ReservationState::Held;
    /// Tasks that room is held for.
    std::vector<TaskSpec> tasks;
    /// Answer to the Reserve, repeated unchanged.
    std::vector<std::uint32_t> held;
    MonotonicTime expiresAt{};
    MonotonicTime endedAt{};
};

/// Coordinator and number of the attempt.
using ReservationId = std::pair<std::string, std::uint64_t>;

struct GangTable
{
    GangOptions options;
    std::map<RequestKey, Gang> gangs;
    std::map<ReservationId, Reservation> reservations;
    std::uint64_t nextExchange = 1;
};

/// Time after which a message is taken for lost. A part of the hold, so that several fit into it.
milliseconds gangReplyTimeout(const GangOptions &options);

/// Begins an attempt on owners, which must be in the order of their names.
void beginAttempt(Gang &gang, std::span<const GangOwner> owners, std::uint64_t exchange, const Now &now,
    const GangOptions &options, RandomState &random, GangSteps &steps);

/// An owner answered a Reserve.
void onReserveAnswer(Gang &gang, std::string_view daemon, std::span<const std::uint32_t> held, const Now &now,
    const GangOptions &options, RandomState &random, GangSteps &steps);

/// An owner answered a Commit.
void onCommitAnswer(Gang &gang, std::string_view daemon, bool started, const Now &now);

/// The owner is dead or was restarted.
void onParticipantLost(Gang &gang, GangParticipant &participant, const Now &now, const GangOptions &options,
    RandomState &random, GangSteps &steps);

/// Repeats and gives up what was not answered in time.
void tickGang(Gang &gang, const Now &now, const GangOptions &options, RandomState &random, GangSteps &steps);

/// Gives the attempt up: reservations are aborted, started tasks are to be stopped.
void giveUpGang(Gang &gang, std::string_view reason, const Now &now, GangSteps &steps);

/// An owner told the home about a task of the gang.
void noteTaskUpdate(Gang &gang, std::string_view owner, const TaskUpdateMessage &update, const Now &now);

/// True when every owner has started its tasks.
bool isStarted(const Gang &gang);

/// True when nothing of the gang runs or is held and no attempt is left: the home must be told that it is refused.
bool isRefused(const Gang &gang, const GangOptions &options);

/// Drops the room that is still only reserved and keeps the end of the reservation for repeated messages.
void endReservation(CellState &cell, Reservation &reservation, const Now &now);

/// True if all tasks of a reservation still have their room.
bool isIntact(const CellState &cell, const Reservation &reservation);

/// Ends reservations that were not committed in time and forgets old ones. Returns how many expired.
std::size_t expireReservations(GangTable &table, CellState &cell, const Now &now);

/// Ends reservations that lost the room of at least one task, with the worker that it was on.
void dropBrokenReservations(GangTable &table, CellState &cell, const Now &now);

/// Reservations that may still be committed.
std::size_t heldReservations(const GangTable &table);

} // namespace wigeonkeel
