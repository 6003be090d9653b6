#include "core/config/operator_parser.h"

#include "core/config/operator_table.h"
#include "core/ini.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::size_t maxProblems = 100;
constexpr std::string_view whitespace = " \t\r\n\f\v";

struct OpenSection
{
    OperatorSection kind = OperatorSection::Operator;
    std::string header;
    SectionTarget target;
    std::set<std::string_view> keys;
    int line = 0;
    int teamLine = 0;
};

struct Parser
{
    OperatorSettings settings;
    std::vector<SettingProblem> &problems;
    std::map<std::string, OpenSection, std::less<>> sections;
    /// Headers that were reported; their keys are passed over.
    std::set<std::string, std::less<>> refused;
    std::string nameInText;

    void report(int line, std::string text)
    {
        if (problems.size() < maxProblems) {
            problems.push_back({.line = line, .text = std::move(text)});
        }
    }
};

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// Length of the UTF-8 character at the start of the text; 0 if it is not valid.
std::size_t characterLength(std::string_view text)
{
    const auto byteAt = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char first = byteAt(0);
    if (first < 0x80) {
        const bool allowed = first >= 0x20 || first == '\t' || first == '\n' || first == '\r';
        return allowed && first != 0x7f ? 1 : 0;
    }
    const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
    if (first < 0xc2 || first > 0xf4 || text.size() < length) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((byteAt(i) & 0xc0) != 0x80) {
            return 0;
        }
    }
    // Over-long forms, surrogates and values past U+10FFFF.
    const unsigned char second = byteAt(1);
    const bool invalid = (first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f)
        || (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f);
    return invalid ? 0 : length;
}

/// The text is kept in JSON and given back byte for byte, so every byte must have a JSON form.
bool checkBytes(Parser &parser, std::string_view text)
{
    if (text.size() > maxSettingsBytes) {
        parser.report(0,
            fmt::format(
                "the settings are too long: expected at most {} bytes, found {}", maxSettingsBytes, text.size()));
        return false;
    }
    int line = 1;
    while (!text.empty()) {
        const std::size_t length = characterLength(text);
        if (length == 0) {
            parser.report(line,
                fmt::format("expected UTF-8 text without control characters, found the byte 0x{:02x}",
                    static_cast<unsigned char>(text[0])));
            return false;
        }
        line += text[0] == '\n' ? 1 : 0;
        text.remove_prefix(length);
    }
    return true;
}

SectionTarget makeTarget(OperatorSettings &settings, OperatorSection kind, std::string_view name)
{
    switch (kind) {
    case OperatorSection::Operator:
        return {.operatorSettings = &settings};
    case OperatorSection::Team: {
        TeamSettings &team = settings.teams[std::string(name)];
        team.name = name;
        return {.team = &team};
    }
    case OperatorSection::Workload: {
        WorkloadSettings &workload = settings.workloads[std::string(name)];
        workload.name = name;
        return {.workload = &workload};
    }
    case OperatorSection::Policy:
        return {.policy = &settings.policies[static_cast<std::size_t>(*parseTaskKind(name))]};
    }
    return {};
}

std::string checkHeader(std::string_view word, std::string_view name, OperatorSection &kind)
{
    constexpr OperatorSection kinds[]
        = {OperatorSection::Operator, OperatorSection::Team, OperatorSection::Workload, OperatorSection::Policy};
    const auto found = std::ranges::find(kinds, word, [](OperatorSection each) { return toString(each); });
    if (found == std::end(kinds)) {
        return "expected [operator], [team NAME], [workload NAME] or [policy KIND]";
    }
    kind = *found;
    if (kind == OperatorSection::Operator) {
        return name.empty() ? "" : "expected [operator] without a name";
    }
    if (kind == OperatorSection::Policy) {
        return parseTaskKind(name) ? "" : "expected [policy KIND] with request, service, gang or batch";
    }
    return isValidName(name)
        ? ""
        : fmt::format("expected [{} NAME] with a name of 1 to 40 letters, digits, '_', '-' and '.'", word);
}

void openSection(Parser &parser, std::string_view line, int number)
{
    const std::size_t end = line.find(']');
    if (end == std::string_view::npos) {
        return; // Reported by the INI reader.
    }
    const std::string header(line.substr(1, end - 1));
    if (end + 1 != line.size()) {
        parser.report(number,
            fmt::format(
                "section [{}]: expected the end of the line after ']', found '{}'", header, line.substr(end + 1)));
    }
    const std::size_t space = header.find(' ');
    const std::string_view word = std::string_view(header).substr(0, space);
    const std::string_view name
        = space == std::string::npos ? std::string_view() : trimmed(std::string_view(header).substr(space));
    OperatorSection kind = OperatorSection::Operator;
    const std::string problem = checkHeader(word, name, kind);
    if (!problem.empty()) {
        parser.report(number, fmt::format("section [{}]: {}", header.substr(0, 60), problem));
        parser.refused.insert(header);
        return;
    }
    const auto [found, added] = parser.sections.try_emplace(header);
    if (!added) {
        parser.report(number,
            fmt::format("section [{}] was begun in line {} already; expected one section", header, found->second.line));
        return;
    }
    found->second.kind = kind;
    found->second.header = header;
    found->second.target = makeTarget(parser.settings, kind, name);
    found->second.line = number;
}

/// inih reports no section that has no keys, and cuts long names; headers are therefore read here.
void openSections(Parser &parser, std::string_view text)
{
    int number = 0;
    while (!text.empty()) {
        ++number;
        const std::size_t end = text.find('\n');
        const std::string_view line = trimmed(text.substr(0, end));
        if (line.starts_with('[')) {
            openSection(parser, line, number);
        }
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
}

std::string knownKeys(OperatorSection kind)
{
    std::vector<std::string_view> keys;
    for (const OperatorSettingSpec &spec : operatorSettingTable()) {
        if (spec.section == kind) {
            keys.push_back(spec.key);
        }
    }
    return fmt::format("{}", fmt::join(keys, ", "));
}

void takeEntry(Parser &parser, const IniEntry &entry)
{
    const auto found = parser.sections.find(entry.section);
    if (found == parser.sections.end()) {
        if (entry.section.empty()) {
            parser.report(entry.line,
                fmt::format("found key '{}' before the first section; expected a section such as "
                            "[operator] first",
                    entry.key));
        }
        return;
    }
    OpenSection &section = found->second;
    const OperatorSettingSpec *spec = findOperatorSetting(section.kind, entry.key);
    if (spec == nullptr) {
        parser.report(entry.line,
            fmt::format("section [{}]: found unknown key '{}'; expected one of: {}", section.header, entry.key,
                knownKeys(section.kind)));
        return;
    }
    section.keys.insert(spec->key);
    section.teamLine = spec->key == "team" ? entry.line : section.teamLine;
    SettingValue value;
    const std::string problem = checkOperatorValue(*spec, entry.value, value);
    if (!problem.empty()) {
        parser.report(entry.line, fmt::format("[{}] {}: {}", section.header, entry.key, problem));
        return;
    }
    spec->store(section.target, value);
}

void checkWorkload(Parser &parser, const OpenSection &section)
{
    const WorkloadSettings &workload = *section.target.workload;
    if (!workload.team.empty() && !parser.settings.teams.contains(workload.team)) {
        parser.report(section.teamLine,
            fmt::format("[{}] team: found '{}'; expected a team that has a section [team "
                        "{}]",
                section.header, workload.team, workload.team));
    }
    if (workload.kind == TaskKind::Request && workload.tasks != 1) {
        parser.report(section.line,
            fmt::format("[{}] tasks: expected 1 for kind request, found {}", section.header, workload.tasks));
    }
    if (workload.size == Resources()) {
        parser.report(section.line,
            fmt::format("[{}]: the size is zero; expected cpu_milli, memory_mib, accelerators "
                        "or slots above 0",
                section.header));
    }
}

void checkSection(Parser &parser, const OpenSection &section)
{
    for (const OperatorSettingSpec &spec : operatorSettingTable()) {
        if (spec.section == section.kind && spec.required && !section.keys.contains(spec.key)) {
            parser.report(section.line,
                fmt::format("[{}] {} is missing; expected: {}", section.header, spec.key, spec.description));
        }
    }
    if (section.kind == OperatorSection::Workload) {
        checkWorkload(parser, section);
    }
}

std::string printSection(OperatorSection kind, std::string_view header, const SectionTarget &target)
{
    std::string text;
    for (const OperatorSettingSpec &spec : operatorSettingTable()) {
        const std::string value = spec.section == kind ? spec.print(target) : "";
        if (spec.section == kind && (spec.required || value != spec.defaultValue)) {
            text += fmt::format("{} = {}\n", spec.key, value);
        }
    }
    return fmt::format("[{}]\n{}", header, text);
}

} // namespace

OperatorSettings parseOperatorSettings(
    std::string_view operatorName, std::string_view text, std::vector<SettingProblem> &problems)
{
    Parser parser{.settings = {}, .problems = problems, .sections = {}, .refused = {}, .nameInText = {}};
    if (checkBytes(parser, text)) {
        openSections(parser, text);
        const IniDocument document = parseIni(text);
        for (const IniProblem &problem : document.problems) {
            parser.report(problem.line, problem.text);
        }
        for (const IniEntry &entry : document.entries) {
            takeEntry(parser, entry);
        }
        for (const auto &[header, section] : parser.sections) {
            checkSection(parser, section);
        }
    }
    if (!parser.settings.name.empty() && parser.settings.name != operatorName) {
        parser.report(0,
            fmt::format("[operator] name: found '{}'; expected '{}', the operator that the settings are "
                        "for",
                parser.settings.name, operatorName));
    }
    parser.settings.name = operatorName;
    std::ranges::stable_sort(problems, {}, &SettingProblem::line);
    return std::move(parser.settings);
}

std::string describe(const std::vector<SettingProblem> &problems)
{
    std::string text;
    for (const SettingProblem &problem : problems) {
        text += problem.line > 0 ? fmt::format("line {}: {}\n", problem.line, problem.text)
                                 : fmt::format("{}\n", problem.text);
    }
    return text;
}

std::string printOperatorSettings(const OperatorSettings &settings)
{
    // The table's functions take pointers to change; printing only reads.
    OperatorSettings copy = settings;
    std::string text = printSection(OperatorSection::Operator, "operator", {.operatorSettings = &copy});
    for (auto &[name, team] : copy.teams) {
        text += "\n" + printSection(OperatorSection::Team, fmt::format("team {}", name), {.team = &team});
    }
    for (auto &[name, workload] : copy.workloads) {
        text += "\n"
            + printSection(OperatorSection::Workload, fmt::format("workload {}", name), {.workload = &workload});
    }
    for (std::size_t kind = 0; kind < taskKindCount; ++kind) {
        if (!copy.policies[kind].empty()) {
            const std::string header = fmt::format("policy {}", toString(static_cast<TaskKind>(kind)));
            text += "\n" + printSection(OperatorSection::Policy, header, {.policy = &copy.policies[kind]});
        }
    }
    return text;
}

} // namespace wigeonkeel
