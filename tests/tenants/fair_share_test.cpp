#include "core/tenants/fair_share.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;

namespace
{

constexpr Resources capacity{.cpuMilli = 10000, .memoryMib = 10000, .accelerators = 10};

/// A table of tenants named a, b, c... with these weights.
TenantTable tableOf(std::span<const double> weights)
{
    std::vector<TenantConfig> tenants;
    for (const double weight : weights) {
        tenants.push_back(
            {.name = std::string(1, static_cast<char>('a' + tenants.size())), .keys = {}, .weight = weight});
    }
    TenantTable table;
    configureTenants(table, tenants);
    return table;
}

} // namespace

TEST_GROUP(TenantFairShare){};

// Guards against a tenant that takes more than its share of the weights and comes before those that have less.
TEST(TenantFairShare, UseIsComparedWithTheShareOfTheWeights)
{
    TenantTable table = tableOf(std::vector<double>{3, 1});
    const std::vector<TenantSlot> waiting = {1, 2};
    table.rows[1].running = {.cpuMilli = 7400};
    table.rows[2].running = {.cpuMilli = 2600};
    std::vector<bool> above = tenantsAboveShare(table, waiting, capacity);
    CHECK(!above[1] && above[2]);
    table.rows[1].running = {.cpuMilli = 7600};
    table.rows[2].running = {.cpuMilli = 2400};
    above = tenantsAboveShare(table, waiting, capacity);
    CHECK(above[1] && !above[2]);
}

// Guards against a tenant that fills the memory with tasks of few processors and counts as below its share.
TEST(TenantFairShare, TheLargestShareOfAnyResourceCounts)
{
    TenantTable table = tableOf(std::vector<double>{1, 1});
    const std::vector<TenantSlot> waiting = {1, 2};
    table.rows[1].running = {.cpuMilli = 100, .memoryMib = 6000};
    table.rows[2].running = {.cpuMilli = 100, .accelerators = 4};
    const std::vector<bool> above = tenantsAboveShare(table, waiting, capacity);
    CHECK(above[1] && !above[2]);
}

// Guards against shares that are reserved for tenants that neither run nor wait for anything.
TEST(TenantFairShare, IdleTenantsHaveNoShare)
{
    TenantTable table = tableOf(std::vector<double>{1, 1, 8});
    table.rows[1].running = {.cpuMilli = 4900};
    const std::vector<TenantSlot> two = {2};
    CHECK_FALSE(tenantsAboveShare(table, two, capacity)[1]);
    const std::vector<TenantSlot> all = {2, 3};
    CHECK(tenantsAboveShare(table, all, capacity)[1]);
}

// Guards against a lone tenant that counts as above its share, a weight of zero with a share, and jobs without a
// tenant that are put behind.
TEST(TenantFairShare, OneTenantAloneHasAllAndAWeightOfZeroHasNothing)
{
    TenantTable table = tableOf(std::vector<double>{1, 0});
    table.rows[noTenant].running = {.cpuMilli = 9000};
    table.rows[1].running = {.cpuMilli = 10000};
    const std::vector<TenantSlot> waiting = {noTenant, 1};
    std::vector<bool> above = tenantsAboveShare(table, waiting, capacity);
    CHECK(!above[noTenant] && !above[1]);
    table.rows[1].running = {.cpuMilli = 100};
    table.rows[2].running = {.cpuMilli = 100};
    above = tenantsAboveShare(table, waiting, capacity);
    CHECK(!above[noTenant] && !above[1] && above[2]);
}
