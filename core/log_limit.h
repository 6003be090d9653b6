#pragma once

#include "core/clock.h"
#include "core/log.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace wigeonkeel
{

/// How many lines of one kind may be written.
struct LogRate
{
    /// Time between two lines in the long run.
    MonotonicTime::duration interval{};
    /// Lines that are written without a pause after a quiet time.
    int burst = 1;
};

/// Limits lines that whoever reaches a port can cause.
struct LogLimit
{
    /// No line is written earlier than the burst before this. Each line that is written moves it by an interval.
    MonotonicTime next{};
    /// Lines that were left out since the last one.
    std::uint64_t suppressed = 0;
};

/// Whether a line may be written. Returns the number of lines that were left out before it, or nothing, and the line
/// counts as left out.
inline std::optional<std::uint64_t> takeLogLine(LogLimit &limit, LogRate rate, MonotonicTime now)
{
    if (now < limit.next - rate.interval * (rate.burst - 1)) {
        ++limit.suppressed;
        return std::nullopt;
    }
    limit.next = std::max(limit.next, now) + rate.interval;
    return std::exchange(limit.suppressed, 0);
}

/// Writes the line if the limit allows it, with `unlogged_before=N` at its end if lines were left out before it.
/// Returns whether it was written.
template <typename... Args>
bool logLimited(LogLimit &limit, LogRate rate, MonotonicTime now, LogLevel level, std::string_view part,
    fmt::format_string<Args...> format, Args &&...args)
{
    const auto unlogged = takeLogLine(limit, rate, now);
    if (!unlogged) {
        return false;
    }
    if (logEnabled(level)) {
        std::string text = fmt::format(format, std::forward<Args>(args)...);
        if (*unlogged > 0) {
            text += fmt::format(" unlogged_before={}", *unlogged);
        }
        writeLog(level, part, text);
    }
    return true;
}

} // namespace wigeonkeel
