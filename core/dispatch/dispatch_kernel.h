#pragma once

#include "core/clock.h"
#include "core/dispatch/node.h"
#include "core/event_loop.h"
#include "core/guarded_call.h"
#include "core/registry.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <sigc++/sigc++.h>

#include <functional>

namespace wigeonkeel::dispatch
{

struct DispatchKernel;

using DispatchPlugin = PluginOf<DispatchKernel>;

/// State that the plug-ins of a daemon on a platform share: the loop, the clock, the node that makes the decisions, and
/// the signal that passes its actions to the plug-ins.
struct DispatchKernel
{
    EventLoop &loop;
    Clock clock;
    /// Where this daemon accepts connections of other daemons.
    Endpoint peerListenEndpoint;
    Endpoint metrics;
    prometheus::Registry &metricsRegistry;
    Node node;
    sigc::signal<void(const Action &)> action;
    /// Calls finishTurn() once for all events of one turn of the loop.
    Timer turnTimer;
    bool turnScheduled = false;
    /// Duration of finishTurn(): the node's timers and the actions that follow. Null without metrics.
    prometheus::Histogram *turnSeconds = nullptr;
};

struct DispatchRegistry
{
    std::vector<DispatchPlugin> plugins;

    void add(const DispatchPlugin &plugin) { plugins.push_back(plugin); }
};

/// Calls the register functions of the platform's adapter and of the cluster link.
void registerDispatchPlugins(DispatchRegistry &registry);

/// Call after an unexpected error in the node's decisions. A leader resigns: what it knows may be incomplete, and the
/// next leader reads the state from the store and the workers.
void handleUnexpectedError(DispatchKernel &kernel);

/// Passes an event to the node. The resulting actions are carried out at the end of the loop's turn.
template <typename Handler>
void post(DispatchKernel &kernel, Handler handler)
{
    if (!callGuarded("node", [&] { handler(kernel.node, readClock(kernel.clock)); })) {
        handleUnexpectedError(kernel);
    }
    if (!kernel.turnScheduled) {
        kernel.turnScheduled = true;
        kernel.turnTimer.startOnce(milliseconds(0));
    }
}

/// Runs the node's timers and carries out its pending actions.
void finishTurn(DispatchKernel &kernel);

} // namespace wigeonkeel::dispatch
