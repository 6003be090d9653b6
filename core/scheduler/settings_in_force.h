#pragma once

#include "core/action.h"
#include "core/cell/policy.h"

#include <span>

namespace wigeonkeel
{

struct Scheduler;

/// Names the policies that operators' settings may choose from. They must outlive the scheduler.
void setAvailablePolicies(Scheduler &scheduler, std::span<const PolicyPlugin> policies);

/// Puts what changed in the operators' settings in force for tasks that are not placed yet. A policy that this daemon
/// does not have is logged once for each generation, and the default of the kind is used.
void takeChangedSettings(Scheduler &scheduler, Actions &actions);

} // namespace wigeonkeel
