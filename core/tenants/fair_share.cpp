#include "core/tenants/fair_share.h"

namespace wigeonkeel
{

std::vector<bool> tenantsAboveShare(
    const TenantTable &table, std::span<const TenantSlot> waiting, const Resources &capacity)
{
    std::vector<bool> isActive(table.rows.size(), false);
    for (TenantSlot slot = 0; slot < table.rows.size(); ++slot) {
        isActive[slot] = table.rows[slot].running != Resources{};
    }
    for (const TenantSlot slot : waiting) {
        isActive[slot] = true;
    }
    isActive[noTenant] = false;
    double weights = 0;
    for (TenantSlot slot = 0; slot < table.rows.size(); ++slot) {
        weights += isActive[slot] ? table.rows[slot].weight : 0.0;
    }
    std::vector<bool> above(table.rows.size(), false);
    for (TenantSlot slot = 0; slot < table.rows.size(); ++slot) {
        const TenantState &tenant = table.rows[slot];
        above[slot] = isActive[slot] && dominantShare(tenant.running, capacity) * weights > tenant.weight;
    }
    return above;
}

} // namespace wigeonkeel
