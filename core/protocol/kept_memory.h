#pragma once

#include "core/action.h"
#include "core/log_limit.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wigeonkeel
{

/// Memory that a table keeps for callers, against its limit. In bytes; what an entry takes is an estimate.
struct KeptMemory
{
    std::size_t limit = 0;
    std::size_t used = 0;
    /// Entries that were not taken because there was no room.
    std::uint64_t refused = 0;
    LogLimit log;
};

inline bool hasRoom(const KeptMemory &memory, std::size_t bytes)
{
    return bytes <= memory.limit && memory.used <= memory.limit - bytes;
}

/// Sets what an entry is charged with; 0 releases it.
void charge(KeptMemory &memory, std::size_t &charged, std::size_t bytes);

/// Counts an entry that was not taken. `part` and `entries` are for the log line, of which there is at most one a
/// second.
void noteRefused(
    KeptMemory &memory, std::string_view part, std::string_view entries, MonotonicTime now, Actions &actions);

} // namespace wigeonkeel
