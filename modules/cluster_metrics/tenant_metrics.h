#pragma once

#include "core/dispatch/dispatcher.h"

#include <vector>

#include <prometheus/metric_family.h>

namespace wigeonkeel::dispatch
{

/// Most tenants with metrics: each has some ten rows on the page, and a deployment may have a thousand tenants.
inline constexpr std::size_t maxTenantsWithMetrics = 100;

/// What the leader knows of the tenants in force with the largest weights; empty without tenants.
std::vector<prometheus::MetricFamily> tenantMetrics(const Dispatcher &dispatcher);

} // namespace wigeonkeel::dispatch
