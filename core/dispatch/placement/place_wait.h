#pragma once

#include "core/clock.h"
#include "core/dispatch/job_spec.h"
#include "core/resources.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Longest total time that the tasks of one step wait for near places, and that a job with nothing running waits in
/// all.
inline constexpr milliseconds maxPlaceWait{1000};
/// A wait ends when the job has had nothing running for this long. The platform counts 3 s without a run as lost; the
/// remaining second is for the advice and the start that follow.
inline constexpr milliseconds maxIdleTime{2000};

/// Progress of a run as its worker reported it.
struct RunProgress
{
    milliseconds estimate{0};
    /// Completed share, 0 to 100; 0 until the first report.
    int percent = 0;
    /// Time since the start, and since the percentage was first seen.
    milliseconds startedAgo{0};
    milliseconds reportedAgo{0};
};

/// Expected time until the run ends: from its rate of progress, or from its estimate until it has made enough progress.
milliseconds expectedTimeLeft(const RunProgress &progress);

/// A run on a worker that is expected to end.
struct RunEnding
{
    milliseconds left{0};
    Resources size;
};

/// Expected times until places for tasks of this size are free on one worker with so much room now, soonest first; 0
/// for places that are free now. At most `limit` places.
std::vector<milliseconds> placeFreeTimes(
    const Resources &size, const Resources &room, std::span<const RunEnding> runs, std::uint32_t limit);

/// Expected time until one task of this size fits on the worker; nothing if its runs' ends don't make enough room.
std::optional<milliseconds> expectedFreeIn(
    const Resources &size, const Resources &room, std::span<const RunEnding> runs);

/// Pessimistic time until a start on a place that is expected to be free after `freeIn`.
milliseconds latestNearStart(milliseconds freeIn);

/// What counts towards the bounds on a step's wait.
struct PlaceWaitUse
{
    /// Time that the step has waited in all.
    milliseconds stepWaited{0};
    /// Time that the job has waited in all while nothing of it ran.
    milliseconds idleWaited{0};
    /// Time for which the job has had nothing running; empty if something runs now.
    std::optional<milliseconds> idleFor;
};

/// What is left of the bounds on a step's wait; 0 if one is reached.
milliseconds placeWaitLeft(const PlaceWaitUse &use);

/// One task, or one gang, that could start on a far place now.
struct PlaceWaitInput
{
    /// Expected time until its near place is free.
    milliseconds freeIn{0};
    /// Expected run time on a near place.
    milliseconds runTime{0};
    /// A run on a far place takes this many times as long.
    double remoteFactor = 1.0;
    /// Time until the job is due; negative if it is late.
    milliseconds untilDue{0};
    /// Run time of the longest chain of steps that follow.
    milliseconds chainAfter{0};
    /// What is left of the bounds on the wait.
    milliseconds waitLeft{0};
    /// The queue has the highest priority.
    bool isUrgent = false;
};

/// Whether to wait for the near place instead of a start on a far one now.
bool paysToWait(const PlaceWaitInput &input);

} // namespace wigeonkeel::dispatch
