#pragma once

#include "core/config/config_record.h"

#include <span>
#include <string>
#include <vector>

namespace wigeonkeel
{

/// What becomes of a change against a record.
struct ConfigDecision
{
    /// The record with the change, or with the refusal in its audit trail.
    OperatorRecord next;
    /// Set if the change is refused.
    Error refusal;
    /// The change was recorded before (its write id is in the audit trail); there is nothing to write.
    bool recorded = false;
    /// Generation that the change led to.
    std::uint64_t generation = 0;
    std::vector<SettingProblem> problems;
    /// Of a conflict: what was changed since.
    std::vector<AuditEntry> changesSince;
};

/// Decides an apply, cancel or resume against the record that was read. Settings may name only the given policies;
/// without any, names of policies are not checked. Pure.
ConfigDecision decideChange(const OperatorRecord &present, const OperatorEvent &change, WallTime now,
    std::span<const std::string> policyNames = {});

/// What a record that was read back tells about a write whose answer was lost.
enum class WriteFate : std::uint8_t {
    /// The write id is in the audit trail.
    Took,
    /// The record is as it was before; the write may still arrive.
    Open,
    /// Another write came first; compare-and-swap keeps this one out for good.
    Lost,
    /// The audit trail no longer reaches back to the time of the write.
    Unknown,
};

/// `before` and its version are what the write was based on.
WriteFate fateOfWrite(const OperatorRecord &before, std::uint64_t versionBefore, const OperatorRecord &present,
    std::uint64_t presentVersion, std::string_view writeId);

/// "apply", "cancel" and so on.
std::string_view toString(OperatorCommandKind kind);

} // namespace wigeonkeel
