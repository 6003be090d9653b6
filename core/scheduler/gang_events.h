#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/task.h"

#include <span>

namespace wigeonkeel
{

struct Scheduler;

/// Starts all tasks of a gang or none. The outcome comes back as one TaskUpdateMessage per task; Refused for all tasks
/// means that there was no room, and the home tries again later.
void startGang(
    Scheduler &scheduler, const RequestKey &key, std::span<const TaskSpec> tasks, const Now &now, Actions &actions);

} // namespace wigeonkeel
