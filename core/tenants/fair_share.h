#pragma once

#include "core/tenants/tenant_table.h"

#include <span>
#include <vector>

namespace wigeonkeel
{

/// For each slot of the table, whether the tenant's runs take more than its fair share of the capacity: its weight over
/// the sum of the weights of the tenants that have runs or are named in `waiting`. A tenant's use is its dominant
/// share, the largest share of a resource that its runs take, because tasks need processors and memory in unlike
/// proportions. Jobs without a tenant are never above their share.
std::vector<bool> tenantsAboveShare(
    const TenantTable &table, std::span<const TenantSlot> waiting, const Resources &capacity);

} // namespace wigeonkeel
