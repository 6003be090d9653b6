#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/event.h"

namespace wigeonkeel
{

struct Scheduler;

void onSubmit(Scheduler &scheduler, const SubmitEvent &event, const Now &now, Actions &actions);
void onQuery(Scheduler &scheduler, const QueryEvent &event, const Now &now, Actions &actions);
void onCancel(Scheduler &scheduler, const CancelEvent &event, const Now &now, Actions &actions);
void onCallerGone(Scheduler &scheduler, const CallerGoneEvent &event, const Now &now, Actions &actions);

} // namespace wigeonkeel
