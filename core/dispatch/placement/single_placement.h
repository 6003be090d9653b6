#pragma once

#include "core/dispatch/placement/step_order.h"

namespace wigeonkeel::dispatch
{

/// Starts the tasks of a step that is not a gang, each on its own. Returns whether a task that can start found no room,
/// and none can be made by pre-emption.
bool placeSingles(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

} // namespace wigeonkeel::dispatch
