#pragma once

#include "core/dispatch/dispatch_kernel.h"
#include "core/log_limit.h"
#include "drivers/peer_protocol/frame_connection.h"

#include <map>
#include <memory>
#include <string>

namespace wigeonkeel::dispatch
{

/// One TCP connection with another daemon.
struct ClusterConnection
{
    std::unique_ptr<FrameConnection> frames;
    /// Name of the other daemon; empty until its first presence message arrives.
    std::string node;
    bool dialled = false;
    MonotonicTime lastReceived{};
};

/// Connections between followers and the leader: each follower dials the leader, which only listens.
struct ClusterLinks
{
    DispatchKernel &kernel;
    std::map<std::uint64_t, ClusterConnection> connections;
    std::uint64_t nextId = 1;
    /// Endpoint to keep a connection with; empty for none.
    Endpoint target;
    std::uint64_t dialledId = 0;
    std::unique_ptr<FrameListener> listener;
    std::unique_ptr<Timer> receiveTimer;
    sigc::connection actions;
    /// Of the ends of connections without a name.
    LogLimit endLog;
};

Error startLinks(ClusterLinks &links);
void handleAction(ClusterLinks &links, const Action &action);

} // namespace wigeonkeel::dispatch
