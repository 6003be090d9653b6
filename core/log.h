#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <fmt/format.h>

namespace wigeonkeel
{

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

std::optional<LogLevel> parseLogLevel(std::string_view text);

/// Lines below this level are dropped.
void setLogLevel(LogLevel level);
bool logEnabled(LogLevel level);

/// Adds the line "2026-01-31T12:00:00.000Z info worker: text" to those that wait for standard output. A full buffer
/// drops the line and counts it.
void writeLog(LogLevel level, std::string_view part, std::string_view text);

/// Writes what standard output takes without blocking; the rest stays for the next call.
void flushLog();

/// From now on lines wait for flushLog(); before, each line is written at once.
void bufferLog();

template <typename... Args>
void logLine(LogLevel level, std::string_view part, fmt::format_string<Args...> format, Args &&...args)
{
    if (!logEnabled(level)) {
        return;
    }
    writeLog(level, part, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace wigeonkeel
