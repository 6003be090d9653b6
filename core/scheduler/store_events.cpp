#include "core/scheduler/store_events.h"

#include "core/scheduler/job_events.h"
#include "core/scheduler/operator_events.h"
#include "core/scheduler/request_events.h"
#include "core/scheduler/scheduler.h"

namespace wigeonkeel
{

void onStoreReply(Scheduler &scheduler, const StoreReply &event, const Now &now, Actions &actions)
{
    switch (partOf(event.id)) {
    case StorePart::Journal:
        onJournalStoreReply(scheduler, event, now, actions);
        break;
    case StorePart::Sessions:
        onSessionsStoreReply(scheduler, event, now, actions);
        break;
    case StorePart::Config:
        onConfigReply(scheduler, event, now, actions);
        break;
    case StorePart::Members:
        onMemberReply(scheduler.memberRecord, scheduler.membership.options.self, event, now);
        break;
    case StorePart::Jobs:
        onJobStoreReply(scheduler, event, now, actions);
        break;
    }
}

void onStoreWatchUpdate(Scheduler &scheduler, const StoreWatchUpdate &event, const Now &now, Actions &actions)
{
    scheduler.storeListed = true;
    for (const StoreEntry &entry : event.changed) {
        if (entry.key == sessionsKey) {
            onSessionsChanged(scheduler.sessions, entry);
        }
    }
    onMemberWatch(scheduler.memberRecord, scheduler.membership, event, actions);
    onConfigWatch(scheduler, event, now, actions);
}

void onStoreHealthChanged(Scheduler &scheduler, const StoreHealthChanged &event, const Now &, Actions &)
{
    scheduler.storeReachable = event.reachable;
}

} // namespace wigeonkeel
