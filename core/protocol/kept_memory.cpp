#include "core/protocol/kept_memory.h"

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr LogRate refusalLogRate{.interval = std::chrono::seconds(1)};

} // namespace

void charge(KeptMemory &memory, std::size_t &charged, std::size_t bytes)
{
    memory.used += bytes;
    memory.used -= charged;
    charged = bytes;
}

void noteRefused(
    KeptMemory &memory, std::string_view part, std::string_view entries, MonotonicTime now, Actions &actions)
{
    ++memory.refused;
    if (const auto unlogged = takeLogLine(memory.log, refusalLogRate, now)) {
        actions.push_back(LogAction{.level = LogLevel::Warning,
            .part = part,
            .text = fmt::format("{} take too much memory; one was refused. bytes={} limit={} unlogged_before={}",
                entries, memory.used, memory.limit, *unlogged)});
    }
}

} // namespace wigeonkeel
