#include "core/scheduler/tick_events.h"

#include "core/scheduler/job_events.h"
#include "core/scheduler/member_events.h"
#include "core/scheduler/operator_events.h"
#include "core/scheduler/placement.h"
#include "core/scheduler/preempting.h"
#include "core/scheduler/request_events.h"
#include "core/scheduler/scheduler.h"
#include "core/scheduler/worker_events.h"
#include "core/scheduler/worker_use.h"

namespace wigeonkeel
{

void onTick(Scheduler &scheduler, const Now &now, Actions &actions)
{
    for (const std::string &worker : tickOwnership(scheduler.ownership, now, actions)) {
        onWorkerLost(scheduler, worker, now, actions);
    }
    forgetUnlisted(scheduler, now);
    tickRequests(scheduler, now, actions);
    tickRequestAudit(scheduler, now, actions);
    tickMembers(scheduler, now, actions);
    tickJobs(scheduler, now, actions);
    tickTaskUpdates(scheduler, now, actions);
    tickOffers(scheduler, now, actions);
    tickGangs(scheduler, now, actions);
    tickOperatorEvents(scheduler, now, actions);
    tickWorkerHealth(scheduler, now);
    tickPreemption(scheduler, now, actions);
    placeQueued(scheduler, now, actions);
    if (!scheduler.draining) {
        return;
    }
    const bool jobsWritten = drainJobs(scheduler, now);
    if (!drainRequests(scheduler, now, actions) || !jobsWritten || !areGangsDrained(scheduler, now)) {
        return;
    }
    scheduler.ownership.draining = true;
    if (ownedCount(scheduler.ownership) == 0) {
        actions.push_back(DrainedAction{});
    }
}

void onDrain(Scheduler &scheduler, const Now &, Actions &)
{
    scheduler.draining = true;
}

} // namespace wigeonkeel
