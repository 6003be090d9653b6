#include "core/tenants/key_index.h"

#include <xxhash.h>

namespace wigeonkeel
{

namespace
{

std::uint64_t hashOf(std::string_view key, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

/// Compares all bytes, so that the time doesn't tell how many of them are right.
bool isEqualInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    volatile unsigned char difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference = difference | static_cast<unsigned char>(left[i] ^ right[i]);
    }
    return difference == 0;
}

/// False if two different keys have the same hash.
bool addKeys(KeyIndex &index, std::span<const TenantConfig> tenants)
{
    for (std::size_t tenant = 0; tenant < tenants.size(); ++tenant) {
        const auto &keys = tenants[tenant].keys;
        for (std::size_t number = 0; number < keys.size(); ++number) {
            const KeyIndex::Position position{.tenant = tenant, .key = number};
            const auto [found, isNew] = index.byHash.emplace(hashOf(keys[number], index.seed), position);
            if (!isNew && tenants[found->second.tenant].keys[found->second.key] != keys[number]) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

KeyIndex buildKeyIndex(std::span<const TenantConfig> tenants, std::uint64_t seed)
{
    KeyIndex index{.seed = seed, .byHash = {}};
    while (!addKeys(index, tenants)) {
        index.byHash.clear();
        ++index.seed;
    }
    return index;
}

std::optional<std::size_t> findTenantByKey(
    const KeyIndex &index, std::span<const TenantConfig> tenants, std::string_view key)
{
    const auto found = index.byHash.find(hashOf(key, index.seed));
    if (found == index.byHash.end()
        || !isEqualInConstantTime(tenants[found->second.tenant].keys[found->second.key], key)) {
        return std::nullopt;
    }
    return found->second.tenant;
}

} // namespace wigeonkeel
