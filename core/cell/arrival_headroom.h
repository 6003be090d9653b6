#pragma once

#include "core/clock.h"
#include "core/resources.h"

#include <array>

namespace wigeonkeel
{

/// Amounts that requests ask for in one second.
struct DemandRate
{
    double cpuMilli = 0;
    double memoryMib = 0;
    double accelerators = 0;
    double slots = 0;
};

/// Half hours of a day.
inline constexpr std::size_t dayBucketCount = 48;

/// Demand of urgent requests, learnt over days by the time of day and over the last windows.
struct ArrivalRates
{
    std::array<DemandRate, dayBucketCount> byTimeOfDay{};
    std::array<bool, dayBucketCount> known{};
    DemandRate recent;
    /// Arrivals of the window that is open.
    Resources open;
    MonotonicTime openedAt{};
    bool started = false;
};

/// Counts a request that arrived. Constant time.
void noteArrival(ArrivalRates &rates, const Resources &size, const Now &now);

/// Capacity that should stay free of batch work: the demand that is expected within the time that pre-emption takes,
/// at most a quarter of the capacity, less what requests hold now, because they end and are replaced. At least an
/// eighth of that demand stays free for bursts.
Resources urgentHeadroom(
    ArrivalRates &rates, const Resources &capacity, const Resources &heldByRequests, const Now &now);

} // namespace wigeonkeel
