#include "core/json_text.h"
#include "core/tenants/tenant_config.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <limits>

using namespace wigeonkeel;

namespace
{

/// Fails unless the problem begins with the path and quotes no key.
void checkProblem(std::span<const TenantConfig> tenants, std::string_view path)
{
    const std::string problem = findTenantProblem(tenants);
    STRNCMP_EQUAL(std::string(path).c_str(), problem.c_str(), path.size());
    CHECK(problem.find("secret") == std::string::npos);
}

} // namespace

TEST_GROUP(TenantConfig){};

TEST(TenantConfig, ValidTenantsHaveNoProblem)
{
    const std::vector<TenantConfig> tenants = {{.name = "a", .keys = {"secret1", "secret2"}, .weight = 0.5},
        {.name = "b", .keys = {}, .weight = 0, .cap = {.cpuMilli = tenantCapRange.most}},
        {.name = "a b", .keys = {"secret3", "secret3"}}};
    STRCMP_EQUAL("", findTenantProblem(tenants).c_str());
    STRCMP_EQUAL("", findTenantProblem({}).c_str());
}

// Guards against invalid tenants that come into force, and against errors that don't say where they are.
TEST(TenantConfig, EachErrorNamesThePathOfItsField)
{
    const TenantConfig good{.name = "a", .keys = {"secret1"}};
    checkProblem(std::vector{good, TenantConfig{.name = "", .keys = {"secret2"}}}, "tenants[1].name: ");
    checkProblem(std::vector{good, TenantConfig{.name = "a", .keys = {"secret2"}}}, "tenants[1].name: ");
    checkProblem(std::vector{good, TenantConfig{.name = "b", .keys = {"secret2", ""}}}, "tenants[1].apiKeys[1]: ");
    checkProblem(
        std::vector{good, TenantConfig{.name = "b", .keys = {"secret2", "secret1"}}}, "tenants[1].apiKeys[1]: ");
    for (const double weight : {-0.1, std::nan(""), std::numeric_limits<double>::infinity()}) {
        checkProblem(std::vector{TenantConfig{.name = "b", .keys = {}, .weight = weight}}, "tenants[0].weight: ");
    }
    for (const std::int64_t amount : {std::int64_t{-1}, tenantCapRange.most + 1}) {
        checkProblem(
            std::vector{TenantConfig{.name = "b", .keys = {}, .cap = {.cpuMilli = amount}}}, "tenants[0].cap: ");
        checkProblem(
            std::vector{TenantConfig{.name = "b", .keys = {}, .cap = {.memoryMib = amount}}}, "tenants[0].cap: ");
        checkProblem(
            std::vector{TenantConfig{.name = "b", .keys = {}, .cap = {.accelerators = amount}}}, "tenants[0].cap: ");
    }
}
