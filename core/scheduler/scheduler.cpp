#include "core/scheduler/scheduler.h"

#include "core/scheduler/caller_events.h"
#include "core/scheduler/operator_events.h"
#include "core/scheduler/peer_events.h"
#include "core/scheduler/store_events.h"
#include "core/scheduler/tick_events.h"
#include "core/scheduler/worker_events.h"

namespace wigeonkeel
{

namespace
{

constexpr int partShift = 56;

struct Stepper
{
    Scheduler &scheduler;
    const Now &now;
    Actions &actions;

    void operator()(const TickEvent &) const { onTick(scheduler, now, actions); }
    void operator()(const DrainEvent &) const { onDrain(scheduler, now, actions); }
    void operator()(const SubmitEvent &event) const { onSubmit(scheduler, event, now, actions); }
    void operator()(const QueryEvent &event) const { onQuery(scheduler, event, now, actions); }
    void operator()(const CancelEvent &event) const { onCancel(scheduler, event, now, actions); }
    void operator()(const CallerGoneEvent &event) const { onCallerGone(scheduler, event, now, actions); }
    void operator()(const OperatorEvent &event) const { onOperatorEvent(scheduler, event, now, actions); }
    void operator()(const PeerReceived &event) const { onPeerReceived(scheduler, event, now, actions); }
    void operator()(const PeerLinkChanged &event) const { onPeerLinkChanged(scheduler, event, now, actions); }
    void operator()(const WorkerReport &event) const { onWorkerReport(scheduler, event, now, actions); }
    void operator()(const WorkerExchangeFailed &event) const { onWorkerExchangeFailed(scheduler, event, now, actions); }
    void operator()(const VmListUpdate &event) const { onVmListUpdate(scheduler, event, now, actions); }
    void operator()(const StoreReply &event) const { onStoreReply(scheduler, event, now, actions); }
    void operator()(const StoreWatchUpdate &event) const { onStoreWatchUpdate(scheduler, event, now, actions); }
    void operator()(const StoreHealthChanged &event) const { onStoreHealthChanged(scheduler, event, now, actions); }
};

} // namespace

void step(Scheduler &scheduler, const Event &event, const Now &now, Actions &actions)
{
    std::visit(Stepper{scheduler, now, actions}, event);
}

bool mayTakeRequests(const Scheduler &scheduler)
{
    return scheduler.membership.settled && !scheduler.draining;
}

std::uint64_t makeStoreCallId(Scheduler &scheduler, StorePart part)
{
    return storeCallBase(part) | scheduler.nextStoreCall++;
}

StorePart partOf(std::uint64_t storeCallId)
{
    return static_cast<StorePart>(storeCallId >> partShift);
}

} // namespace wigeonkeel
