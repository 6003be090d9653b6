#include "modules/cluster_metrics/tenant_metrics.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

TEST_GROUP(TenantMetrics)
{
    Outbox outbox;
    Dispatcher dispatcher{outbox, 1, MonotonicTime(milliseconds(0)), EndRetention(DispatchBounds{}.keepEnded)};

    void configure(const std::vector<TenantConfig> &tenants)
    {
        Configuration configuration;
        configuration.tenants = tenants;
        setConfiguration(dispatcher, configuration);
    }

    std::string text()
    {
        return prometheus::TextSerializer().Serialize(tenantMetrics(dispatcher));
    }

    void checkLine(std::string_view line)
    {
        CHECK(text().find(fmt::format("\n{}\n", line)) != std::string::npos);
    }
};

TEST(TenantMetrics, EachTenantInForceHasItsRows)
{
    CHECK(tenantMetrics(dispatcher).empty());
    configure({{.name = "a\"b", .keys = {"s3cr3t"}, .weight = 2.5, .cap = {.cpuMilli = 64000, .memoryMib = 512}},
        {.name = "c", .keys = {}}});
    TenantState &row = dispatcher.tenants.rows[1];
    row.running = {.cpuMilli = 1500, .memoryMib = 64};
    row.planned = {.cpuMilli = 500};
    row.rejectedByCap = 3;
    row.rejectedExcess = 4;
    row.isHeldByCap = true;
    checkLine(R"(wigeonkeel_tenant_running_cpu_milli{tenant="a\"b"} 2000)");
    checkLine(R"(wigeonkeel_tenant_running_memory_mib{tenant="a\"b"} 64)");
    checkLine(R"(wigeonkeel_tenant_cap_cpu_milli{tenant="a\"b"} 64000)");
    checkLine(R"(wigeonkeel_tenant_cap_memory_mib{tenant="c"} 0)");
    checkLine(R"(wigeonkeel_tenant_weight{tenant="a\"b"} 2.5)");
    checkLine(R"(wigeonkeel_tenant_held_by_cap{tenant="a\"b"} 1)");
    checkLine(R"(wigeonkeel_tenant_rejected_jobs_total{tenant="a\"b",reason="cap"} 3)");
    checkLine(R"(wigeonkeel_tenant_rejected_jobs_total{tenant="a\"b",reason="rate"} 4)");
    checkLine(R"(wigeonkeel_tenant_waiting_jobs{tenant="c"} 0)");
    CHECK(text().find("s3cr3t") == std::string::npos);
}

// Guards against a page that grows without bound, and against tenants that the operator removed.
TEST(TenantMetrics, TheLargestWeightsAreShownUpToTheLimit)
{
    constexpr std::size_t many = 300;
    std::vector<TenantConfig> tenants;
    tenants.reserve(many);
    for (std::size_t i = 0; i < many; ++i) {
        tenants.push_back({.name = fmt::format("t{}", i), .keys = {}, .weight = static_cast<double>(i)});
    }
    configure(tenants);
    const auto families = tenantMetrics(dispatcher);
    for (const prometheus::MetricFamily &family : families) {
        CHECK(family.metric.size() <= 2 * maxTenantsWithMetrics);
    }
    CHECK_EQUAL(maxTenantsWithMetrics, families.front().metric.size());
    CHECK(text().find("tenant=\"t299\"") != std::string::npos);
    CHECK(text().find("tenant=\"t200\"") != std::string::npos);
    CHECK(text().find("tenant=\"t199\"") == std::string::npos);
    tenants.resize(5);
    configure(tenants);
    CHECK_EQUAL(5U, tenantMetrics(dispatcher).front().metric.size());
}
