#include "core/protocol/journal.h"

#include "core/protocol/request_codec.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "journal";
constexpr milliseconds firstRetryDelay{50};
constexpr milliseconds maxRetryDelay{2000};
constexpr std::uint32_t maxDoublings = 5;

WallTime floorNow(const JournalOptions &options, const JournalRecord &record, const Now &now)
{
    return std::max(record.floor, now.wall - options.horizon);
}

/// Raises the floor until the record is three quarters of the limit, so that the next commits find room.
void limitSize(const JournalOptions &options, JournalRecord &record, Actions &actions)
{
    std::size_t size = 0;
    for (const auto &[key, entry] : record.entries) {
        size += encodedSize(entry);
    }
    if (size <= options.maxRecordBytes) {
        return;
    }
    std::vector<std::pair<WallTime, std::size_t>> byAge;
    byAge.reserve(record.entries.size());
    for (const auto &[key, entry] : record.entries) {
        byAge.emplace_back(entry.created, encodedSize(entry));
    }
    std::ranges::sort(byAge);
    for (const auto &[created, bytes] : byAge) {
        if (size <= options.maxRecordBytes * 3 / 4) {
            break;
        }
        size -= bytes;
        record.floor = created + milliseconds(1);
    }
    absl::erase_if(record.entries, [&](const auto &item) { return item.second.created < record.floor; });
    actions.push_back(LogAction{.level = LogLevel::Warning,
        .part = logPart,
        .text = fmt::format("a partition is near the store's size limit; its floor was raised to {} ms",
            record.floor.time_since_epoch().count())});
}

/// Drops what is before the floor. Returns the record that a commit starts from.
JournalRecord prunedRecord(const JournalOptions &options, const JournalRecord &base, const Now &now)
{
    JournalRecord record = base;
    record.floor = floorNow(options, base, now);
    absl::erase_if(record.entries, [&](const auto &item) { return item.second.created < record.floor; });
    return record;
}

/// Applies an intent. False if the key is taken or too old; the notice says which.
bool applyIntent(
    const JournalOptions &options, JournalRecord &record, const JournalWrite &write, JournalNotices &notices)
{
    const auto found = record.entries.find(write.key);
    if (found == record.entries.end() && write.entry.created < record.floor) {
        notices.push_back({.key = write.key, .kind = JournalNoticeKind::BelowFloor, .write = write.kind});
        return false;
    }
    // Its own intent is there if an earlier write took effect although its answer was lost.
    if (found != record.entries.end() && (found->second.holder != options.holder || found->second.ended)) {
        notices.push_back(
            {.key = write.key, .kind = JournalNoticeKind::Taken, .write = write.kind, .entry = found->second});
        return false;
    }
    record.entries.insert_or_assign(write.key, write.entry);
    return true;
}

/// Applies a write that is no intent. Returns true if the record changed.
bool applyOther(const JournalOptions &options, JournalRecord &record, const JournalWrite &write)
{
    const auto found = record.entries.find(write.key);
    if (write.kind == JournalWriteKind::Withdraw) {
        if (found == record.entries.end() || found->second.ended || found->second.holder != options.holder) {
            return false;
        }
        record.entries.erase(found);
        return true;
    }
    if (found == record.entries.end()) {
        if (write.kind == JournalWriteKind::AdoptedOutcome || write.entry.created < record.floor) {
            return false;
        }
        record.entries.insert_or_assign(write.key, write.entry);
        return true;
    }
    if (found->second.ended) {
        return false;
    }
    const WallTime created = found->second.created;
    found->second = write.entry;
    found->second.created = created;
    return true;
}

void startCall(JournalTable &table, JournalPartition &partition, JournalCallState state, StoreCall call, const Now &now,
    Actions &actions)
{
    call.id = table.options.callIdBase | table.nextCall++;
    partition.callId = call.id;
    partition.state = state;
    partition.sentAt = now.monotonic;
    actions.push_back(std::move(call));
}

void sendRead(JournalTable &table, JournalPartition &partition, std::uint32_t index, const Now &now, Actions &actions)
{
    partition.readWanted = false;
    ++partition.readsSent;
    startCall(table, partition, JournalCallState::Reading, {.kind = StoreCallKind::Get, .key = journalKey(index)}, now,
        actions);
}

void noteRecorded(std::span<const JournalWrite> writes, JournalNotices &notices)
{
    for (const JournalWrite &write : writes) {
        notices.push_back({.key = write.key, .kind = JournalNoticeKind::Recorded, .write = write.kind});
    }
}

/// Writes all pending changes in one compare-and-swap.
void sendCommit(JournalTable &table, JournalPartition &partition, std::uint32_t index, const Now &now,
    JournalNotices &notices, Actions &actions)
{
    JournalRecord record = prunedRecord(table.options, partition.record, now);
    std::vector<JournalWrite> writes = std::move(partition.pending);
    partition.pending.clear();
    bool changed = false;
    std::erase_if(writes, [&](const JournalWrite &write) {
        if (write.kind == JournalWriteKind::Intent) {
            const bool applied = applyIntent(table.options, record, write, notices);
            changed = changed || applied;
            return !applied;
        }
        changed = applyOther(table.options, record, write) || changed;
        return false;
    });
    if (!changed) {
        noteRecorded(writes, notices);
        return;
    }
    limitSize(table.options, record, actions);
    // The raised floor may have dropped an intent of this very commit.
    std::erase_if(writes, [&](const JournalWrite &write) {
        const bool dropped = write.kind == JournalWriteKind::Intent && !record.entries.contains(write.key);
        if (dropped) {
            notices.push_back({.key = write.key, .kind = JournalNoticeKind::BelowFloor, .write = write.kind});
        }
        return dropped;
    });
    StoreCall call{.kind = StoreCallKind::Put,
        .key = journalKey(index),
        .value = encodeJournal(record),
        .expectedVersion = partition.version};
    partition.sent = std::move(writes);
    partition.proposed = std::move(record);
    partition.nextCall = now.monotonic + table.options.commitInterval;
    startCall(table, partition, JournalCallState::Writing, std::move(call), now, actions);
}

/// Puts the writes of an unfinished call back in front of those that came later, so that their order stays.
void requeueSent(JournalPartition &partition, bool maybeStored)
{
    for (JournalWrite &write : partition.sent) {
        write.maybeStored = write.maybeStored || maybeStored;
    }
    std::ranges::move(partition.pending, std::back_inserter(partition.sent));
    partition.pending = std::move(partition.sent);
    partition.sent.clear();
}

void backOff(JournalPartition &partition, const Now &now)
{
    const std::uint32_t doublings = std::min(partition.failures, maxDoublings);
    ++partition.failures;
    partition.nextCall = now.monotonic + std::min(firstRetryDelay * (1U << doublings), maxRetryDelay);
}

/// Takes over what the store holds. False if it is not a journal record.
bool takeEntry(JournalPartition &partition, const StoreReply &reply)
{
    if (reply.entries.empty()) {
        partition.record = {};
        partition.version = 0;
        partition.loaded = true;
        return true;
    }
    auto record = decodeJournal(reply.entries.front().value);
    if (!record) {
        return false;
    }
    partition.record = std::move(*record);
    partition.version = reply.entries.front().version;
    partition.loaded = true;
    return true;
}

void logDamaged(const StoreReply &reply, Actions &actions)
{
    actions.push_back(LogAction{.level = LogLevel::Error,
        .part = logPart,
        .text = fmt::format("the journal record {} can't be read; its requests are undecided",
            reply.entries.empty() ? "" : reply.entries.front().key)});
}

void finishRead(JournalPartition &partition, const StoreReply &reply, const Now &now, Actions &actions)
{
    const bool answered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound;
    if (!answered || !takeEntry(partition, reply)) {
        if (answered) {
            logDamaged(reply, actions);
        }
        partition.readWanted = true;
        backOff(partition, now);
        return;
    }
    partition.readsDone = partition.readsSent;
    partition.failures = 0;
    partition.nextCall = now.monotonic;
}

void finishWrite(
    JournalPartition &partition, const StoreReply &reply, const Now &now, JournalNotices &notices, Actions &actions)
{
    if (reply.status == StoreStatus::Ok) {
        partition.record = std::move(partition.proposed);
        partition.version = reply.entries.empty() ? reply.revision : reply.entries.front().version;
        partition.failures = 0;
        noteRecorded(partition.sent, notices);
        partition.sent.clear();
        return;
    }
    requeueSent(partition, reply.status == StoreStatus::Ambiguous);
    if (reply.status == StoreStatus::Conflict) {
        if (reply.entries.empty()) {
            // Removed, or not sent along: a read shows which.
            partition.loaded = false;
            return;
        }
        if (!takeEntry(partition, reply)) {
            logDamaged(reply, actions);
            backOff(partition, now);
            return;
        }
        partition.nextCall = now.monotonic;
        return;
    }
    if (reply.status == StoreStatus::Ambiguous) {
        // The read shows whether the write took effect. A write that takes effect after the read makes the next one
        // a conflict, so that it is seen in either case.
        partition.loaded = false;
        partition.nextCall = now.monotonic;
        return;
    }
    backOff(partition, now);
}

bool isDue(const JournalPartition &partition, const Now &now)
{
    return std::ranges::any_of(
        partition.pending, [&](const JournalWrite &write) { return write.due <= now.monotonic; });
}

} // namespace

std::string journalKey(std::uint32_t partition)
{
    return fmt::format("j/{}", partition);
}

const JournalEntry *findRecorded(const JournalTable &table, const RequestKey &key)
{
    const JournalRecord &record = table.partitions[partitionOf(key)].record;
    const auto found = record.entries.find(key);
    return found == record.entries.end() ? nullptr : &found->second;
}

void addJournalWrite(JournalTable &table, JournalWrite write)
{
    JournalPartition &partition = table.partitions[partitionOf(write.key)];
    const auto sameKey = [&](const JournalWrite &earlier) { return earlier.key == write.key; };
    if (write.kind == JournalWriteKind::Intent) {
        partition.pending.push_back(std::move(write));
        return;
    }
    const bool maybeStored = std::ranges::any_of(partition.sent, sameKey)
        || std::ranges::any_of(
            partition.pending, [&](const JournalWrite &earlier) { return sameKey(earlier) && earlier.maybeStored; });
    std::erase_if(partition.pending, sameKey);
    if (write.kind == JournalWriteKind::Withdraw && !maybeStored) {
        // Otherwise refusals in a long outage would fill the memory.
        return;
    }
    write.maybeStored = maybeStored;
    partition.pending.push_back(std::move(write));
}

JournalEntry makeOutcome(const JournalOptions &options, WallTime created, const Answer &answer)
{
    JournalEntry entry{.created = created, .holder = options.holder, .ended = true, .answer = answer};
    if (answer.result.size() > options.resultLimit) {
        entry.answer.reason = fmt::format("the result of {} bytes was not kept", answer.result.size());
        entry.answer.result.clear();
        entry.resultOmitted = true;
    }
    return entry;
}

std::uint64_t requestJournalRead(JournalTable &table, const RequestKey &key)
{
    JournalPartition &partition = table.partitions[partitionOf(key)];
    partition.readWanted = true;
    return partition.readsSent + 1;
}

void pumpJournal(JournalTable &table, std::uint32_t index, const Now &now, JournalNotices &notices, Actions &actions)
{
    JournalPartition &partition = table.partitions[index];
    if (partition.state != JournalCallState::Idle || (partition.failures > 0 && now.monotonic < partition.nextCall)) {
        return;
    }
    const bool due = isDue(partition, now);
    if (partition.readWanted || (due && !partition.loaded)) {
        sendRead(table, partition, index, now, actions);
        return;
    }
    if (due && now.monotonic >= partition.nextCall) {
        sendCommit(table, partition, index, now, notices, actions);
    }
}

std::optional<std::uint32_t> onJournalReply(
    JournalTable &table, const StoreReply &reply, const Now &now, JournalNotices &notices, Actions &actions)
{
    for (std::uint32_t index = 0; index < partitionCount; ++index) {
        JournalPartition &partition = table.partitions[index];
        if (partition.state == JournalCallState::Idle || partition.callId != reply.id) {
            continue;
        }
        const bool reading = partition.state == JournalCallState::Reading;
        partition.state = JournalCallState::Idle;
        if (reading) {
            finishRead(partition, reply, now, actions);
        } else {
            finishWrite(partition, reply, now, notices, actions);
        }
        pumpJournal(table, index, now, notices, actions);
        return index;
    }
    return std::nullopt;
}

void tickJournal(JournalTable &table, const Now &now, JournalNotices &notices, Actions &actions)
{
    for (std::uint32_t index = 0; index < partitionCount; ++index) {
        JournalPartition &partition = table.partitions[index];
        if (partition.state != JournalCallState::Idle
            && now.monotonic - partition.sentAt >= table.options.callTimeout) {
            const StoreReply lost{.id = partition.callId, .status = StoreStatus::Ambiguous};
            onJournalReply(table, lost, now, notices, actions);
            continue;
        }
        pumpJournal(table, index, now, notices, actions);
    }
}

bool isFlushed(const JournalTable &table)
{
    return std::ranges::all_of(table.partitions,
        [](const JournalPartition &partition) { return partition.pending.empty() && partition.sent.empty(); });
}

} // namespace wigeonkeel
