#pragma once

#include "core/clock.h"
#include "core/dispatch/node.h"
#include "core/event_loop.h"
#include "core/registry.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <sigc++/sigc++.h>

#include <functional>

namespace wigeonkeel::dispatch
{

struct DispatchKernel;

using DispatchPlugin = PluginOf<DispatchKernel>;

/// What the plug-ins of a daemon on a platform share: the loop, the clock, the decisions and the signal by which these
/// are carried out.
struct DispatchKernel
{
    EventLoop &loop;
    Clock clock;
    /// Where daemons listen for each other.
    Endpoint listenForPeers;
    Endpoint metrics;
    prometheus::Registry &metricsRegistry;
    Node node;
    sigc::signal<void(const Action &)> action;
    /// Runs the timers of the decisions and carries out what they decided, once for all events of a turn of the loop.
    Timer settleTimer;
    bool settlePlanned = false;
    /// Time from an event to the end of the turn that settled it.
    prometheus::Histogram *turnSeconds = nullptr;
};

struct DispatchRegistry
{
    std::vector<DispatchPlugin> plugins;

    void add(const DispatchPlugin &plugin) { plugins.push_back(plugin); }
};

/// Calls the register functions of the platform's adapter and of the cluster link.
void registerDispatchPlugins(DispatchRegistry &registry);

/// Gives an event to the node; what follows from it is carried out at the end of the loop's turn.
template <typename Handler>
void post(DispatchKernel &kernel, Handler handler)
{
    handler(kernel.node, readClock(kernel.clock));
    if (!kernel.settlePlanned) {
        kernel.settlePlanned = true;
        kernel.settleTimer.startOnce(milliseconds(0));
    }
}

/// Timers and actions of the node.
void settle(DispatchKernel &kernel);

} // namespace wigeonkeel::dispatch
