#pragma once

#include "core/event_loop.h"
#include "core/worker_messages.h"
#include "drivers/http/http_client.h"

#include <cstdint>
#include <functional>
#include <string>

namespace wigeonkeel
{

struct VmListReaderOptions
{
    std::string address;
    std::uint16_t port = 0;
    milliseconds interval{1000};
    /// Name of this daemon.
    std::string reader;
    HttpByteCounts byteCounts;
    /// Counts the reads that were begun, if set.
    std::uint64_t *readsBegun = nullptr;
};

/// Reads the platform's VM list at an interval. While the list can't be read, nothing is emitted.
struct VmListReader
{
    VmListReader(EventLoop &loop, const VmListReaderOptions &options, std::function<void(const VmListUpdate &)> emit);

    std::function<void(const VmListUpdate &)> emit;
    HttpConnection connection;
    Timer timer;
    milliseconds interval;
    /// Names this daemon to the list.
    std::string path;
    std::uint64_t *readsBegun = nullptr;
};

} // namespace wigeonkeel
