#pragma once

#include "core/action.h"
#include "core/answer.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/store_messages.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace wigeonkeel
{

/// What the journal says about one request.
struct JournalEntry
{
    /// When the caller made the id; decides how long the entry is kept.
    WallTime created{};
    /// Daemon name and incarnation that recorded the intent.
    std::string holder;
    /// False while only the intent is recorded: the request may have been started.
    bool ended = false;
    /// Valid if ended. Without the result if `resultOmitted`.
    Answer answer;
    /// The result was larger than the journal keeps.
    bool resultOmitted = false;
};

/// One partition of the journal as it is stored.
struct JournalRecord
{
    /// Entries created before this were dropped; a request from before it that is not listed is undecided.
    WallTime floor{};
    absl::flat_hash_map<RequestKey, JournalEntry> entries;
};

enum class JournalWriteKind : std::uint8_t {
    /// Adds the key if it is absent.
    Intent,
    /// Adds or completes the key; never replaces an outcome.
    Outcome,
    /// Completes the key if it is present, otherwise nothing.
    AdoptedOutcome,
    /// Removes this daemon's own intent; nothing was started.
    Withdraw,
};

struct JournalWrite
{
    RequestKey key;
    JournalWriteKind kind = JournalWriteKind::Intent;
    JournalEntry entry;
    /// The write is sent at this time at the latest.
    MonotonicTime due{};
    /// A call that contained it got no answer; the store may have it.
    bool maybeStored = false;
};

struct JournalOptions
{
    /// Daemon name and incarnation, as stored with intents.
    std::string holder;
    /// High bits of the ids of this part's store calls.
    std::uint64_t callIdBase = 0;
    milliseconds horizon{900000};
    /// Bytes; larger results are left out of the journal.
    std::size_t resultLimit = 1024;
    /// An outcome waits this long for a commit to ride on.
    milliseconds outcomeDelay{1000};
    /// Time between two writes of a partition: 32 partitions at 10 writes a second stay below the store's several
    /// hundred writes a second.
    milliseconds commitInterval{100};
    /// A call without an answer for this long counts as ambiguous.
    milliseconds callTimeout{2000};
    /// Bytes; the store takes values of up to 1 MB. The floor is raised when a record would be larger than this.
    std::size_t maxRecordBytes = 900000;
};

enum class JournalCallState : std::uint8_t { Idle, Reading, Writing };

struct JournalPartition
{
    bool loaded = false;
    /// Store version of `record`; 0 if it is absent there.
    std::uint64_t version = 0;
    JournalRecord record;
    std::vector<JournalWrite> pending;
    /// Writes of the call that is under way, and the record that it writes.
    std::vector<JournalWrite> sent;
    JournalRecord proposed;
    JournalCallState state = JournalCallState::Idle;
    std::uint64_t callId = 0;
    MonotonicTime sentAt{};
    MonotonicTime nextCall{};
    std::uint32_t failures = 0;
    bool readWanted = false;
    /// Reads that were sent and the last of them that was answered.
    std::uint64_t readsSent = 0;
    std::uint64_t readsDone = 0;
};

struct JournalTable
{
    JournalOptions options;
    std::array<JournalPartition, partitionCount> partitions;
    std::uint64_t nextCall = 1;
};

enum class JournalNoticeKind : std::uint8_t {
    /// The intent or outcome is in the store.
    Recorded,
    /// The key was there already; `entry` is what is recorded.
    Taken,
    /// The key is absent and was created before the floor.
    BelowFloor,
};

/// What the journal tells the request part.
struct JournalNotice
{
    RequestKey key;
    JournalNoticeKind kind = JournalNoticeKind::Recorded;
    JournalWriteKind write = JournalWriteKind::Intent;
    JournalEntry entry;
};

using JournalNotices = std::vector<JournalNotice>;

std::string journalKey(std::uint32_t partition);

/// The recorded state by the last read or write, or null.
const JournalEntry *findRecorded(const JournalTable &table, const RequestKey &key);

/// Queues a write. An outcome replaces the intent of its key that was not sent yet; a withdrawal of an intent that the
/// store can't have is dropped together with it.
void addJournalWrite(JournalTable &table, JournalWrite write);

/// The outcome as it is recorded: a result over the limit is left out.
JournalEntry makeOutcome(const JournalOptions &options, WallTime created, const Answer &answer);

/// Asks for a read that is sent from now on. Returns the number to compare with `readsDone`.
std::uint64_t requestJournalRead(JournalTable &table, const RequestKey &key);

/// Sends what is due in the key's partition.
void pumpJournal(
    JournalTable &table, std::uint32_t partition, const Now &now, JournalNotices &notices, Actions &actions);

/// Returns the partition that the reply was for, or nothing if it came too late.
std::optional<std::uint32_t> onJournalReply(
    JournalTable &table, const StoreReply &reply, const Now &now, JournalNotices &notices, Actions &actions);

/// Ends calls without an answer and sends what is due.
void tickJournal(JournalTable &table, const Now &now, JournalNotices &notices, Actions &actions);

/// True if every write is in the store.
bool isFlushed(const JournalTable &table);

} // namespace wigeonkeel
