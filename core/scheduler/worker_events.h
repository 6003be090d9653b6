#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/event.h"

namespace wigeonkeel
{

struct Scheduler;

void onWorkerReport(Scheduler &scheduler, const WorkerReport &event, const Now &now, Actions &actions);
void onWorkerExchangeFailed(Scheduler &scheduler, const WorkerExchangeFailed &event, const Now &now, Actions &actions);
void onVmListUpdate(Scheduler &scheduler, const VmListUpdate &event, const Now &now, Actions &actions);
/// Takes a worker whose hold has ended out of the cell.
void onWorkerLost(Scheduler &scheduler, std::string_view worker, const Now &now, Actions &actions);
/// Says for each known worker whether this daemon should own it, after the VM list or the live daemons changed.
void updatePreferences(Scheduler &scheduler);

} // namespace wigeonkeel
