#include "core/scheduler/member_events.h"

#include "core/scheduler/scheduler.h"
#include "core/scheduler/worker_events.h"

namespace wigeonkeel
{

namespace
{

/// Bounds a heartbeat when an availability zone is leaving; every daemon also reads the VM list itself.
constexpr std::size_t maxLeavingInHeartbeat = 64;

HeartbeatMessage describeLoad(const Scheduler &scheduler)
{
    HeartbeatMessage load{.capacity = totalCapacity(scheduler.cell),
        // What is free on a leaving or excluded worker would draw offers that must be refused.
        .free = placeableFree(scheduler.cell),
        .ownedWorkers = ownedCount(scheduler.ownership),
        .queuedTasks = static_cast<std::uint32_t>(scheduler.pending.total()),
        .configRevision = scheduler.configTable.revision,
        .draining = scheduler.draining,
        .storeReachable = scheduler.storeReachable,
        .leavingWorkers = {},
        .alivePeers = {},
        .deadPeers = {}};
    for (const std::string &worker : scheduler.workerRoutes.leaving) {
        if (load.leavingWorkers.size() == maxLeavingInHeartbeat) {
            break;
        }
        load.leavingWorkers.push_back(worker);
    }
    return load;
}

} // namespace

void applyMemberChanges(Scheduler &scheduler, const MemberChanges &changes, const Now &now)
{
    if (changes.empty()) {
        return;
    }
    for (const MemberChange &change : changes) {
        switch (change.kind) {
        case MemberChangeKind::Joined:
            onOfferPeerBack(scheduler, change.peer, now);
            break;
        case MemberChangeKind::Died:
            ++scheduler.counters.peersDied;
            onOfferPeerLost(scheduler, change.peer, now);
            break;
        case MemberChangeKind::Restarted:
            onOfferPeerLost(scheduler, change.peer, now);
            break;
        case MemberChangeKind::Draining:
            break;
        }
    }
    noteLeavingByPeers(scheduler);
    updatePreferences(scheduler);
}

void onPeerHello(Scheduler &scheduler, const HelloMessage &message, const Now &now, Actions &actions)
{
    MemberChanges changes;
    onHello(scheduler.membership, message.from, now, actions, changes);
    applyMemberChanges(scheduler, changes, now);
}

void onPeerHeartbeat(
    Scheduler &scheduler, std::string_view from, const HeartbeatMessage &message, const Now &now, Actions &actions)
{
    const auto peer = scheduler.membership.peers.find(from);
    const bool leavingChanged
        = peer == scheduler.membership.peers.end() || peer->second.heartbeat.leavingWorkers != message.leavingWorkers;
    MemberChanges changes;
    onHeartbeat(scheduler.membership, from, message, now, actions, changes);
    applyMemberChanges(scheduler, changes, now);
    if (leavingChanged) {
        noteLeavingByPeers(scheduler);
    }
    pullConfigIfBehind(scheduler, from, message.configRevision, now, actions);
}

void onPeerProbeReply(
    Scheduler &scheduler, std::string_view from, const ProbeReplyMessage &message, const Now &now, Actions &actions)
{
    MemberChanges changes;
    onProbeReply(scheduler.membership, from, message, now, actions, changes);
    applyMemberChanges(scheduler, changes, now);
}

void tickMembers(Scheduler &scheduler, const Now &now, Actions &actions)
{
    if (settle(scheduler.membership, scheduler.storeListed, now)) {
        updatePreferences(scheduler);
    }
    MemberChanges changes;
    // The sums over all workers are needed only when a heartbeat is due.
    const bool due = now.monotonic >= scheduler.membership.nextHeartbeat;
    const HeartbeatMessage load = due ? describeLoad(scheduler) : HeartbeatMessage{.draining = scheduler.draining};
    tickMembership(scheduler.membership, load, now, actions, changes);
    applyMemberChanges(scheduler, changes, now);
    if (!scheduler.storeReachable) {
        return;
    }
    const std::uint64_t callId = makeStoreCallId(scheduler, StorePart::Members);
    if (!tickMemberRecord(scheduler.memberRecord, scheduler.membership.options.self, callId, now, actions)) {
        --scheduler.nextStoreCall;
    }
}

} // namespace wigeonkeel
