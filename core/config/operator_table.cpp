#include "core/config/operator_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <type_traits>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::int64_t maxAmount = 1'000'000'000;
constexpr std::int64_t maxCount = 1'000'000;
constexpr std::int64_t maxTextLength = 150;
constexpr std::int64_t yearMs = 366LL * 24 * 3600 * 1000;
/// inih cuts a section name at 49 bytes; "workload " and 40 bytes stay below.
constexpr std::size_t maxNameLength = 40;

template <typename T>
void assign(T &field, const SettingValue &value)
{
    if constexpr (std::is_same_v<T, std::string>) {
        field = value.text;
    } else if constexpr (std::is_same_v<T, bool>) {
        field = value.flag;
    } else if constexpr (std::is_same_v<T, milliseconds>) {
        field = milliseconds(value.number);
    } else if constexpr (std::is_same_v<T, TaskKind>) {
        field = value.kind;
    } else {
        field = static_cast<T>(value.number);
    }
}

template <typename T>
std::string format(const T &field)
{
    if constexpr (std::is_same_v<T, std::string>) {
        return field;
    } else if constexpr (std::is_same_v<T, bool>) {
        return field ? "true" : "false";
    } else if constexpr (std::is_same_v<T, milliseconds>) {
        return fmt::format("{}", field.count());
    } else if constexpr (std::is_same_v<T, TaskKind>) {
        return std::string(toString(field));
    } else {
        return fmt::format("{}", field);
    }
}

/// Binds a row to the member that `Path` leads to, from the target's pointer `Part`.
template <auto Part, auto... Path>
constexpr OperatorSettingSpec bind(OperatorSettingSpec spec)
{
    spec.store
        = [](const SectionTarget &target, const SettingValue &value) { assign(((*(target.*Part)).*....*Path), value); };
    spec.print = [](const SectionTarget &target) { return format(((*(target.*Part)).*....*Path)); };
    return spec;
}

constexpr auto inOperator = &SectionTarget::operatorSettings;
constexpr auto inTeam = &SectionTarget::team;
constexpr auto inWorkload = &SectionTarget::workload;
using Section = OperatorSection;
using Type = OperatorValueType;

constexpr std::array table = {
    bind<inOperator, &OperatorSettings::name>({.section = Section::Operator,
        .key = "name",
        .type = Type::Name,
        .description = "Name of the operator; if given, it must be the name that the settings are applied under."}),
    bind<inOperator, &OperatorSettings::description>({.section = Section::Operator,
        .key = "description",
        .max = maxTextLength,
        .description = "For people; the scheduler does not use it."}),
    bind<inTeam, &TeamSettings::quota, &Resources::cpuMilli>({.section = Section::Team,
        .key = "quota_cpu_milli",
        .type = Type::Integer,
        .unit = "thousandths of a core",
        .defaultValue = "0",
        .max = maxAmount,
        .description = "Most processor time that the team's tasks may hold at one time; 0 for no limit."}),
    bind<inTeam, &TeamSettings::quota, &Resources::memoryMib>({.section = Section::Team,
        .key = "quota_memory_mib",
        .type = Type::Integer,
        .unit = "MiB",
        .defaultValue = "0",
        .max = maxAmount,
        .description = "Most memory that the team's tasks may hold at one time; 0 for no limit."}),
    bind<inTeam, &TeamSettings::quota, &Resources::accelerators>({.section = Section::Team,
        .key = "quota_accelerators",
        .type = Type::Integer,
        .unit = "accelerators",
        .defaultValue = "0",
        .max = maxAmount,
        .description = "Most accelerators that the team's tasks may hold at one time; 0 for no limit."}),
    bind<inTeam, &TeamSettings::quota, &Resources::slots>({.section = Section::Team,
        .key = "quota_slots",
        .type = Type::Integer,
        .unit = "slots",
        .defaultValue = "0",
        .max = maxAmount,
        .description = "Most request slots that the team's tasks may hold at one time; 0 for no limit."}),
    bind<inTeam, &TeamSettings::weight>({.section = Section::Team,
        .key = "weight",
        .type = Type::Integer,
        .defaultValue = "1",
        .min = 1,
        .max = 1000,
        .description = "Share of idle capacity in relation to the operator's other teams."}),
    bind<inWorkload, &WorkloadSettings::team>({.section = Section::Workload,
        .key = "team",
        .type = Type::Name,
        .required = true,
        .description = "Team that the workload belongs to; declared in a section [team NAME]."}),
    bind<inWorkload, &WorkloadSettings::kind>({.section = Section::Workload,
        .key = "kind",
        .type = Type::Kind,
        .required = true,
        .description
        = "request: urgent and short; service: runs on; gang: all tasks start together; batch: may wait."}),
    bind<inWorkload, &WorkloadSettings::urgency>({.section = Section::Workload,
        .key = "urgency",
        .type = Type::Integer,
        .defaultValue = "0",
        .max = 9,
        .description = "Larger is more urgent; 9 is served first."}),
    bind<inWorkload, &WorkloadSettings::idempotent>({.section = Section::Workload,
        .key = "idempotent",
        .type = Type::Boolean,
        .defaultValue = "true",
        .description = "false: a request runs at most once, also when its answer is lost."}),
    bind<inWorkload, &WorkloadSettings::size, &Resources::cpuMilli>({.section = Section::Workload,
        .key = "cpu_milli",
        .type = Type::Integer,
        .unit = "thousandths of a core",
        .defaultValue = "100",
        .max = maxAmount,
        .description = "Processor time of one task."}),
    bind<inWorkload, &WorkloadSettings::size, &Resources::memoryMib>({.section = Section::Workload,
        .key = "memory_mib",
        .type = Type::Integer,
        .unit = "MiB",
        .defaultValue = "64",
        .max = maxAmount,
        .description = "Memory of one task."}),
    bind<inWorkload, &WorkloadSettings::size, &Resources::accelerators>({.section = Section::Workload,
        .key = "accelerators",
        .type = Type::Integer,
        .unit = "accelerators",
        .defaultValue = "0",
        .max = maxAmount,
        .description = "Whole accelerators of one task."}),
    bind<inWorkload, &WorkloadSettings::size, &Resources::slots>({.section = Section::Workload,
        .key = "slots",
        .type = Type::Integer,
        .unit = "slots",
        .defaultValue = "0",
        .max = maxAmount,
        .description = "Request slots of one task."}),
    bind<inWorkload, &WorkloadSettings::tasks>({.section = Section::Workload,
        .key = "tasks",
        .type = Type::Integer,
        .unit = "tasks",
        .defaultValue = "1",
        .min = 1,
        .max = 100'000,
        .description = "Tasks of one job, unless the caller names another number; 1 for requests."}),
    bind<inWorkload, &WorkloadSettings::runTime>({.section = Section::Workload,
        .key = "run_ms",
        .type = Type::Milliseconds,
        .unit = "ms",
        .defaultValue = "0",
        .max = yearMs,
        .description = "Expected run time of one task; 0 if not known."}),
    bind<inWorkload, &WorkloadSettings::startWithin>({.section = Section::Workload,
        .key = "start_within_ms",
        .type = Type::Milliseconds,
        .unit = "ms",
        .defaultValue = "0",
        .max = yearMs,
        .description = "A start later than this after the submission is of no use to the caller; 0 for no limit."}),
    bind<inWorkload, &WorkloadSettings::maxRunning>({.section = Section::Workload,
        .key = "max_running",
        .type = Type::Integer,
        .unit = "tasks",
        .defaultValue = "0",
        .max = maxCount,
        .description = "Most tasks that run at one time; 0 for no limit."}),
    bind<inWorkload, &WorkloadSettings::maxQueued>({.section = Section::Workload,
        .key = "max_queued",
        .type = Type::Integer,
        .unit = "tasks",
        .defaultValue = "0",
        .max = maxCount,
        .description = "Most tasks that wait at one time; more are refused. 0 for no limit."}),
    bind<inWorkload, &WorkloadSettings::maxPerSecond>({.section = Section::Workload,
        .key = "max_per_second",
        .type = Type::Integer,
        .unit = "submissions a second",
        .defaultValue = "0",
        .max = maxCount,
        .description = "Most submissions taken in a second; more are refused. 0 for no limit."}),
    bind<inWorkload, &WorkloadSettings::maxAttempts>({.section = Section::Workload,
        .key = "max_attempts",
        .type = Type::Integer,
        .unit = "starts",
        .defaultValue = "3",
        .min = 1,
        .max = 1000,
        .description = "Starts of one task before it is given up; non-idempotent requests are started once at most."}),
    bind<&SectionTarget::policy>({.section = Section::Policy,
        .key = "name",
        .type = Type::Name,
        .required = true,
        .description = "Placement policy for the tasks of this kind, one that the daemons were built with."}),
};

struct SectionText
{
    OperatorSection section;
    std::string_view name;
    std::string_view heading;
    std::string_view description;
};

constexpr std::array sectionTexts = {
    SectionText{Section::Operator, "operator", "[operator]", "The operator. The section may be left out."},
    SectionText{Section::Team, "team", "[team NAME]", "One section for each team."},
    SectionText{Section::Workload, "workload", "[workload NAME]",
        "One section for each kind of work that callers submit by name."},
    SectionText{Section::Policy, "policy", "[policy KIND]",
        "Another placement policy than the default for one kind: request, service, gang or batch."},
};

constexpr std::string_view typeName(OperatorValueType type)
{
    switch (type) {
    case Type::Text:
        return "text";
    case Type::Name:
        return "name";
    case Type::Integer:
        return "integer";
    case Type::Milliseconds:
        return "time";
    case Type::Boolean:
        return "true or false";
    case Type::Kind:
        return "kind";
    }
    return "text";
}

std::string shortened(std::string_view text)
{
    constexpr std::size_t limit = 60;
    return text.size() <= limit ? std::string(text) : fmt::format("{}...", text.substr(0, limit));
}

std::string checkNumber(const OperatorSettingSpec &spec, std::string_view text, SettingValue &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value.number);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    if (!whole || value.number < spec.min || value.number > spec.max) {
        return fmt::format("expected a whole number from {} to {}{}{}, found '{}'", spec.min, spec.max,
            spec.unit.empty() ? "" : " in ", spec.unit, shortened(text));
    }
    return {};
}

} // namespace

std::span<const OperatorSettingSpec> operatorSettingTable()
{
    return table;
}

std::string_view toString(OperatorSection section)
{
    return sectionTexts[static_cast<std::size_t>(section)].name;
}

const OperatorSettingSpec *findOperatorSetting(OperatorSection section, std::string_view key)
{
    const auto found = std::ranges::find_if(
        table, [&](const OperatorSettingSpec &spec) { return spec.section == section && spec.key == key; });
    return found == table.end() ? nullptr : &*found;
}

bool isValidName(std::string_view name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.-";
    return !name.empty() && name.size() <= maxNameLength && name.find_first_not_of(allowed) == std::string_view::npos;
}

std::string checkOperatorValue(const OperatorSettingSpec &spec, std::string_view text, SettingValue &value)
{
    value.text = text;
    switch (spec.type) {
    case Type::Text:
        return text.size() <= static_cast<std::size_t>(spec.max)
            ? ""
            : fmt::format("expected at most {} bytes, found {}", spec.max, text.size());
    case Type::Name:
        return isValidName(text)
            ? ""
            : fmt::format("expected a name of 1 to {} letters, digits, '_', '-' and '.', found '{}'", maxNameLength,
                shortened(text));
    case Type::Boolean:
        value.flag = text == "true";
        return value.flag || text == "false" ? ""
                                             : fmt::format("expected 'true' or 'false', found '{}'", shortened(text));
    case Type::Kind: {
        const auto kind = parseTaskKind(text);
        value.kind = kind.value_or(TaskKind::Batch);
        return kind ? "" : fmt::format("expected request, service, gang or batch, found '{}'", shortened(text));
    }
    case Type::Integer:
    case Type::Milliseconds:
        return checkNumber(spec, text, value);
    }
    return {};
}

std::string operatorSettingsReference()
{
    std::string page = "# Operators' settings\n\nPrinted by `wigeonkeelctl settings-reference`. Settings are INI text: "
                       "sections, `key = value` lines of at most 198 bytes, and comments from `;` or `#` at the start "
                       "of a line. Names have 1 to 40 letters, digits, `_`, `-` and `.`.\n";
    for (const SectionText &section : sectionTexts) {
        page += fmt::format("\n## {}\n\n{}\n\n| key | type | unit | default | range | description |\n"
                            "|---|---|---|---|---|---|\n",
            section.heading, section.description);
        for (const OperatorSettingSpec &spec : table) {
            if (spec.section != section.section) {
                continue;
            }
            const bool hasRange = spec.type == Type::Integer || spec.type == Type::Milliseconds;
            const std::string fallback = spec.defaultValue.empty() ? "" : fmt::format("`{}`", spec.defaultValue);
            page += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", spec.key, typeName(spec.type), spec.unit,
                spec.required ? "required" : fallback, hasRange ? fmt::format("{} to {}", spec.min, spec.max) : "",
                spec.description);
        }
    }
    return page;
}

} // namespace wigeonkeel
