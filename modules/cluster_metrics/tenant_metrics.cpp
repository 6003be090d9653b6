#include "modules/cluster_metrics/tenant_metrics.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wigeonkeel::dispatch
{

namespace
{

/// Slots of the tenants in force, those with the largest weights first and those of equal weight by name.
std::vector<TenantSlot> shownTenants(const TenantTable &table)
{
    std::vector<TenantSlot> slots;
    for (TenantSlot slot = 0; slot < table.rows.size(); ++slot) {
        if (table.rows[slot].isConfigured) {
            slots.push_back(slot);
        }
    }
    std::ranges::sort(slots, {}, [&table](TenantSlot slot) {
        return std::pair(-table.rows[slot].weight, std::string_view(table.rows[slot].name));
    });
    slots.resize(std::min(slots.size(), maxTenantsWithMetrics));
    return slots;
}

/// Number of accepted jobs of each tenant, by slot, that have not started.
std::vector<std::size_t> waitingJobs(const Dispatcher &dispatcher)
{
    std::vector<std::size_t> waiting(dispatcher.tenants.rows.size(), 0);
    for (const auto &[id, job] : dispatcher.jobs.live) {
        waiting[job->tenant] += job->accepted && !job->started && !isEnded(job->state) ? 1 : 0;
    }
    return waiting;
}

prometheus::MetricFamily emptyFamily(std::string_view name, prometheus::MetricType type)
{
    return {.name = "wigeonkeel_tenant_" + std::string(name),
        .help = "See docs/OPERATIONS.md.",
        .type = type,
        .metric = {}};
}

void addRow(prometheus::MetricFamily &family, std::vector<prometheus::ClientMetric::Label> labels, double value)
{
    prometheus::ClientMetric metric;
    metric.label = std::move(labels);
    metric.counter.value = value;
    metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
}

} // namespace

std::vector<prometheus::MetricFamily> tenantMetrics(const Dispatcher &dispatcher)
{
    const std::vector<TenantSlot> slots = shownTenants(dispatcher.tenants);
    if (slots.empty()) {
        return {};
    }
    const std::vector<std::size_t> waiting = waitingJobs(dispatcher);
    std::vector<prometheus::MetricFamily> families;
    const auto addGauge = [&](std::string_view name, auto valueOf) {
        families.push_back(emptyFamily(name, prometheus::MetricType::Gauge));
        for (const TenantSlot slot : slots) {
            const TenantState &tenant = dispatcher.tenants.rows[slot];
            addRow(families.back(), {{"tenant", tenant.name}}, static_cast<double>(valueOf(tenant, slot)));
        }
    };
    const auto addAmount = [&addGauge](std::string_view name, auto amountOf, std::int64_t Resources::*part) {
        addGauge(name, [&](const TenantState &tenant, TenantSlot) { return amountOf(tenant).*part; });
    };
    const auto capOf = [](const TenantState &tenant) { return tenant.cap; };
    addAmount("running_cpu_milli", usedOfCap, &Resources::cpuMilli);
    addAmount("running_memory_mib", usedOfCap, &Resources::memoryMib);
    addAmount("running_accelerators", usedOfCap, &Resources::accelerators);
    addAmount("cap_cpu_milli", capOf, &Resources::cpuMilli);
    addAmount("cap_memory_mib", capOf, &Resources::memoryMib);
    addAmount("cap_accelerators", capOf, &Resources::accelerators);
    addGauge("waiting_jobs", [&waiting](const TenantState &, TenantSlot slot) { return waiting[slot]; });
    addGauge("waiting_excess_jobs", [](const TenantState &tenant, TenantSlot) { return tenant.waitingExcess; });
    addGauge("weight", [](const TenantState &tenant, TenantSlot) { return tenant.weight; });
    addGauge("held_by_cap", [](const TenantState &tenant, TenantSlot) { return tenant.isHeldByCap ? 1 : 0; });
    prometheus::MetricFamily rejected = emptyFamily("rejected_jobs_total", prometheus::MetricType::Counter);
    for (const TenantSlot slot : slots) {
        const TenantState &tenant = dispatcher.tenants.rows[slot];
        addRow(rejected, {{"tenant", tenant.name}, {"reason", "cap"}}, static_cast<double>(tenant.rejectedByCap));
        addRow(rejected, {{"tenant", tenant.name}, {"reason", "rate"}}, static_cast<double>(tenant.rejectedExcess));
    }
    families.push_back(std::move(rejected));
    return families;
}

} // namespace wigeonkeel::dispatch
