#pragma once

#include "core/dispatch/dispatcher.h"

namespace wigeonkeel::dispatch
{

/// Sends the renewals that are due.
void renewWorkers(Dispatcher &dispatcher, MonotonicTime now);

/// Resolves unanswered orders, stops stalled tasks, and concludes the runs of unreachable workers whose lease has
/// expired.
void superviseWorkers(Dispatcher &dispatcher, Now now);

} // namespace wigeonkeel::dispatch
