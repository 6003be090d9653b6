#pragma once

#include "core/dispatch/placement/step_order.h"
#include "core/dispatch/task_runs.h"

#include <span>

namespace wigeonkeel::dispatch
{

/// How long places stay reserved beyond the expected time of stops and advice.
inline constexpr milliseconds planSlack{400};

/// Adds places to the step's plan and reserves their room until the given time.
void reserve(Dispatcher &dispatcher, const ReadyStep &ready, std::span<const PlannedPlace> plan, MonotonicTime until);

TaskPlace placeOf(const ReadyStep &ready, std::uint32_t index);

/// Whether the room of the place is free for all of the plan's tasks on its worker.
bool isPlannedRoomFree(const Dispatcher &dispatcher, const ReadyStep &ready, const PlannedPlace &planned);

/// Whether the plan has not expired and its workers can still take its tasks.
bool isPlanValid(const Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

/// Renews the tickets of the planned workers; true if all of them are valid at the time of use. Tickets that would
/// expire before the reply arrives are renewed too. Otherwise a gang's tickets could expire one after the other and
/// never be valid together.
bool renewPlannedTickets(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now, MonotonicTime usedAt);

/// Starts all planned tasks at once.
void startPlan(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

/// Starts the planned tasks whose reserved room has become free. Drops the plan if it is no longer valid.
void continuePlan(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

} // namespace wigeonkeel::dispatch
