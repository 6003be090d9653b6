#include "core/cell/arrival_headroom.h"

#include <algorithm>
#include <cmath>

namespace wigeonkeel
{

namespace
{

constexpr std::chrono::seconds window{1};
/// Weight of a new window in the recent rate; follows a burst within about three windows.
constexpr double recentWeight = 0.3;
/// Weight of a new window in the rate of its half hour; forgets within about four days.
constexpr double dayWeight = 1.0 / (1800.0 * 4.0);
/// Seconds of demand that are kept free: a pre-empted task frees its room within about this time.
constexpr double reactionSeconds = 2;
/// Part of the capacity that may be kept from batch work at most.
constexpr std::int64_t headroomDivisor = 4;
/// Part of the expected demand that stays free even if requests hold more than that.
constexpr std::int64_t burstDivisor = 8;

void blend(DemandRate &rate, const DemandRate &sample, double weight)
{
    rate.cpuMilli += weight * (sample.cpuMilli - rate.cpuMilli);
    rate.memoryMib += weight * (sample.memoryMib - rate.memoryMib);
    rate.accelerators += weight * (sample.accelerators - rate.accelerators);
    rate.slots += weight * (sample.slots - rate.slots);
}

std::size_t bucketOf(WallTime wall)
{
    const auto sinceMidnight = wall - std::chrono::floor<std::chrono::days>(wall);
    return static_cast<std::size_t>(sinceMidnight / std::chrono::minutes(30)) % dayBucketCount;
}

void closeWindow(ArrivalRates &rates, const Now &now)
{
    const double seconds = std::chrono::duration<double>(now.monotonic - rates.openedAt).count();
    const DemandRate sample{.cpuMilli = static_cast<double>(rates.open.cpuMilli) / seconds,
        .memoryMib = static_cast<double>(rates.open.memoryMib) / seconds,
        .accelerators = static_cast<double>(rates.open.accelerators) / seconds,
        .slots = static_cast<double>(rates.open.slots) / seconds};
    // A window that stayed open for long counts as that many windows.
    blend(rates.recent, sample, 1 - std::pow(1 - recentWeight, seconds));
    const std::size_t bucket = bucketOf(now.wall);
    const double weight = rates.known[bucket] ? 1 - std::pow(1 - dayWeight, seconds) : 1;
    blend(rates.byTimeOfDay[bucket], sample, weight);
    rates.known[bucket] = true;
    rates.open = {};
    rates.openedAt = now.monotonic;
}

void advance(ArrivalRates &rates, const Now &now)
{
    if (!rates.started) {
        rates.started = true;
        rates.openedAt = now.monotonic;
        return;
    }
    if (now.monotonic - rates.openedAt >= window) {
        closeWindow(rates, now);
    }
}

std::int64_t amountFor(double recent, double byDay, std::int64_t capacity, std::int64_t held)
{
    const auto wanted = static_cast<std::int64_t>(std::ceil(std::max(recent, byDay) * reactionSeconds));
    const std::int64_t bounded = std::min(wanted, capacity / headroomDivisor);
    return std::max(bounded - held, bounded / burstDivisor);
}

} // namespace

void noteArrival(ArrivalRates &rates, const Resources &size, const Now &now)
{
    advance(rates, now);
    rates.open += size;
}

Resources urgentHeadroom(
    ArrivalRates &rates, const Resources &capacity, const Resources &heldByRequests, const Now &now)
{
    advance(rates, now);
    const DemandRate &day = rates.byTimeOfDay[bucketOf(now.wall)];
    const DemandRate &recent = rates.recent;
    return {.cpuMilli = amountFor(recent.cpuMilli, day.cpuMilli, capacity.cpuMilli, heldByRequests.cpuMilli),
        .memoryMib = amountFor(recent.memoryMib, day.memoryMib, capacity.memoryMib, heldByRequests.memoryMib),
        .accelerators
        = amountFor(recent.accelerators, day.accelerators, capacity.accelerators, heldByRequests.accelerators),
        .slots = amountFor(recent.slots, day.slots, capacity.slots, heldByRequests.slots)};
}

} // namespace wigeonkeel
