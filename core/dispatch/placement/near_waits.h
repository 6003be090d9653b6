#pragma once

#include "core/dispatch/placement/step_order.h"

#include <span>
#include <string_view>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Whether the step's tasks run longer on far places, it may wait in this pass, and at least the shortest wait pays.
bool canWaitForPlace(const Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

/// Expected times until places for the step's tasks are free on the workers of the rack, soonest first; 0 for places
/// that are free now. Places whose ticket expires before are left out.
/// @param room free room by worker, without what the pass has assigned
std::vector<milliseconds> nearPlaceTimes(Dispatcher &dispatcher, const ReadyStep &ready, std::string_view rack,
    std::span<const Resources> room, MonotonicTime now);

/// Number of tasks of steps before this one that wait for places on the rack.
std::size_t waitersBefore(const Dispatcher &dispatcher, std::string_view rack);

/// Whether it pays for a task, or a gang, of the step to wait for a place that is expected to be free after `freeIn`.
bool paysToWaitFor(const Dispatcher &dispatcher, const ReadyStep &ready, milliseconds freeIn, MonotonicTime now);

/// What one pass decided for a step that may wait for near places.
struct PlaceWaitResult
{
    /// Tasks that wait; 0 ends the wait.
    std::uint32_t waiting = 0;
    std::string_view rack;
    /// Expected time until the last of their places is free.
    milliseconds freeIn{0};
    /// Tasks got far places.
    bool gaveUp = false;
    /// Tasks found no place at all. They still wait for the near ones, as they have no choice.
    bool noRoom = false;
};

/// Counts the time that the step has waited, and notes since when the job has had nothing running. Called before the
/// decisions of each pass about the step.
void countPlaceWait(const Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

/// Records the beginning, the continuation or the end of a wait.
void updatePlaceWait(Dispatcher &dispatcher, const ReadyStep &ready, const PlaceWaitResult &result, MonotonicTime now);

/// Whether a sameRack gang that would now start on several racks waits for one of them instead.
bool waitsForRack(Dispatcher &dispatcher, const ReadyStep &ready, std::span<const Resources> room, MonotonicTime now);

} // namespace wigeonkeel::dispatch
