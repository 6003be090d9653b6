#pragma once

#include "core/settings.h"

#include <string_view>

namespace wigeonkeel
{

/// Compares a received secret with the expected one. The time taken depends on the received text's length only, so
/// that it tells nothing about the expected one.
bool equalInConstantTime(std::string_view received, std::string_view expected);

/// True if the section [operators] holds this name with this key. Takes the same time for unknown names.
bool isAuthenticated(const Settings &settings, std::string_view operatorName, std::string_view key);

/// True if the setting operator_http.admins lists the operator.
bool isAdmin(const Settings &settings, std::string_view operatorName);

} // namespace wigeonkeel
