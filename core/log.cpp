#include "core/log.h"

#include "drivers/clock/system_clock.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

namespace wigeonkeel
{

namespace
{

LogLevel currentLevel = LogLevel::Info;

/// About a second of lines under load.
constexpr std::size_t maxBufferedBytes = 256 * 1024;
/// A pipe that polls as writable takes at least this much (PIPE_BUF).
constexpr std::size_t writeBytes = 4096;

struct LogBuffer
{
    std::string text;
    std::uint64_t dropped = 0;
    bool deferred = false;
    std::chrono::seconds formattedSecond{-1};
    std::string formatted;
};

LogBuffer buffer;

bool isWritable()
{
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

} // namespace

std::optional<LogLevel> parseLogLevel(std::string_view text)
{
    for (const LogLevel level : {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        if (levelName(level) == text) {
            return level;
        }
    }
    return std::nullopt;
}

void setLogLevel(LogLevel level)
{
    currentLevel = level;
}

bool logEnabled(LogLevel level)
{
    return level >= currentLevel;
}

void writeLog(LogLevel level, std::string_view part, std::string_view text)
{
    if (!logEnabled(level)) {
        return;
    }
    const auto sinceEpoch = systemClock().wall().time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch);
    const auto remainder = sinceEpoch - seconds;
    if (buffer.text.size() > maxBufferedBytes) {
        ++buffer.dropped;
        return;
    }
    // Calendar formatting takes longer than the rest of the line.
    if (seconds != buffer.formattedSecond) {
        buffer.formattedSecond = seconds;
        buffer.formatted = fmt::format("{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(static_cast<std::time_t>(seconds.count())));
    }
    fmt::format_to(std::back_inserter(buffer.text), "{}.{:03}Z {} {}: {}\n", buffer.formatted, remainder.count(),
        levelName(level), part, text);
    if (!buffer.deferred) {
        flushLog();
    }
}

void bufferLog()
{
    buffer.deferred = true;
}

void flushLog()
{
    std::size_t written = 0;
    while (written < buffer.text.size() && isWritable()) {
        const std::size_t size = std::min(writeBytes, buffer.text.size() - written);
        const ssize_t count = write(STDOUT_FILENO, buffer.text.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    buffer.text.erase(0, written);
    if (buffer.dropped > 0 && buffer.text.empty()) {
        const std::uint64_t dropped = std::exchange(buffer.dropped, 0);
        logLine(LogLevel::Warning, "log", "Lines were dropped because standard output was not read. count={}", dropped);
    }
}

} // namespace wigeonkeel
