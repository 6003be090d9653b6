#include "core/config/config_decision.h"

#include "core/config/operator_parser.h"
#include "core/config/text_difference.h"

#include <algorithm>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace wigeonkeel
{

namespace
{

constexpr std::size_t maxWriteIdBytes = 64;
constexpr std::size_t maxAuthorBytes = 100;

Error refuse(const OperatorEvent &change, Errc code, std::string detail)
{
    return {.code = code,
        .step = fmt::format("{} settings", toString(change.kind)),
        .peer = change.operatorName,
        .detail = std::move(detail)};
}

std::string describeConflict(const OperatorRecord &present, const OperatorEvent &change)
{
    std::string text = fmt::format(
        "generation {} is in force, the change is based on generation {}", present.generation, change.basedOn);
    const std::vector<AuditEntry> changes = changesSince(present, change.basedOn);
    if (!changes.empty()) {
        const AuditEntry &last = changes.back();
        text += fmt::format("; last changed by '{}' ({}) at {:%Y-%m-%dT%H:%M:%SZ}", last.author, last.action,
            std::chrono::floor<std::chrono::seconds>(last.at));
    }
    return text;
}

/// An empty error if the record's state allows the change.
Error checkState(const OperatorRecord &present, const OperatorEvent &change)
{
    if (change.basedOn != present.generation) {
        return refuse(change, Errc::Conflict, describeConflict(present, change));
    }
    switch (change.kind) {
    case OperatorCommandKind::Apply:
        return present.cancelled ? refuse(change, Errc::Refused, "the operator is cancelled; resume it first")
                                 : Error();
    case OperatorCommandKind::Cancel:
        if (present.generation == 0) {
            return refuse(change, Errc::NotFound, "nothing was applied yet");
        }
        return present.cancelled ? refuse(change, Errc::Refused, "the operator is cancelled already") : Error();
    case OperatorCommandKind::Resume:
        return present.cancelled ? Error() : refuse(change, Errc::Refused, "the operator is not cancelled");
    case OperatorCommandKind::Show:
    case OperatorCommandKind::History:
        break;
    }
    return refuse(change, Errc::InvalidArgument, "not a change");
}

void checkPolicies(
    const OperatorSettings &settings, std::span<const std::string> policyNames, std::vector<SettingProblem> &problems)
{
    for (std::size_t kind = 0; kind < taskKindCount; ++kind) {
        const std::string &name = settings.policies[kind];
        if (!name.empty() && std::ranges::find(policyNames, name) == policyNames.end()) {
            problems.push_back({.line = 0,
                .text = fmt::format("[policy {}] name: found '{}'; expected one of: {}",
                    toString(static_cast<TaskKind>(kind)), name, fmt::join(policyNames, ", "))});
        }
    }
}

Error checkSettings(
    const OperatorEvent &change, std::span<const std::string> policyNames, std::vector<SettingProblem> &problems)
{
    if (change.kind != OperatorCommandKind::Apply) {
        return {};
    }
    const OperatorSettings settings = parseOperatorSettings(change.operatorName, change.settings, problems);
    if (!policyNames.empty()) {
        checkPolicies(settings, policyNames, problems);
    }
    return problems.empty() ? Error() : refuse(change, Errc::InvalidArgument, describe(problems));
}

AuditEntry makeEntry(const OperatorRecord &present, const OperatorEvent &change, WallTime now)
{
    return {.at = now,
        .author = change.author.substr(0, maxAuthorBytes),
        .action = std::string(toString(change.kind)),
        .writeId = change.writeId,
        .generationBefore = present.generation,
        .generationAfter = present.generation};
}

ConfigDecision repeatDecision(const OperatorRecord &present, const OperatorEvent &change, const AuditEntry &entry)
{
    ConfigDecision decision{.next = present, .recorded = true, .generation = entry.generationAfter};
    if (entry.action != toString(change.kind)) {
        decision.refusal = refuse(change, Errc::InvalidArgument,
            fmt::format("write id '{}' was used before for {}", change.writeId, entry.action));
    } else if (!entry.refusal.empty()) {
        decision.refusal = refuse(change, Errc::Refused, entry.refusal);
    }
    return decision;
}

} // namespace

std::string_view toString(OperatorCommandKind kind)
{
    switch (kind) {
    case OperatorCommandKind::Apply:
        return "apply";
    case OperatorCommandKind::Cancel:
        return "cancel";
    case OperatorCommandKind::Resume:
        return "resume";
    case OperatorCommandKind::Show:
        return "show";
    case OperatorCommandKind::History:
        return "history";
    }
    return "show";
}

ConfigDecision decideChange(
    const OperatorRecord &present, const OperatorEvent &change, WallTime now, std::span<const std::string> policyNames)
{
    if (change.writeId.empty() || change.writeId.size() > maxWriteIdBytes) {
        // Without an id a lost answer could not be settled, so nothing is written, not even the refusal.
        return {.next = present,
            .refusal = refuse(change, Errc::InvalidArgument,
                fmt::format("expected a write id of 1 to {} bytes, found {}", maxWriteIdBytes, change.writeId.size())),
            .recorded = true,
            .generation = present.generation};
    }
    if (const AuditEntry *entry = findWrite(present, change.writeId)) {
        return repeatDecision(present, change, *entry);
    }
    ConfigDecision decision{.next = present, .generation = present.generation};
    AuditEntry entry = makeEntry(present, change, now);
    decision.refusal = checkState(present, change);
    if (!decision.refusal) {
        decision.refusal = checkSettings(change, policyNames, decision.problems);
    }
    if (decision.refusal) {
        entry.refusal = decision.refusal.detail;
        if (decision.refusal.code == Errc::Conflict) {
            decision.changesSince = changesSince(present, change.basedOn);
        }
        addAuditEntry(decision.next, std::move(entry));
        return decision;
    }
    entry.generationAfter = decision.generation = decision.next.generation = present.generation + 1;
    decision.next.cancelled = change.kind == OperatorCommandKind::Cancel;
    if (change.kind == OperatorCommandKind::Apply) {
        entry.difference = settingsDifference(present.settings, change.settings);
        decision.next.settings = change.settings;
    }
    addAuditEntry(decision.next, std::move(entry));
    return decision;
}

WriteFate fateOfWrite(const OperatorRecord &before, std::uint64_t versionBefore, const OperatorRecord &present,
    std::uint64_t presentVersion, std::string_view writeId)
{
    if (findWrite(present, writeId) != nullptr) {
        return WriteFate::Took;
    }
    if (presentVersion == versionBefore) {
        return WriteFate::Open;
    }
    // The trail drops old entries. It covers the time of the write if the newest entry from before, or the first
    // entry ever, is still in it.
    const bool covered = before.audit.empty() ? present.audit.size() < maxRefusedEntries
                                              : findWrite(present, before.audit.back().writeId) != nullptr;
    return covered ? WriteFate::Lost : WriteFate::Unknown;
}

} // namespace wigeonkeel
