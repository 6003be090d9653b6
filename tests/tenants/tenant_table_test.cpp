#include "core/tenants/tenant_table.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;

namespace
{

constexpr Resources task{.cpuMilli = 1000, .memoryMib = 100};

} // namespace

TEST_GROUP(TenantTable){};

// Guards against starts above the cap in any of its resources, and against the platform's tolerance being used.
TEST(TenantTable, TheCapLimitsEachResource)
{
    TenantState tenant{.name = "a", .cap = {.cpuMilli = 3999}};
    CHECK_EQUAL(3U, countWithinCap(tenant, task, 10));
    CHECK_EQUAL(2U, countWithinCap(tenant, task, 2));
    tenant.cap = {.cpuMilli = 9000, .memoryMib = 250};
    CHECK_EQUAL(2U, countWithinCap(tenant, task, 10));
    tenant.cap = {.accelerators = 1};
    CHECK_EQUAL(10U, countWithinCap(tenant, task, 10));
    CHECK_EQUAL(1U, countWithinCap(tenant, {.cpuMilli = 1, .accelerators = 1}, 10));
    tenant.cap = {};
    CHECK_EQUAL(10U, countWithinCap(tenant, task, 10));
    CHECK_FALSE(hasCap(tenant));
}

// Guards against use that is left out: each of the four sums may hold room.
TEST(TenantTable, AllUseCounts)
{
    for (Resources TenantState::*use :
        {&TenantState::running, &TenantState::planned, &TenantState::notFound, &TenantState::stopping}) {
        TenantState tenant{.name = "a", .cap = {.cpuMilli = 3000}};
        tenant.*use = {.cpuMilli = 2500};
        CHECK(usedOfCap(tenant) == Resources{.cpuMilli = 2500});
        CHECK_EQUAL(0U, countWithinCap(tenant, task, 10));
    }
}

// Guards against a count that becomes negative or huge once the cap is lowered below the use.
TEST(TenantTable, NothingStartsBelowALoweredCap)
{
    TenantState tenant{.name = "a", .cap = {.cpuMilli = 1000}, .running = {.cpuMilli = 8000, .memoryMib = 10}};
    CHECK_EQUAL(0U, countWithinCap(tenant, task, 10));
    CHECK_FALSE(isWithinCap(tenant));
    CHECK_EQUAL(10U, countWithinCap(tenant, {.memoryMib = 5}, 10));
    tenant.cap.cpuMilli = 8000;
    CHECK(isWithinCap(tenant));
}

// Guards against limits of a tenant that the operator removed, and against use that is lost with the settings.
TEST(TenantTable, ARemovedTenantKeepsItsUseAndLosesItsLimits)
{
    TenantTable table;
    const std::vector<TenantConfig> both = {{.name = "a", .keys = {}, .weight = 2, .cap = {.cpuMilli = 5}},
        {.name = "b", .keys = {}, .weight = 3, .cap = {.cpuMilli = 6}}};
    configureTenants(table, both);
    const TenantSlot a = addTenant(table, "a");
    table.rows[a].running = {.cpuMilli = 4};
    configureTenants(table, std::span(both).subspan(1));
    CHECK_EQUAL(a, addTenant(table, "a"));
    CHECK(!table.rows[a].isConfigured && !hasCap(table.rows[a]));
    CHECK(table.rows[a].running == Resources{.cpuMilli = 4});
    CHECK(table.rows[addTenant(table, "b")].cap == Resources{.cpuMilli = 6});
    CHECK_EQUAL(3U, table.rows.size());
    CHECK_EQUAL(noTenant, addTenant(table, ""));
}
