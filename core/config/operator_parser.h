#pragma once

#include "core/config/operator_settings.h"
#include "core/settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// Largest settings text in bytes. With the audit trail and JSON's escapes a record stays below the store's 1 MB.
inline constexpr std::size_t maxSettingsBytes = 192 << 10;

/// Reads and checks an operator's INI text. Each problem names the line, what was found and what is expected. The
/// result holds everything that is valid; rows without a valid value have their default.
OperatorSettings parseOperatorSettings(
    std::string_view operatorName, std::string_view text, std::vector<SettingProblem> &problems);

/// "line 3: [workload laundry] urgency: ...", one problem a line.
std::string describe(const std::vector<SettingProblem> &problems);

/// INI text of settings, which parses to the same settings. Keys that have their default are left out.
std::string printOperatorSettings(const OperatorSettings &settings);

} // namespace wigeonkeel
