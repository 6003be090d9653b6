#include "core/protocol/job_codec.h"
#include "core/protocol/jobs.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "jobs";
constexpr std::string_view recordPrefix = "b/";
/// A key that the store did not have is asked for again after this time.
constexpr std::chrono::minutes absentMemory{1};
constexpr std::size_t maxProbes = 10000;

std::string listPrefix(std::uint32_t partition)
{
    return fmt::format("{}{}/", recordPrefix, partition);
}

std::optional<RequestKey> keyOfRecord(std::string_view storeKey)
{
    const auto slash = storeKey.rfind('/');
    return slash == std::string_view::npos ? std::nullopt : parseRequestKey(storeKey.substr(slash + 1));
}

bool isUnsent(StoreStatus status)
{
    return status == StoreStatus::Unavailable || status == StoreStatus::Throttled;
}

std::uint64_t nextCallId(JobTable &table)
{
    return table.options.callIdBase | table.nextCall++;
}

bool takeCall(JobTable &table)
{
    if (table.callsLeft == 0) {
        return false;
    }
    --table.callsLeft;
    return true;
}

void sendCall(JobTable &table, const RequestKey &key, JobEntry &job, StoreCall call, JobCall kind, const Now &now,
    Actions &actions)
{
    JobStoreState &store = job.store;
    call.id = nextCallId(table);
    call.key = jobRecordKey(key);
    store.call = kind;
    store.callId = call.id;
    store.sentAt = now.monotonic;
    table.calls.emplace(call.id, key);
    actions.push_back(std::move(call));
}

void sendPut(JobTable &table, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions)
{
    JobStoreState &store = job.store;
    store.dirty = false;
    ++table.counts.writes;
    store.nextWrite = now.monotonic + table.options.writeInterval;
    store.saving.swap(store.unsaved);
    sendCall(table, key, job,
        {.kind = StoreCallKind::Put, .value = encodeJob(recordOf(table, job)), .expectedVersion = store.version},
        JobCall::Put, now, actions);
}

void failWrite(JobEntry &job)
{
    JobStoreState &store = job.store;
    store.dirty = true;
    store.unsaved.insert(store.unsaved.end(), store.saving.begin(), store.saving.end());
    store.saving.clear();
}

/// Another daemon holds the record: those who wait are told to ask again, and the wiring takes the queued tasks out.
void leaveJob(JobTable &table, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions)
{
    answerJobWaiters(table, job,
        {.outcome = Outcome::Unknown,
            .reason = "another daemon has taken the job over",
            .retryAfter = table.options.retryInterval},
        actions);
    actions.push_back(LogAction{.level = LogLevel::Info,
        .part = logPart,
        .text = fmt::format("job {} was taken over by another daemon", toString(key))});
    job.phase = JobPhase::Leaving;
    job.store = {};
    lookAt(table, key, job, now.monotonic);
}

void beginLocating(JobTable &table, JobEntry &job, const Now &now)
{
    job.phase = JobPhase::Locating;
    job.since = now.monotonic;
    ++table.counts.takenOver;
}

/// The store's record of a job that is in the table.
void compareStored(
    JobTable &table, const RequestKey &key, JobEntry &job, const StoreEntry &stored, const Now &now, Actions &actions)
{
    const auto record = decodeJob(stored.value);
    if (!record) {
        actions.push_back(LogAction{.level = LogLevel::Error,
            .part = logPart,
            .text = fmt::format("the record {} cannot be read; it stays as it is", stored.key)});
        job.store.notBefore = now.monotonic + table.options.retryInterval;
        return;
    }
    job.store.ambiguous = false;
    const bool own = record->holder == table.options.holder;
    if (own && job.phase == JobPhase::Recording) {
        job.store.version = stored.version;
        job.store.dirty = false;
        acceptJob(table, key, job, now, actions);
        return;
    }
    if (own && job.phase == JobPhase::TakingOver) {
        job.store.version = stored.version;
        job.store.dirty = false;
        beginLocating(table, job, now);
        return;
    }
    if (own) {
        job.store.version = stored.version;
        return;
    }
    if (job.phase == JobPhase::Recording || job.phase == JobPhase::TakingOver) {
        JobEntry &loaded = loadJob(table, key, *record, stored.version, now);
        answerJobWaiters(table, loaded, loaded.answer, actions);
        lookAt(table, key, loaded, now.monotonic);
        return;
    }
    leaveJob(table, key, job, now, actions);
}

void onPutOk(
    JobTable &table, const RequestKey &key, JobEntry &job, const StoreReply &reply, const Now &now, Actions &actions)
{
    JobStoreState &store = job.store;
    store.version = reply.entries.empty() ? reply.revision : reply.entries.front().version;
    store.ambiguous = false;
    for (const std::uint32_t index : store.saving) {
        job.tasks[index].saved = true;
    }
    store.saving.clear();
    if (job.phase == JobPhase::Recording) {
        acceptJob(table, key, job, now, actions);
    } else if (job.phase == JobPhase::TakingOver) {
        beginLocating(table, job, now);
    }
}

void refuseJob(JobTable &table, const RequestOptions &requests, const RequestKey &key, JobEntry &job, const Now &now,
    Actions &actions)
{
    answerJobWaiters(table, job,
        makeRefusal(requests, job.submission, "the store does not answer; jobs are kept there", now), actions);
    dropJob(table, key);
}

void onPutReply(JobTable &table, const RequestOptions &requests, const RequestKey &key, JobEntry &job,
    const StoreReply &reply, const Now &now, Actions &actions)
{
    if (reply.status == StoreStatus::Ok) {
        onPutOk(table, key, job, reply, now, actions);
        return;
    }
    failWrite(job);
    if (reply.status == StoreStatus::Conflict && !reply.entries.empty()) {
        compareStored(table, key, job, reply.entries.front(), now, actions);
        return;
    }
    if (isUnsent(reply.status) && job.phase == JobPhase::Recording && !job.store.ambiguous) {
        refuseJob(table, requests, key, job, now, actions);
        return;
    }
    if (!isUnsent(reply.status)) {
        job.store.ambiguous = job.store.ambiguous || reply.status == StoreStatus::Ambiguous;
        job.store.readBack = true;
        return;
    }
    job.store.notBefore = now.monotonic + table.options.retryInterval;
}

void onGetReply(
    JobTable &table, const RequestKey &key, JobEntry &job, const StoreReply &reply, const Now &now, Actions &actions)
{
    if (reply.status == StoreStatus::Ok && !reply.entries.empty()) {
        job.store.readBack = false;
        compareStored(table, key, job, reply.entries.front(), now, actions);
        return;
    }
    if (reply.status != StoreStatus::NotFound && reply.status != StoreStatus::Ok) {
        job.store.notBefore = now.monotonic + table.options.retryInterval;
        return;
    }
    job.store.readBack = false;
    job.store.version = 0;
    if (job.phase == JobPhase::Recording && !job.waiting.empty()) {
        // The lost write may still take effect; the next one then meets it as a conflict.
        job.store.nextWrite = now.monotonic;
        return;
    }
    if (job.phase == JobPhase::Recording || job.phase == JobPhase::Ended) {
        // Nobody was told that the job was accepted, or its record was removed after the time to keep it.
        dropJob(table, key);
        return;
    }
    leaveJob(table, key, job, now, actions);
}

void onEntryReply(JobTable &table, const RequestOptions &requests, const RequestKey &key, const StoreReply &reply,
    const Now &now, Actions &actions)
{
    JobEntry *job = findJob(table, key);
    if (job == nullptr || job->store.callId != reply.id) {
        return;
    }
    const JobCall call = std::exchange(job->store.call, JobCall::None);
    job->store.callId = 0;
    lookAt(table, key, *job, now.monotonic);
    switch (call) {
    case JobCall::Put:
        onPutReply(table, requests, key, *job, reply, now, actions);
        return;
    case JobCall::Get:
        onGetReply(table, key, *job, reply, now, actions);
        return;
    case JobCall::Remove:
        if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound) {
            dropJob(table, key);
            return;
        }
        job->store.readBack = !isUnsent(reply.status);
        job->store.notBefore = now.monotonic + table.options.retryInterval;
        return;
    case JobCall::None:
        return;
    }
}

bool onListReply(JobTable &table, const StoreReply &reply, const Now &now)
{
    const auto found = std::ranges::find(table.partitions, reply.id, &JobPartition::callId);
    if (found == table.partitions.end()) {
        return false;
    }
    found->callId = 0;
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        found->nextList = now.monotonic + table.options.retryInterval;
        return true;
    }
    found->nextList = now.monotonic + table.options.listInterval;
    table.listed.insert(table.listed.end(), reply.entries.begin(), reply.entries.end());
    return true;
}

void onProbeReply(JobTable &table, const StoreReply &reply, const Now &now, Actions &actions)
{
    const auto found
        = std::ranges::find_if(table.probes, [&](const auto &item) { return item.second.callId == reply.id; });
    if (found == table.probes.end()) {
        return;
    }
    found->second.callId = 0;
    found->second.at = now.monotonic;
    found->second.absent
        = reply.status == StoreStatus::NotFound || (reply.status == StoreStatus::Ok && reply.entries.empty());
    if (reply.status == StoreStatus::Ok && !reply.entries.empty()) {
        table.probes.erase(found);
        takeStoredJob(table, reply.entries.front(), now, actions);
    }
}

/// A call without an answer may have been executed.
void expireCall(JobTable &table, JobEntry &job, const Now &now)
{
    JobStoreState &store = job.store;
    if (store.call == JobCall::None || now.monotonic - store.sentAt < table.options.callTimeout) {
        return;
    }
    table.calls.erase(store.callId);
    if (store.call == JobCall::Put) {
        store.ambiguous = true;
        failWrite(job);
    }
    store.readBack = true;
    store.call = JobCall::None;
    store.callId = 0;
}

bool isRemovalDue(const JobTable &table, const JobEntry &job, const Now &now)
{
    return job.phase == JobPhase::Ended && !job.store.dirty && now.wall - job.endedAt >= table.options.keep;
}

} // namespace

std::string jobRecordKey(const RequestKey &key)
{
    return listPrefix(partitionOf(key)) + toString(key);
}

void pumpJobStore(JobTable &table, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions)
{
    JobStoreState &store = job.store;
    expireCall(table, job, now);
    const bool writeDue = store.dirty && now.monotonic >= store.nextWrite;
    const bool removalDue = isRemovalDue(table, job, now);
    const bool needed = store.readBack || writeDue || removalDue;
    if (store.call != JobCall::None || job.phase == JobPhase::Leaving || !needed || now.monotonic < store.notBefore
        || !takeCall(table)) {
        return;
    }
    if (store.readBack) {
        sendCall(table, key, job, {.kind = StoreCallKind::Get}, JobCall::Get, now, actions);
    } else if (writeDue) {
        sendPut(table, key, job, now, actions);
    } else {
        sendCall(table, key, job, {.kind = StoreCallKind::Remove, .expectedVersion = store.version}, JobCall::Remove,
            now, actions);
    }
}

void onJobReply(
    JobTable &table, const RequestOptions &requests, const StoreReply &reply, const Now &now, Actions &actions)
{
    const auto call = table.calls.find(reply.id);
    if (call != table.calls.end()) {
        const RequestKey key = call->second;
        table.calls.erase(call);
        onEntryReply(table, requests, key, reply, now, actions);
        return;
    }
    if (!onListReply(table, reply, now)) {
        onProbeReply(table, reply, now, actions);
    }
}

void takeStoredJob(JobTable &table, const StoreEntry &stored, const Now &now, Actions &actions)
{
    const auto key = keyOfRecord(stored.key);
    if (!key || !table.partitions[partitionOf(*key)].home) {
        return;
    }
    if (JobEntry *job = findJob(table, *key)) {
        // A list may be older than this daemon's own last write.
        const bool newer = stored.version > job->store.version && job->store.call == JobCall::None;
        if (newer && job->phase != JobPhase::Leaving) {
            compareStored(table, *key, *job, stored, now, actions);
        }
        return;
    }
    const auto record = decodeJob(stored.value);
    if (!record || record->submission.taskCount > table.options.maxTasks) {
        actions.push_back(LogAction{.level = LogLevel::Error,
            .part = logPart,
            .text = fmt::format("the record {} cannot be read; it stays as it is", stored.key)});
        return;
    }
    lookAt(table, *key, loadJob(table, *key, *record, stored.version, now), now.monotonic);
}

void pumpJobLists(JobTable &table, const Now &now, Actions &actions)
{
    for (std::uint32_t index = 0; index < partitionCount; ++index) {
        JobPartition &partition = table.partitions[index];
        const bool overdue = partition.callId != 0 && now.monotonic - partition.sentAt >= table.options.callTimeout * 4;
        const bool due = partition.callId == 0 && now.monotonic >= partition.nextList;
        if (!partition.home || (!due && !overdue) || !takeCall(table)) {
            continue;
        }
        partition.callId = nextCallId(table);
        partition.sentAt = now.monotonic;
        actions.push_back(
            StoreCall{.id = partition.callId, .kind = StoreCallKind::List, .key = listPrefix(index), .value = {}});
    }
}

bool probeJob(JobTable &table, const RequestKey &key, const Now &now, Actions &actions)
{
    const auto found = table.probes.find(key);
    if (found != table.probes.end() && found->second.absent && now.monotonic - found->second.at < absentMemory) {
        return true;
    }
    const bool underWay = found != table.probes.end() && now.monotonic - found->second.at < table.options.callTimeout;
    if (underWay || !takeCall(table)) {
        return false;
    }
    if (table.probes.size() >= maxProbes) {
        std::erase_if(table.probes, [&](const auto &item) { return now.monotonic - item.second.at >= absentMemory; });
    }
    const std::uint64_t id = nextCallId(table);
    table.probes.insert_or_assign(key, JobProbe{.callId = id, .at = now.monotonic});
    actions.push_back(StoreCall{.id = id, .kind = StoreCallKind::Get, .key = jobRecordKey(key), .value = {}});
    return false;
}

} // namespace wigeonkeel
