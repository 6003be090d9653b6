#pragma once

#include "core/tenants/tenant_config.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace wigeonkeel
{

/// Finds the tenant of a key in constant time for any number of keys. Holds hashes and positions, not the keys.
struct KeyIndex
{
    struct Position
    {
        std::size_t tenant = 0;
        std::size_t key = 0;
    };

    /// Secret of the process: without it, the time of a look-up tells a client nothing about the keys that exist.
    std::uint64_t seed = 0;
    absl::flat_hash_map<std::uint64_t, Position> byHash;
};

/// The tenants must be valid by findTenantProblem().
KeyIndex buildKeyIndex(std::span<const TenantConfig> tenants, std::uint64_t seed);

/// Position of the tenant that has the key; nothing if none has it. `tenants` are those that the index was built from.
std::optional<std::size_t> findTenantByKey(
    const KeyIndex &index, std::span<const TenantConfig> tenants, std::string_view key);

} // namespace wigeonkeel
