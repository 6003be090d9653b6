#include "core/tenants/tenant_table.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// Calls `visit` with the cap, the use and the size of each resource that has a limit.
template <typename Visit>
void forEachLimit(const TenantState &tenant, const Resources &size, Visit visit)
{
    const Resources used = usedOfCap(tenant);
    const auto visitLimited = [&visit](std::int64_t cap, std::int64_t use, std::int64_t each) {
        if (cap > 0) {
            visit(cap, use, each);
        }
    };
    visitLimited(tenant.cap.cpuMilli, used.cpuMilli, size.cpuMilli);
    visitLimited(tenant.cap.memoryMib, used.memoryMib, size.memoryMib);
    visitLimited(tenant.cap.accelerators, used.accelerators, size.accelerators);
}

} // namespace

TenantSlot addTenant(TenantTable &table, std::string_view name)
{
    if (name.empty()) {
        return noTenant;
    }
    const auto [found, isNew] = table.byName.try_emplace(std::string(name), static_cast<TenantSlot>(table.rows.size()));
    if (isNew) {
        table.rows.push_back({.name = std::string(name)});
    }
    return found->second;
}

void configureTenants(TenantTable &table, std::span<const TenantConfig> tenants)
{
    for (TenantState &row : table.rows) {
        row.isConfigured = false;
        row.cap = {};
    }
    for (const TenantConfig &tenant : tenants) {
        TenantState &row = table.rows[addTenant(table, tenant.name)];
        row.isConfigured = true;
        row.weight = tenant.weight;
        row.cap = tenant.cap;
    }
}

Resources usedOfCap(const TenantState &tenant)
{
    return tenant.running + tenant.planned + tenant.notFound + tenant.stopping;
}

bool hasCap(const TenantState &tenant)
{
    return tenant.cap != Resources{};
}

std::uint32_t countWithinCap(const TenantState &tenant, const Resources &size, std::uint32_t limit)
{
    std::int64_t count = limit;
    forEachLimit(tenant, size, [&count](std::int64_t cap, std::int64_t used, std::int64_t each) {
        // A task that needs nothing of the resource starts also while the use of it is above a lowered cap.
        if (each > 0) {
            count = std::min(count, std::max<std::int64_t>(0, cap - used) / each);
        }
    });
    return static_cast<std::uint32_t>(count);
}

bool isWithinCap(const TenantState &tenant)
{
    bool within = true;
    forEachLimit(tenant, {}, [&within](std::int64_t cap, std::int64_t used, std::int64_t) { within &= used <= cap; });
    return within;
}

} // namespace wigeonkeel
