#pragma once

#include "core/resources.h"
#include "core/tenants/submission_rate.h"
#include "core/tenants/tenant_config.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// Index of a tenant in its table.
using TenantSlot = std::uint32_t;
/// Slot of jobs that belong to no tenant. They have no cap.
inline constexpr TenantSlot noTenant = 0;

/// What is known of a tenant's work, and its settings in force.
struct TenantState
{
    std::string name;
    /// Whether the settings in force have the tenant. Otherwise nothing limits what is left of its work.
    bool isConfigured = false;
    double weight = 1.0;
    /// 0 of a resource means no limit.
    Resources cap;
    /// Runs that workers have or may have.
    Resources running;
    /// Room that is reserved for the tenant's steps.
    Resources planned;
    /// Runs of a former leader that may exist and have not been found yet.
    Resources notFound;
    /// Runs of ended jobs that a former leader was stopping.
    Resources stopping;
    SubmissionRate rate;
    /// Live jobs beyond the tenant's rate that have not started.
    std::uint32_t waitingExcess = 0;
    /// The last pass of the placement held a step back because of the cap.
    bool isHeldByCap = false;
    /// What the tenant's jobs take of the leader's memory, in bytes.
    std::size_t jobBytes = 0;
    std::uint64_t rejectedExcess = 0;
    std::uint64_t rejectedByCap = 0;
};

/// All tenants that the settings or a job name. Grows with the number of tenants only.
struct TenantTable
{
    /// The first row stands for jobs without a tenant.
    std::vector<TenantState> rows = std::vector<TenantState>(1);
    absl::flat_hash_map<std::string, TenantSlot> byName;
};

/// Slot of the tenant, which is added if it is new; `noTenant` for an empty name.
TenantSlot addTenant(TenantTable &table, std::string_view name);

/// Applies the settings in force. Tenants that they don't have lose their limits and keep their row.
void configureTenants(TenantTable &table, std::span<const TenantConfig> tenants);

/// All that counts against the tenant's cap.
Resources usedOfCap(const TenantState &tenant);

bool hasCap(const TenantState &tenant);

/// Number of further tasks of this size that the tenant's cap allows, at most `limit`.
std::uint32_t countWithinCap(const TenantState &tenant, const Resources &size, std::uint32_t limit);

/// Whether what the tenant uses now is within its cap. It may be above after the cap was lowered.
bool isWithinCap(const TenantState &tenant);

} // namespace wigeonkeel
