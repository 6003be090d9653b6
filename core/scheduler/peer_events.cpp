#include "core/scheduler/peer_events.h"

#include "core/scheduler/gang_reservations.h"
#include "core/scheduler/job_events.h"
#include "core/scheduler/member_events.h"
#include "core/scheduler/request_events.h"
#include "core/scheduler/scheduler.h"

namespace wigeonkeel
{

namespace
{

struct MessageStepper
{
    Scheduler &scheduler;
    std::string_view from;
    const Now &now;
    Actions &actions;

    void operator()(const HelloMessage &message) const { onPeerHello(scheduler, message, now, actions); }
    void operator()(const HeartbeatMessage &message) const { onPeerHeartbeat(scheduler, from, message, now, actions); }
    void operator()(const ProbeMessage &message) const { onProbe(scheduler.membership, from, message, now, actions); }
    void operator()(const ProbeReplyMessage &message) const
    {
        onPeerProbeReply(scheduler, from, message, now, actions);
    }
    void operator()(const OfferMessage &message) const { onOffer(scheduler, from, message, now, actions); }
    void operator()(const OfferReplyMessage &message) const { onOfferReply(scheduler, from, message, now, actions); }
    void operator()(const ConfigPullMessage &message) const { onConfigPull(scheduler, from, message, actions); }
    void operator()(const ConfigPushMessage &message) const { onConfigPush(scheduler, from, message, actions); }
    void operator()(const TaskUpdateMessage &message) const
    {
        if (message.progress == TaskProgress::Lost && onOfferedTaskLost(scheduler, from, message, now, actions)) {
            return;
        }
        noteOfferUpdate(scheduler, from, message);
        onUpdateReceived(scheduler, from, message, now, actions);
        noteGangUpdate(scheduler, from, message, now, actions);
    }
    void operator()(const TaskUpdateAckMessage &message) const
    {
        onUpdateAcknowledged(scheduler, message, now, actions);
    }
    void operator()(const ForwardMessage &message) const { onForward(scheduler, from, message, now, actions); }
    void operator()(const ForwardQueryMessage &message) const
    {
        onForwardQuery(scheduler, from, message, now, actions);
    }
    void operator()(const AnswerMessage &message) const { onAnswer(scheduler.forwards, message, now, actions); }
    void operator()(const ReserveMessage &message) const { onReserve(scheduler, from, message, now, actions); }
    void operator()(const ReserveReplyMessage &message) const
    {
        onReserveReply(scheduler, from, message, now, actions);
    }
    void operator()(const CommitMessage &message) const { onCommit(scheduler, from, message, now, actions); }
    void operator()(const CommitReplyMessage &message) const { onCommitReply(scheduler, from, message, now, actions); }
    void operator()(const AbortMessage &message) const { onAbort(scheduler, from, message, now); }
    void operator()(const StopTasksMessage &message) const { onStopTasks(scheduler, message, now, actions); }
    void operator()(const LookupMessage &message) const { onLookup(scheduler, from, message, now, actions); }
    void operator()(const LookupReplyMessage &message) const { onLookupReply(scheduler, from, message, now, actions); }

    template <typename Other>
    void operator()(const Other &) const
    {
    }
};

} // namespace

void onPeerReceived(Scheduler &scheduler, const PeerReceived &event, const Now &now, Actions &actions)
{
    std::visit(MessageStepper{scheduler, event.from, now, actions}, event.message);
}

void onPeerLinkChanged(Scheduler &scheduler, const PeerLinkChanged &event, const Now &, Actions &)
{
    onLinkChanged(scheduler.membership, event);
}

} // namespace wigeonkeel
