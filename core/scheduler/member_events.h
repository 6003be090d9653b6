#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/protocol/membership.h"

namespace wigeonkeel
{

struct Scheduler;

void onPeerHello(Scheduler &scheduler, const HelloMessage &message, const Now &now, Actions &actions);
void onPeerHeartbeat(
    Scheduler &scheduler, std::string_view from, const HeartbeatMessage &message, const Now &now, Actions &actions);
void onPeerProbeReply(
    Scheduler &scheduler, std::string_view from, const ProbeReplyMessage &message, const Now &now, Actions &actions);

/// Heartbeats, probes, deaths and this daemon's own member record.
void tickMembers(Scheduler &scheduler, const Now &now, Actions &actions);

/// Carries changes of the live daemons to the parts that depend on them.
void applyMemberChanges(Scheduler &scheduler, const MemberChanges &changes, const Now &now);

} // namespace wigeonkeel
