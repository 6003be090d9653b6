#pragma once

#include "core/dispatch/dispatcher.h"

#include <string_view>

namespace wigeonkeel::dispatch
{

/// Lets the worker accept starts, as if the leader had stored and contacted it.
inline void makeAcceptStarts(const Dispatcher &dispatcher, Worker &worker)
{
    worker.recorded = true;
    worker.contacted = true;
    worker.contactedToken = dispatcher.token;
}

/// Adds a worker of the pool `pool` that accepts starts to the tables of a leader.
inline Worker &addIdleWorker(Dispatcher &dispatcher, std::string_view id)
{
    Worker &worker = dispatcher.workers.workers[addWorker(dispatcher.workers, id)];
    worker.entry.pool = "pool";
    worker.entry.incarnation = 1;
    worker.entry.capacity = {.cpuMilli = 4000, .memoryMib = 8000};
    makeAcceptStarts(dispatcher, worker);
    return worker;
}

} // namespace wigeonkeel::dispatch
