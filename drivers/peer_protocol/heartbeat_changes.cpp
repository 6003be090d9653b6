#include "drivers/peer_protocol/heartbeat_changes.h"

namespace wigeonkeel
{

namespace
{

std::optional<Resources> ifChanged(const Resources &former, const Resources &next)
{
    return former == next ? std::nullopt : std::optional(next);
}

} // namespace

HeartbeatForm heartbeatForm(const HeartbeatMessage &former, const HeartbeatMessage &next)
{
    HeartbeatMessage expected = former;
    expected.sequence = next.sequence;
    if (expected == next) {
        return HeartbeatForm::Repeat;
    }
    expected = changedHeartbeat(former, heartbeatChange(former, next));
    expected.sequence = next.sequence;
    return expected == next ? HeartbeatForm::Change : HeartbeatForm::Whole;
}

HeartbeatChangeMessage heartbeatChange(const HeartbeatMessage &former, const HeartbeatMessage &next)
{
    return {.capacity = ifChanged(former.capacity, next.capacity),
        .free = ifChanged(former.free, next.free),
        .ownedWorkers = next.ownedWorkers,
        .queuedTasks = next.queuedTasks,
        .configRevision = next.configRevision,
        .storeReachable = next.storeReachable};
}

HeartbeatMessage repeatedHeartbeat(const HeartbeatMessage &former)
{
    HeartbeatMessage next = former;
    ++next.sequence;
    return next;
}

HeartbeatMessage changedHeartbeat(const HeartbeatMessage &former, const HeartbeatChangeMessage &change)
{
    HeartbeatMessage next = repeatedHeartbeat(former);
    next.capacity = change.capacity.value_or(former.capacity);
    next.free = change.free.value_or(former.free);
    next.ownedWorkers = change.ownedWorkers;
    next.queuedTasks = change.queuedTasks;
    next.configRevision = change.configRevision;
    next.storeReachable = change.storeReachable;
    return next;
}

} // namespace wigeonkeel
