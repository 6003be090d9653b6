#pragma once

#include "core/dispatch/dispatcher.h"

namespace wigeonkeel::dispatch
{

/// Sends the looks at workers that are due.
void renewWorkers(Dispatcher &dispatcher, MonotonicTime now);

/// Resolves orders without an answer, stops tasks that stand still, and gives up workers whose lease has ended.
void superviseWorkers(Dispatcher &dispatcher, MonotonicTime now);

} // namespace wigeonkeel::dispatch
