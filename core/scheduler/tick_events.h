#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/event.h"

namespace wigeonkeel
{

struct Scheduler;

void onTick(Scheduler &scheduler, const Now &now, Actions &actions);
void onDrain(Scheduler &scheduler, const Now &now, Actions &actions);

} // namespace wigeonkeel
