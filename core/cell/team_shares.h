#pragma once

#include "core/cell/admission.h"
#include "core/clock.h"

namespace wigeonkeel
{

/// Starts of one kind by teams above their share that may pass a team below its share which found no room.
inline constexpr std::uint32_t maxPasses = 64;
/// After so many passes, teams above their share are held back, so that room can add up for the waiting task. The hold
/// is bounded because the daemon may own no worker where that task will ever find room.
inline constexpr milliseconds maxShareHold{10000};

/// Sets the weights that an operator's teams have from now on.
void setTeamWeights(AdmissionTable &table, const OperatorSettings &settings);

/// True if a team above its share may start a task of the kind although teams wait that found no room: none of them
/// was passed `passes` times.
bool mayPassWaiting(const AdmissionTable &table, const AdmissionTable::Key &team, TaskKind kind, std::uint32_t passes,
    MonotonicTime now);

/// A queued task of the team found no room.
void noteNoRoom(AdmissionTable &table, const TaskLabel &label, MonotonicTime now);

/// The team had a start, or its queued tasks wait for a limit: others no longer pass it.
void noteNotPassed(AdmissionTable &table, const TaskLabel &label);

/// A team above its share started a task of the kind.
void notePasses(AdmissionTable &table, const AdmissionTable::Key &team, TaskKind kind, MonotonicTime now);

} // namespace wigeonkeel
