#pragma once

#include "core/dispatch/placement/step_order.h"

#include <vector>

namespace wigeonkeel::dispatch
{

/// Queues a request for the step, unless one is open or the step has to wait until it may ask again. Names at most as
/// many workers as the adviser accepts in one call.
void requestAdvice(Dispatcher &dispatcher, const ReadyStep &ready, std::vector<WorkerSlot> workers, MonotonicTime now);

/// Requests advice for workers without a reply for this step so far. False if there are no such workers. True without a
/// request if none is possible now.
bool requestMoreAdvice(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

/// How long the adviser takes for a request that names so many workers; zero for steps that need no advice.
milliseconds adviceTime(const ReadyStep &ready, std::size_t workers);

/// Whether the free room of the allowed workers, together with that of the workers which one more request would add,
/// probably holds the gang.
bool canAdviceFindRoom(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

} // namespace wigeonkeel::dispatch
