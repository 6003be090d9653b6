#include "modules/operator_http/authentication.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

/// Compared with the keys of unknown names, whose answer is "no" in any case.
constexpr std::string_view placeholderKey = "0123456789abcdef0123456789abcdef";

} // namespace

bool equalInConstantTime(std::string_view received, std::string_view expected)
{
    const std::string_view compared = expected.empty() ? placeholderKey : expected;
    // `volatile` keeps the compiler from leaving the loop at the first difference.
    volatile unsigned char difference = received.size() == expected.size() ? 0 : 1;
    for (std::size_t i = 0; i < received.size(); ++i) {
        const auto left = static_cast<unsigned char>(received[i]);
        const auto right = static_cast<unsigned char>(compared[i % compared.size()]);
        difference = static_cast<unsigned char>(difference | (left ^ right));
    }
    return difference == 0;
}

bool isAuthenticated(const Settings &settings, std::string_view operatorName, std::string_view key)
{
    const auto found = settings.freeValues.find(fmt::format("operators.{}", operatorName));
    const bool known = found != settings.freeValues.end() && !found->second.empty();
    const std::string_view expected = known ? std::string_view(found->second) : placeholderKey;
    const bool equal = equalInConstantTime(key, expected);
    return known && equal;
}

bool isAdmin(const Settings &settings, std::string_view operatorName)
{
    std::string_view rest = settings.text("operator_http.admins");
    while (!rest.empty()) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        std::string_view admin = rest.substr(0, comma);
        admin.remove_prefix(std::min(admin.find_first_not_of(' '), admin.size()));
        admin = admin.substr(0, admin.find_last_not_of(' ') + 1);
        if (!operatorName.empty() && admin == operatorName) {
            return true;
        }
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return false;
}

} // namespace wigeonkeel
