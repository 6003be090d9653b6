#include "core/dispatch/placement/place_wait.h"

#include "core/dispatch/placement/worker_room.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

/// With less progress, the rounding to whole percents makes the rate worse than the client's estimate.
constexpr int minPercentForRate = 5;
constexpr int allPercent = 100;
/// A run that exceeds its estimate is expected to take this share of its time so far again.
constexpr double overrunShare = 0.25;
/// Run times exceed what is expected by half or more, by the platform's description of estimates.
constexpr double pessimisticFactor = 1.5;
/// The end of a run is seen this long after it at most: the interval at which workers are checked.
constexpr milliseconds endNoticeDelay{100};

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace

milliseconds expectedTimeLeft(const RunProgress &progress)
{
    if (progress.percent >= minPercentForRate) {
        const milliseconds worked = progress.startedAgo - progress.reportedAgo;
        const milliseconds left = worked * (allPercent - std::min(progress.percent, allPercent)) / progress.percent;
        return std::max(milliseconds(0), left - progress.reportedAgo);
    }
    return std::max(progress.estimate - progress.startedAgo, scaled(progress.startedAgo, overrunShare));
}

std::vector<milliseconds> placeFreeTimes(
    const Resources &size, const Resources &room, std::span<const RunEnding> runs, std::uint32_t limit)
{
    std::vector<RunEnding> sorted(runs.begin(), runs.end());
    std::ranges::sort(sorted, {}, &RunEnding::left);
    Resources free = room;
    std::vector<milliseconds> times(countFitting(size, free, limit), milliseconds(0));
    for (const RunEnding &run : sorted) {
        free += run.size;
        times.resize(std::max<std::size_t>(times.size(), countFitting(size, free, limit)), run.left);
    }
    return times;
}

std::optional<milliseconds> expectedFreeIn(
    const Resources &size, const Resources &room, std::span<const RunEnding> runs)
{
    const std::vector<milliseconds> times = placeFreeTimes(size, room, runs, 1);
    return times.empty() ? std::nullopt : std::optional(times.front());
}

milliseconds latestNearStart(milliseconds freeIn)
{
    return scaled(freeIn, pessimisticFactor) + endNoticeDelay;
}

milliseconds placeWaitLeft(const PlaceWaitUse &use)
{
    milliseconds left = maxPlaceWait - use.stepWaited;
    if (use.idleFor) {
        left = std::min({left, maxPlaceWait - use.idleWaited, maxIdleTime - *use.idleFor});
    }
    return std::max(milliseconds(0), left);
}

bool paysToWait(const PlaceWaitInput &input)
{
    const milliseconds latestStart = latestNearStart(input.freeIn);
    if (latestStart > input.waitLeft) {
        return false;
    }
    const milliseconds farRun = scaled(input.runTime, input.remoteFactor);
    // Urgent tasks wait only if that pays even when the place is free late.
    const milliseconds start = input.isUrgent ? latestStart : input.freeIn + endNoticeDelay;
    if (start + input.runTime >= farRun) {
        return false;
    }
    const milliseconds slack = input.untilDue - input.chainAfter - farRun;
    // A job that would be on time with a start on a far place now must also be so if the wait fails.
    return slack < milliseconds(0) || slack >= latestStart;
}

} // namespace wigeonkeel::dispatch
