#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/event.h"

namespace wigeonkeel
{

struct Scheduler;

void onPeerReceived(Scheduler &scheduler, const PeerReceived &event, const Now &now, Actions &actions);
void onPeerLinkChanged(Scheduler &scheduler, const PeerLinkChanged &event, const Now &now, Actions &actions);

} // namespace wigeonkeel
