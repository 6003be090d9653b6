#include "drivers/clock/system_clock.h"

#include <ctime>

namespace wigeonkeel
{

namespace
{

/// Counts the time of a suspended VM too; leases of others run on meanwhile.
MonotonicTime bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

Clock systemClock()
{
    return {.state = nullptr,
        .monotonicNow = [](void *) { return bootTime(); },
        .wallNow = [](void *) { return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now()); }};
}

} // namespace wigeonkeel
