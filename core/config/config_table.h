#pragma once

#include "core/action.h"
#include "core/config/config_record.h"
#include "core/config/operator_settings.h"
#include "core/peer_messages.h"
#include "core/settings.h"
#include "core/store_messages.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// Rules that a test can switch off to show what they guard against.
struct ConfigRules
{
    /// A record is taken only if its generation is higher than the one in force.
    bool generationGuard = true;
};

/// What is in force for one operator.
struct ConfigEntry
{
    std::uint64_t generation = 0;
    bool cancelled = false;
    /// Store revision at which this generation was seen first.
    std::uint64_t version = 0;
    /// The text as the operator sent it.
    std::string text;
    OperatorSettings settings;
    /// What this daemon does not understand of the accepted text; the text stays as it is.
    std::vector<SettingProblem> problems;
};

/// All operators' settings as in force on this daemon.
struct ConfigTable
{
    ConfigRules rules;
    std::map<std::string, ConfigEntry, std::less<>> operators;
    /// Store revision up to which the watch was applied; 0 before the first list.
    std::uint64_t revision = 0;
    /// Operators whose entry changed and whose settings the scheduler has not taken over yet.
    std::set<std::string, std::less<>> changed;
};

/// Takes over what the watch reports. Updates may be late or repeated. Records that were taken out of the store stay
/// in force: a record is never removed by wigeonkeel, and accepted settings never revert.
void applyConfigUpdate(ConfigTable &table, const StoreWatchUpdate &update, Actions &actions);

/// Takes over records from a peer, for the time when the store does not answer. The revision stays as it is.
void applyConfigRecords(ConfigTable &table, std::span<const ConfigRecord> records, Actions &actions);

/// What is in force here and newer than a store revision, without the audit trails; for ConfigPushMessage.
std::vector<ConfigRecord> configRecordsSince(const ConfigTable &table, std::uint64_t revision);

/// Null if the operator is not known.
const ConfigEntry *findOperator(const ConfigTable &table, std::string_view operatorName);

/// Null if the operator is not known or cancelled, or has no such workload.
const WorkloadSettings *findWorkload(
    const ConfigTable &table, std::string_view operatorName, std::string_view workload);

/// Null if the operator is not known or cancelled, or has no such team.
const TeamSettings *findTeam(const ConfigTable &table, std::string_view operatorName, std::string_view team);

} // namespace wigeonkeel
