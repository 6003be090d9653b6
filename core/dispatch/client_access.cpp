#include "core/dispatch/client_access.h"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view scheme = "bearer";
constexpr std::string_view blanks = " \t";

/// Empty if the header names another scheme or no key.
std::string_view bearerKey(std::string_view authorization)
{
    const std::string_view name = authorization.substr(0, scheme.size());
    const bool isBearer = std::ranges::equal(
        name, scheme, {}, [](char letter) { return absl::ascii_tolower(static_cast<unsigned char>(letter)); });
    const std::string_view rest = isBearer ? authorization.substr(scheme.size()) : std::string_view();
    const std::size_t first = rest.find_first_not_of(blanks);
    if (first == 0 || first == std::string_view::npos) {
        return {};
    }
    return rest.substr(first, rest.find_last_not_of(blanks) - first + 1);
}

} // namespace

std::string_view refusalName(AccessRefusal refusal)
{
    switch (refusal) {
    case AccessRefusal::MissingKey:
        return "missing_key";
    case AccessRefusal::UnknownKey:
        return "unknown_key";
    case AccessRefusal::None:
        break;
    }
    return {};
}

ClientAccess checkAccess(const Configuration &configuration, const QueueConfig &queue, std::string_view authorization)
{
    if (!configuration.tenants) {
        return {};
    }
    const std::string_view key = bearerKey(authorization);
    const auto tenant = key.empty() ? std::nullopt : findTenantByKey(configuration.keys, *configuration.tenants, key);
    if (tenant) {
        return {.tenant = (*configuration.tenants)[*tenant].name, .isRestricted = !queue.isPublic};
    }
    if (queue.isPublic) {
        return {};
    }
    return {.refusal = key.empty() ? AccessRefusal::MissingKey : AccessRefusal::UnknownKey};
}

bool mayUseJob(bool isRestricted, std::string_view callTenant, std::string_view jobTenant)
{
    return !isRestricted || jobTenant.empty() || callTenant == jobTenant;
}

} // namespace wigeonkeel::dispatch
