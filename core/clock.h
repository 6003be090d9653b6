#pragma once

#include <chrono>
#include <cstdint>

namespace wigeonkeel
{

using std::chrono::milliseconds;

/// A daemon's monotonic clock. Decisions about intervals use only this one.
using MonotonicTime = std::chrono::steady_clock::time_point;
/// Milliseconds since the Unix epoch. Used for ids and audit entries, never for intervals.
using WallTime = std::chrono::sys_time<milliseconds>;

/// Tag of a worker's own clock, so that its times can't be mixed with a daemon's.
struct WorkerClock
{
    using duration = milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WorkerClock>;
    // The name is prescribed by the standard's clock requirements.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};
using WorkerTime = WorkerClock::time_point;

/// Clock passed in to all code that needs the time; a function table, so that tests can step it.
struct Clock
{
    void *state = nullptr;
    MonotonicTime (*monotonicNow)(void *state) = nullptr;
    WallTime (*wallNow)(void *state) = nullptr;

    MonotonicTime now() const { return monotonicNow(state); }
    WallTime wall() const { return wallNow(state); }
};

/// Both clocks read once at the start of a step, so that one step sees one time.
struct Now
{
    MonotonicTime monotonic;
    WallTime wall;
};

inline Now readClock(const Clock &clock)
{
    return {.monotonic = clock.now(), .wall = clock.wall()};
}

} // namespace wigeonkeel
