#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/event.h"

namespace wigeonkeel
{

struct Scheduler;

void onStoreReply(Scheduler &scheduler, const StoreReply &event, const Now &now, Actions &actions);
void onStoreWatchUpdate(Scheduler &scheduler, const StoreWatchUpdate &event, const Now &now, Actions &actions);
void onStoreHealthChanged(Scheduler &scheduler, const StoreHealthChanged &event, const Now &now, Actions &actions);

} // namespace wigeonkeel
