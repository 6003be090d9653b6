#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

enum class SettingType : std::uint8_t { Text, Integer, Milliseconds, Boolean };

/// One row of the settings table. The reference page is printed from these rows.
struct SettingSpec
{
    std::string_view section;
    std::string_view key;
    SettingType type = SettingType::Text;
    /// For people: "ms", "bytes", "tasks"; empty if none.
    std::string_view unit;
    /// Text form of the default; ignored if the setting is required.
    std::string_view defaultValue;
    /// Range of numbers, both ends allowed.
    std::int64_t min = 0;
    std::int64_t max = INT64_MAX;
    bool required = false;
    std::string_view description;
};

struct SettingProblem
{
    int line = 0;
    std::string text;
};

/// Values by "section.key". All rows of the table are present after a clean parse.
struct Settings
{
    std::map<std::string, std::string, std::less<>> values;
    /// Entries of free sections, such as [operators], by "section.key".
    std::map<std::string, std::string, std::less<>> freeValues;

    /// Empty if the name is not in the table.
    std::string_view text(std::string_view name) const;
    std::int64_t integer(std::string_view name) const;
    milliseconds duration(std::string_view name) const;
    bool boolean(std::string_view name) const;
};

/// The settings that the kernel itself knows; modules add theirs when they register.
std::span<const SettingSpec> kernelSettings();

/// Checks INI text against the table. Names in `freeSections` take any key.
Settings parseSettings(std::string_view text, std::span<const SettingSpec> table,
    std::span<const std::string_view> freeSections, std::vector<SettingProblem> &problems);

/// The reference page in Markdown.
std::string settingsReference(std::span<const SettingSpec> table);

} // namespace wigeonkeel
