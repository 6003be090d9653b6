#pragma once

#include "core/dispatch/configuration.h"

#include <string_view>

namespace wigeonkeel::dispatch
{

enum class AccessRefusal : std::uint8_t { None, MissingKey, UnknownKey };

/// For log lines and metrics: "missing_key" or "unknown_key"; empty for `None`.
std::string_view refusalName(AccessRefusal refusal);

/// Whether a client's call may be handled, and for whom.
struct ClientAccess
{
    AccessRefusal refusal = AccessRefusal::None;
    /// Name of the tenant whose key the call carries; empty for none. Refers to the configuration.
    std::string_view tenant;
    /// The call may only use jobs of its tenant.
    bool isRestricted = false;
};

/// Checks the key of a call on a queue. `authorization` is the value of the Authorization header, "Bearer KEY"; empty
/// if there is none. Without tenants in the configuration, calls need no key.
ClientAccess checkAccess(const Configuration &configuration, const QueueConfig &queue, std::string_view authorization);

/// Whether a call with this access may use a job of the tenant. Jobs without a tenant were submitted without a key, or
/// before the operator defined tenants.
bool mayUseJob(bool isRestricted, std::string_view callTenant, std::string_view jobTenant);

} // namespace wigeonkeel::dispatch
