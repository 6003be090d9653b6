#pragma once

#include "core/operator_messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

inline constexpr std::string_view configKeyPrefix = "w/config/";

/// Entries kept in a record's audit trail.
inline constexpr std::size_t maxAuditEntries = 128;
/// Refused changes among them. Less than all, so that refusals can't push every accepted change out.
inline constexpr std::size_t maxRefusedEntries = 32;
/// Longest difference and refusal kept in an audit entry, in bytes.
inline constexpr std::size_t maxAuditTextBytes = 1024;

/// An operator's settings as kept in the store under `w/config/<operator>`.
struct OperatorRecord
{
    /// Counts accepted changes; 0 if only refusals were recorded so far.
    std::uint64_t generation = 0;
    bool cancelled = false;
    /// As the operator sent it, byte for byte.
    std::string settings;
    /// Oldest first.
    std::vector<AuditEntry> audit;
};

/// Appends an entry and drops the oldest ones above the limits.
void addAuditEntry(OperatorRecord &record, AuditEntry entry);

/// The entry with this write id; null if there is none.
const AuditEntry *findWrite(const OperatorRecord &record, std::string_view writeId);

/// Accepted changes that led to a generation above the given one.
std::vector<AuditEntry> changesSince(const OperatorRecord &record, std::uint64_t generation);

} // namespace wigeonkeel
