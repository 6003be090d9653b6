#pragma once

#include "core/protocol/journal.h"
#include "core/protocol/sessions.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// JSON text of a journal partition: {"f": floor, "e": [[key, created, holder, outcome, reason, result, digest, worker,
/// omitted], ...]}; entries of an intent end after the holder. Times are Unix milliseconds, results are hexadecimal.
std::string encodeJournal(const JournalRecord &record);
/// Nothing if the text is not a journal partition.
std::optional<JournalRecord> decodeJournal(std::string_view text);

/// Estimate of an entry's share of the text, in bytes.
std::size_t encodedSize(const JournalEntry &entry);

/// JSON text of the sessions record.
std::string encodeSessions(const SessionRecord &record);
std::optional<SessionRecord> decodeSessions(std::string_view text);

} // namespace wigeonkeel
