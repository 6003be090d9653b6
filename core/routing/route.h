#pragma once

#include "core/routing/circuit_breaker.h"
#include "core/routing/latency.h"
#include "core/routing/retry_budget.h"

namespace wigeonkeel
{

/// What this daemon has learned about sending to one peer or worker.
struct Route
{
    CircuitBreaker breaker;
    LatencyAverage latency;
    RetryBudget budget;
};

} // namespace wigeonkeel
