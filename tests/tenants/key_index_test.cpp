#include "core/tenants/key_index.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace wigeonkeel;

namespace
{

constexpr std::size_t tenantCount = 1000;
constexpr std::size_t keysPerTenant = 10;

std::vector<TenantConfig> manyTenants()
{
    std::vector<TenantConfig> tenants;
    for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
        tenants.push_back({.name = fmt::format("t{}", tenant), .keys = {}});
        for (std::size_t key = 0; key < keysPerTenant; ++key) {
            tenants.back().keys.push_back(fmt::format("wk-{:05}-{}", tenant, key));
        }
    }
    return tenants;
}

} // namespace

TEST_GROUP(TenantKeyIndex){};

// Guards against a key that is lost or given to another tenant among thousands, for any seed.
TEST(TenantKeyIndex, EachOfTenThousandKeysLeadsToItsTenant)
{
    const std::vector<TenantConfig> tenants = manyTenants();
    for (const std::uint64_t seed : {std::uint64_t{0}, std::uint64_t{7}, ~std::uint64_t{0}}) {
        const KeyIndex index = buildKeyIndex(tenants, seed);
        CHECK_EQUAL(tenantCount * keysPerTenant, index.byHash.size());
        for (std::size_t tenant = 0; tenant < tenants.size(); ++tenant) {
            for (const std::string &key : tenants[tenant].keys) {
                CHECK(findTenantByKey(index, tenants, key) == tenant);
            }
        }
    }
}

// Guards against keys that are accepted although they differ in one byte, in case or in length.
TEST(TenantKeyIndex, SimilarKeysAreUnknown)
{
    const std::vector<TenantConfig> tenants = manyTenants();
    const KeyIndex index = buildKeyIndex(tenants, 5);
    const std::string key = tenants[17].keys[3];
    for (std::size_t i = 0; i < key.size(); ++i) {
        std::string other = key;
        other[i] = static_cast<char>(other[i] ^ 0x40);
        CHECK_FALSE(findTenantByKey(index, tenants, other).has_value());
    }
    CHECK_FALSE(findTenantByKey(index, tenants, key + "0").has_value());
    CHECK_FALSE(findTenantByKey(index, tenants, key.substr(1)).has_value());
    CHECK_FALSE(findTenantByKey(index, tenants, "").has_value());
}

// Guards against a look-up that accepts any key with the hash of a valid one.
TEST(TenantKeyIndex, AKeyWithTheHashOfAnotherIsUnknown)
{
    const std::vector<TenantConfig> tenants = {{.name = "a", .keys = {"right"}}};
    const std::vector<TenantConfig> others = {{.name = "a", .keys = {"wrong"}}};
    const KeyIndex index = buildKeyIndex(tenants, 3);
    CHECK(findTenantByKey(index, tenants, "right") == std::size_t{0});
    // The entry of "right" now refers to another key.
    CHECK_FALSE(findTenantByKey(index, others, "right").has_value());
}

// Guards against tenants without keys, and a configuration without tenants.
TEST(TenantKeyIndex, WithoutKeysNothingIsFound)
{
    const std::vector<TenantConfig> keyless = {{.name = "a", .keys = {}}};
    CHECK_FALSE(findTenantByKey(buildKeyIndex(keyless, 1), keyless, "x").has_value());
    CHECK_FALSE(findTenantByKey(buildKeyIndex({}, 1), {}, "x").has_value());
    CHECK_FALSE(findTenantByKey(KeyIndex{}, {}, "x").has_value());
}
