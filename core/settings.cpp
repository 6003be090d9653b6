#include "core/settings.h"

#include "core/ini.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

std::string_view typeName(SettingType type)
{
    switch (type) {
    case SettingType::Text:
        return "text";
    case SettingType::Integer:
        return "integer";
    case SettingType::Milliseconds:
        return "time";
    case SettingType::Boolean:
        return "true or false";
    }
    return "text";
}

std::string fullName(const SettingSpec &spec)
{
    return fmt::format("{}.{}", spec.section, spec.key);
}

bool parseInteger(std::string_view text, std::int64_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

std::string rangeText(const SettingSpec &spec)
{
    if (spec.max == INT64_MAX) {
        return fmt::format("at least {}", spec.min);
    }
    return fmt::format("{} to {}", spec.min, spec.max);
}

std::string checkValue(const SettingSpec &spec, std::string_view value)
{
    if (spec.type == SettingType::Text) {
        // An empty text is a value where it is also the default.
        const bool mayBeEmpty = !spec.required && spec.defaultValue.empty();
        return value.empty() && !mayBeEmpty ? "expected a text, found nothing" : "";
    }
    if (spec.type == SettingType::Boolean) {
        return value == "true" || value == "false" ? "" : fmt::format("expected 'true' or 'false', found '{}'", value);
    }
    std::int64_t number = 0;
    if (!parseInteger(value, number)) {
        return fmt::format(
            "expected a whole number{}{}, found '{}'", spec.unit.empty() ? "" : " in ", spec.unit, value);
    }
    if (number < spec.min || number > spec.max) {
        return fmt::format("expected {}, found {}", rangeText(spec), number);
    }
    return "";
}

const SettingSpec *findSpec(std::span<const SettingSpec> table, std::string_view section, std::string_view key)
{
    const auto found = std::ranges::find_if(
        table, [&](const SettingSpec &spec) { return spec.section == section && spec.key == key; });
    return found == table.end() ? nullptr : &*found;
}

std::string describeUnknown(std::span<const SettingSpec> table, std::string_view section, std::string_view key)
{
    std::set<std::string_view> known;
    for (const SettingSpec &spec : table) {
        if (spec.section == section) {
            known.insert(spec.key);
        }
    }
    if (known.empty()) {
        for (const SettingSpec &spec : table) {
            known.insert(spec.section);
        }
        return fmt::format("unknown section [{}]; expected one of: {}", section, fmt::join(known, ", "));
    }
    return fmt::format("unknown key '{}' in section [{}]; expected one of: {}", key, section, fmt::join(known, ", "));
}

} // namespace

std::string_view Settings::text(std::string_view name) const
{
    const auto found = values.find(name);
    return found == values.end() ? std::string_view() : std::string_view(found->second);
}

std::int64_t Settings::integer(std::string_view name) const
{
    std::int64_t value = 0;
    parseInteger(text(name), value);
    return value;
}

milliseconds Settings::duration(std::string_view name) const
{
    return milliseconds(integer(name));
}

bool Settings::boolean(std::string_view name) const
{
    return text(name) == "true";
}

Settings parseSettings(std::string_view text, std::span<const SettingSpec> table,
    std::span<const std::string_view> freeSections, std::vector<SettingProblem> &problems)
{
    Settings settings;
    const IniDocument document = parseIni(text);
    for (const IniProblem &problem : document.problems) {
        problems.push_back({.line = problem.line, .text = problem.text});
    }
    for (const IniEntry &entry : document.entries) {
        const std::string name = fmt::format("{}.{}", entry.section, entry.key);
        if (std::ranges::find(freeSections, entry.section) != freeSections.end()) {
            settings.freeValues[name] = entry.value;
            continue;
        }
        const SettingSpec *spec = findSpec(table, entry.section, entry.key);
        if (spec == nullptr) {
            problems.push_back({.line = entry.line, .text = describeUnknown(table, entry.section, entry.key)});
            continue;
        }
        const std::string problem = checkValue(*spec, entry.value);
        if (!problem.empty()) {
            problems.push_back(
                {.line = entry.line, .text = fmt::format("[{}] {}: {}", entry.section, entry.key, problem)});
        }
        settings.values[name] = entry.value;
    }
    for (const SettingSpec &spec : table) {
        if (settings.values.contains(fullName(spec))) {
            continue;
        }
        if (spec.required) {
            problems.push_back(
                {.line = 0, .text = fmt::format("[{}] {} is missing: {}", spec.section, spec.key, spec.description)});
        }
        settings.values[fullName(spec)] = std::string(spec.defaultValue);
    }
    return settings;
}

std::string settingsReference(std::span<const SettingSpec> table)
{
    std::vector<const SettingSpec *> rows;
    for (const SettingSpec &spec : table) {
        rows.push_back(&spec);
    }
    std::ranges::stable_sort(rows, {}, [](const SettingSpec *spec) { return spec->section; });
    std::string page = "# Settings of wigeonkeeld\n\nPrinted by `wigeonkeeld --print-settings-reference`.\n";
    std::string_view section;
    for (const SettingSpec *spec : rows) {
        if (spec->section != section) {
            section = spec->section;
            page += fmt::format(
                "\n## [{}]\n\n| key | type | unit | default | range | description |\n|---|---|---|---|---|---|\n",
                section);
        }
        const bool hasRange = spec->type == SettingType::Integer || spec->type == SettingType::Milliseconds;
        page += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", spec->key, typeName(spec->type), spec->unit,
            spec->required ? "required" : fmt::format("`{}`", spec->defaultValue), hasRange ? rangeText(*spec) : "",
            spec->description);
    }
    return page;
}

} // namespace wigeonkeel
