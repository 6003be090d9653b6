#pragma once

#include "core/resources.h"

#include <span>
#include <string>
#include <vector>

namespace wigeonkeel
{

/// A customer of the cluster, as the operator's settings define it.
struct TenantConfig
{
    std::string name;
    /// API keys of the tenant's clients. Secret: they must not appear in logs, metrics, records or answers.
    std::vector<std::string> keys;
    /// Share of the cluster when it is full, and the number of jobs a second that the tenant is entitled to.
    double weight = 1.0;
    /// Most that may run of the tenant on all workers; 0 of a resource means no limit.
    Resources cap;
};

/// Describes the first error of the definitions by the path of its field; empty if they are valid. Never quotes a key.
std::string findTenantProblem(std::span<const TenantConfig> tenants);

} // namespace wigeonkeel
