#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace wigeonkeel
{

/// Limits lines that whoever reaches a port can cause.
struct LogLimit
{
    /// No line is written before this.
    MonotonicTime next{};
    /// Lines that were left out since the last one.
    std::uint64_t suppressed = 0;
};

/// Whether a line may be written: at most one in each interval. Returns the number of lines that were left out before
/// it, or nothing, and the line counts as left out.
inline std::optional<std::uint64_t> takeLogLine(LogLimit &limit, MonotonicTime now, milliseconds interval)
{
    if (now < limit.next) {
        ++limit.suppressed;
        return std::nullopt;
    }
    limit.next = now + interval;
    return std::exchange(limit.suppressed, 0);
}

} // namespace wigeonkeel
