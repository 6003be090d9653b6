#pragma once

#include "core/log_limit.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace wigeonkeel::dispatch
{

/// Lines that clients' calls cause without a newly accepted job.
enum class CallLine : std::uint8_t {
    InvalidJob,
    Rejected,
    RepeatedSubmission,
    Withdrawn,
    CancelRequested,
    EndReported,
    NoRoomForCall,
    Unanswered,
    LateAnswer,
};
constexpr std::size_t callLineCount = static_cast<std::size_t>(CallLine::LateAnswer) + 1;

/// Keeps clients that nobody controls from filling the disk of the log. Each kind of line has a limit of its own, so
/// that a flood of one kind leaves out no line of another.
struct CallLog
{
    LogRate rate{.interval = milliseconds(10), .burst = 1000};
    std::array<LogLimit, callLineCount> limits{};
    /// Lines that were left out.
    std::uint64_t suppressed = 0;
};

/// Writes a line about a call, or counts it if there are too many of its kind.
template <typename... Args>
void logCall(CallLog &log, CallLine kind, MonotonicTime now, std::string_view part, fmt::format_string<Args...> format,
    Args &&...args)
{
    const bool written = logLimited(log.limits.at(static_cast<std::size_t>(kind)), log.rate, now, LogLevel::Info, part,
        format, std::forward<Args>(args)...);
    log.suppressed += written ? 0 : 1;
}

} // namespace wigeonkeel::dispatch
