#include "core/kernel.h"

#include "core/guarded_call.h"
#include "core/log.h"

namespace wigeonkeel
{

namespace
{

struct ActionRunner
{
    Kernel &kernel;

    void operator()(const SendToWorker &action) const { kernel.signals.sendToWorker.emit(action); }
    void operator()(const ForgetWorker &action) const { kernel.signals.forgetWorker.emit(action); }
    void operator()(const SendToPeer &action) const { kernel.signals.sendToPeer.emit(action); }
    void operator()(const KeepPeer &action) const { kernel.signals.keepPeer.emit(action); }
    void operator()(const StoreCall &action) const { kernel.signals.storeCall.emit(action); }
    void operator()(const ReplyToCaller &action) const { kernel.signals.replyToCaller.emit(action); }
    void operator()(const OperatorReply &action) const { kernel.signals.replyToOperator.emit(action); }
    void operator()(const DrainedAction &) const { kernel.signals.drained.emit(); }
    void operator()(const ObserveAction &action) const { kernel.signals.observed.emit(action); }
    void operator()(const LogAction &action) const { logLine(action.level, action.part, "{}", action.text); }
};

/// Actions that were decided before an unexpected error are carried out: the scheduler's state counts on them.
void handleEvent(Kernel &kernel, const Event &event)
{
    Actions actions;
    const Now now = readClock(kernel.clock);
    callGuarded("scheduler", [&] { step(kernel.scheduler, event, now, actions); });
    for (const Action &action : actions) {
        callGuarded("kernel", [&] { std::visit(ActionRunner{kernel}, action); });
    }
    kernel.signals.observed.emit({.kind = ObservationKind::Step, .duration = kernel.clock.now() - now.monotonic});
}

} // namespace

void post(Kernel &kernel, const Event &event)
{
    kernel.queuedEvents.push_back(event);
    if (kernel.handlingEvents) {
        return;
    }
    // Actions of one event are carried out before the next event is looked at, so that a plug-in which answers at once
    // can't see half of a decision.
    kernel.handlingEvents = true;
    while (!kernel.queuedEvents.empty()) {
        const Event next = std::move(kernel.queuedEvents.front());
        kernel.queuedEvents.pop_front();
        callGuarded("kernel", [&] { handleEvent(kernel, next); });
    }
    kernel.handlingEvents = false;
}

} // namespace wigeonkeel
