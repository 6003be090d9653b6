#include "core/config/config_table.h"

#include "core/config/config_record_json.h"
#include "core/config/operator_parser.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "config";

void takeRecord(
    ConfigTable &table, std::string_view key, std::string_view value, std::uint64_t version, Actions &actions)
{
    if (!key.starts_with(configKeyPrefix)) {
        return;
    }
    const std::string name(key.substr(configKeyPrefix.size()));
    std::string problem;
    std::optional<OperatorRecord> record = decodeOperatorRecord(value, problem);
    if (!record) {
        actions.push_back(LogAction{.level = LogLevel::Error,
            .part = logPart,
            .text = fmt::format("The record {} can't be read ({}); the settings in force stay.", key, problem)});
        return;
    }
    const auto present = table.operators.find(name);
    const std::uint64_t generation = present == table.operators.end() ? 0 : present->second.generation;
    // A late or repeated update must not bring older settings back.
    if (record->generation == 0 || (table.rules.generationGuard && record->generation <= generation)) {
        return;
    }
    ConfigEntry entry{.generation = record->generation,
        .cancelled = record->cancelled,
        .version = version,
        .text = std::move(record->settings),
        .settings = {},
        .problems = {}};
    entry.settings = parseOperatorSettings(name, entry.text, entry.problems);
    actions.push_back(LogAction{.level = LogLevel::Info,
        .part = logPart,
        .text = fmt::format("Generation {} of operator {} is in force ({}).", entry.generation, name,
            entry.cancelled ? "cancelled" : "active")});
    if (!entry.problems.empty()) {
        actions.push_back(LogAction{.level = LogLevel::Warning,
            .part = logPart,
            .text = fmt::format("Accepted settings of operator {} hold what this version does not know; it is kept and "
                                "has no effect: {}",
                name, describe(entry.problems))});
    }
    table.operators.insert_or_assign(name, std::move(entry));
    table.changed.insert(name);
}

const OperatorSettings *activeSettings(const ConfigTable &table, std::string_view operatorName)
{
    const ConfigEntry *entry = findOperator(table, operatorName);
    return entry == nullptr || entry->cancelled ? nullptr : &entry->settings;
}

template <typename Map>
const typename Map::mapped_type *findIn(const Map &map, std::string_view name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

void applyConfigUpdate(ConfigTable &table, const StoreWatchUpdate &update, Actions &actions)
{
    for (const StoreEntry &entry : update.changed) {
        takeRecord(table, entry.key, entry.value, entry.version, actions);
    }
    for (const std::string &key : update.removed) {
        if (key.starts_with(configKeyPrefix)) {
            actions.push_back(LogAction{.level = LogLevel::Error,
                .part = logPart,
                .text = fmt::format("The record {} was removed from the store; the settings in force stay.", key)});
        }
    }
    table.revision = std::max(table.revision, update.revision);
}

void applyConfigRecords(ConfigTable &table, std::span<const ConfigRecord> records, Actions &actions)
{
    for (const ConfigRecord &record : records) {
        takeRecord(table, record.key, record.value, record.version, actions);
    }
}

std::vector<ConfigRecord> configRecordsSince(const ConfigTable &table, std::uint64_t revision)
{
    std::vector<ConfigRecord> records;
    for (const auto &[name, entry] : table.operators) {
        if (entry.version <= revision) {
            continue;
        }
        const OperatorRecord record{
            .generation = entry.generation, .cancelled = entry.cancelled, .settings = entry.text, .audit = {}};
        records.push_back({.key = fmt::format("{}{}", configKeyPrefix, name),
            .value = encodeOperatorRecord(record),
            .version = entry.version});
    }
    return records;
}

const ConfigEntry *findOperator(const ConfigTable &table, std::string_view operatorName)
{
    return findIn(table.operators, operatorName);
}

const WorkloadSettings *findWorkload(const ConfigTable &table, std::string_view operatorName, std::string_view workload)
{
    const OperatorSettings *settings = activeSettings(table, operatorName);
    return settings == nullptr ? nullptr : findIn(settings->workloads, workload);
}

const TeamSettings *findTeam(const ConfigTable &table, std::string_view operatorName, std::string_view team)
{
    const OperatorSettings *settings = activeSettings(table, operatorName);
    return settings == nullptr ? nullptr : findIn(settings->teams, team);
}

} // namespace wigeonkeel
