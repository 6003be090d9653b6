#include "core/tenants/tenant_config.h"

#include "core/json_text.h"

#include <algorithm>
#include <cmath>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

namespace wigeonkeel
{

std::string findTenantProblem(std::span<const TenantConfig> tenants)
{
    absl::flat_hash_set<std::string_view> names;
    absl::flat_hash_map<std::string_view, std::size_t> owners;
    for (std::size_t position = 0; position < tenants.size(); ++position) {
        const TenantConfig &tenant = tenants[position];
        if (tenant.name.empty()) {
            return fmt::format("tenants[{}].name: a tenant needs a name", position);
        }
        if (!names.insert(tenant.name).second) {
            return fmt::format("tenants[{}].name: there are two tenants named '{}'", position, tenant.name);
        }
        if (!std::isfinite(tenant.weight) || tenant.weight < 0) {
            return fmt::format("tenants[{}].weight: expected a number that is not negative", position);
        }
        const Resources &cap = tenant.cap;
        if (isNegative(cap) || std::max({cap.cpuMilli, cap.memoryMib, cap.accelerators}) > tenantCapRange.most) {
            return fmt::format("tenants[{}].cap: expected amounts from 0 to 2^53", position);
        }
        for (std::size_t number = 0; number < tenant.keys.size(); ++number) {
            const std::string_view key = tenant.keys[number];
            if (key.empty()) {
                return fmt::format("tenants[{}].apiKeys[{}]: a key is empty", position, number);
            }
            const auto [owner, isNew] = owners.emplace(key, position);
            if (!isNew && owner->second != position) {
                return fmt::format("tenants[{}].apiKeys[{}]: tenant '{}' has the same key", position, number,
                    tenants[owner->second].name);
            }
        }
    }
    return {};
}

} // namespace wigeonkeel
