#pragma once

#include "core/scheduler/explain.h"
#include "core/scheduler/scheduler.h"

#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Daemons, the store's state and, of each daemon, whether the operator's settings are in force there.
std::string statusPage(const Scheduler &scheduler, std::string_view operatorName);

/// Workers that this daemon owns, with capacity and what is free.
std::string workersPage(const Scheduler &scheduler);

/// Tasks on owned workers; of one operator, or of all if the name is empty. At most `limit` tasks.
std::string tasksPage(const Scheduler &scheduler, std::string_view operatorName, std::size_t limit);

std::string explainPage(const Explanation &explanation);

} // namespace wigeonkeel
