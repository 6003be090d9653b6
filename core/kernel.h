#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/event.h"
#include "core/event_loop.h"
#include "core/registry.h"
#include "core/scheduler/scheduler.h"
#include "core/settings.h"

#include <prometheus/registry.h>
#include <sigc++/sigc++.h>

#include <deque>

namespace wigeonkeel
{

/// Signals by which plug-ins carry out what the scheduler decided.
struct KernelSignals
{
    sigc::signal<void(const SendToWorker &)> sendToWorker;
    sigc::signal<void(const ForgetWorker &)> forgetWorker;
    sigc::signal<void(const SendToPeer &)> sendToPeer;
    sigc::signal<void(const KeepPeer &)> keepPeer;
    sigc::signal<void(const StoreCall &)> storeCall;
    sigc::signal<void(const ReplyToCaller &)> replyToCaller;
    sigc::signal<void(const OperatorReply &)> replyToOperator;
    sigc::signal<void(const ObserveAction &)> observed;
    sigc::signal<void()> drained;
};

/// What plug-ins share: the loop, the clock, settings, metrics, the scheduler and its signals.
struct Kernel
{
    EventLoop &loop;
    Clock clock;
    const Settings &settings;
    const Registry &registry;
    prometheus::Registry &metrics;
    Scheduler &scheduler;
    KernelSignals signals;
    /// Events that arose while an earlier one was handled.
    std::deque<Event> queuedEvents;
    bool handlingEvents = false;
};

/// Gives an event to the scheduler and carries out its actions. Events that arise meanwhile follow in order.
void post(Kernel &kernel, const Event &event);

} // namespace wigeonkeel
