#pragma once

#include "core/config/operator_settings.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace wigeonkeel
{

enum class OperatorSection : std::uint8_t { Operator, Team, Workload, Policy };

enum class OperatorValueType : std::uint8_t { Text, Name, Integer, Milliseconds, Boolean, Kind };

/// The part of the settings that a section fills; only the pointer of the section's kind is set.
struct SectionTarget
{
    OperatorSettings *operatorSettings = nullptr;
    TeamSettings *team = nullptr;
    WorkloadSettings *workload = nullptr;
    std::string *policy = nullptr;
};

/// A checked value; the member of the row's type is set.
struct SettingValue
{
    std::string_view text;
    std::int64_t number = 0;
    bool flag = false;
    TaskKind kind = TaskKind::Batch;
};

/// One row of the table of operators' settings. Parsing, printing and the reference page all follow these rows.
struct OperatorSettingSpec
{
    OperatorSection section = OperatorSection::Operator;
    std::string_view key;
    OperatorValueType type = OperatorValueType::Text;
    /// For people: "ms", "MiB", "tasks"; empty if none.
    std::string_view unit;
    /// Text form of the default; ignored if the key is required.
    std::string_view defaultValue;
    /// Range of numbers, both ends allowed. Of texts: `max` is the longest length in bytes.
    std::int64_t min = 0;
    std::int64_t max = INT64_MAX;
    bool required = false;
    std::string_view description;
    void (*store)(const SectionTarget &target, const SettingValue &value) = nullptr;
    std::string (*print)(const SectionTarget &target) = nullptr;
};

std::span<const OperatorSettingSpec> operatorSettingTable();

/// "team", "workload" and so on, as in a section's header.
std::string_view toString(OperatorSection section);

/// Null if the section has no such key.
const OperatorSettingSpec *findOperatorSetting(OperatorSection section, std::string_view key);

/// Checks a value against its row. Returns an empty text, or what was expected and what was found.
std::string checkOperatorValue(const OperatorSettingSpec &spec, std::string_view text, SettingValue &value);

/// True for 1 to 40 letters, digits, '_', '-' and '.'.
bool isValidName(std::string_view name);

/// The reference page in Markdown, docs/operator-settings.md.
std::string operatorSettingsReference();

} // namespace wigeonkeel
