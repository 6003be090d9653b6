#include "standins/store/store_model.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::uint32_t percentWhole = 100;

bool isWrite(StoreCallKind kind)
{
    return kind != StoreCallKind::Get && kind != StoreCallKind::List;
}

bool takeToken(RateBucket &bucket, std::uint64_t perSecond, MonotonicTime now)
{
    const auto limit = static_cast<double>(perSecond);
    if (bucket.tokens < 0) {
        bucket = {.tokens = limit, .filledAt = now};
    }
    const std::chrono::duration<double> passed = now - bucket.filledAt;
    bucket = {.tokens = std::min(limit, bucket.tokens + passed.count() * limit), .filledAt = now};
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void recordChange(StoreModel &store, std::string_view key)
{
    store.history.push_back({.revision = ++store.revision, .key = std::string(key)});
    while (store.history.size() > store.options.historyLimit) {
        store.droppedRevision = store.history.front().revision;
        store.history.pop_front();
    }
}

StoreEntry toEntry(std::string_view key, const ModelEntry &entry)
{
    return {.key = std::string(key), .value = entry.value, .version = entry.version};
}

std::vector<StoreEntry> listPrefix(const StoreModel &store, std::string_view prefix)
{
    std::vector<StoreEntry> result;
    for (auto at = store.entries.lower_bound(prefix); at != store.entries.end() && at->first.starts_with(prefix);
         ++at) {
        result.push_back(toEntry(at->first, at->second));
    }
    return result;
}

MonotonicTime deadline(const StoreModel &store, milliseconds leaseTime, MonotonicTime now)
{
    return now + leaseTime * store.faults.leasePercent / percentWhole;
}

/// True if the entry's version is the expected one; otherwise the reply holds the conflict.
bool versionMatches(const StoreModel &store, const StoreCall &call, StoreReply &reply)
{
    const auto found = store.entries.find(call.key);
    const std::uint64_t version = found == store.entries.end() ? 0 : found->second.version;
    if (version == call.expectedVersion) {
        return true;
    }
    reply.status = StoreStatus::Conflict;
    if (found != store.entries.end()) {
        reply.entries.push_back(toEntry(found->first, found->second));
    }
    return false;
}

void put(StoreModel &store, const StoreCall &call, StoreReply &reply)
{
    if (call.lease != 0 && !store.leases.contains(call.lease)) {
        reply.status = StoreStatus::NotFound;
        return;
    }
    if (!versionMatches(store, call, reply)) {
        return;
    }
    recordChange(store, call.key);
    ModelEntry &entry = store.entries[call.key];
    entry = {.value = call.value, .version = store.revision, .lease = call.lease};
    // The value is known to the caller; only the new version is returned.
    reply.entries.push_back({.key = call.key, .value = {}, .version = entry.version});
}

void remove(StoreModel &store, const StoreCall &call, StoreReply &reply)
{
    const auto found = store.entries.find(call.key);
    if (found == store.entries.end()) {
        reply.status = StoreStatus::NotFound;
        return;
    }
    if (!versionMatches(store, call, reply)) {
        return;
    }
    store.entries.erase(found);
    recordChange(store, call.key);
}

void renew(StoreModel &store, const StoreCall &call, MonotonicTime now, StoreReply &reply)
{
    const auto found = store.leases.find(call.lease);
    if (found == store.leases.end()) {
        reply.status = StoreStatus::NotFound;
        return;
    }
    found->second = deadline(store, call.leaseTime, now);
    reply.lease = call.lease;
}

void carryOut(StoreModel &store, const StoreCall &call, MonotonicTime now, StoreReply &reply)
{
    const auto found = store.entries.find(call.key);
    switch (call.kind) {
    case StoreCallKind::Get:
        if (found == store.entries.end()) {
            reply.status = StoreStatus::NotFound;
            return;
        }
        reply.entries.push_back(toEntry(found->first, found->second));
        return;
    case StoreCallKind::List:
        reply.entries = listPrefix(store, call.key);
        return;
    case StoreCallKind::Put:
        put(store, call, reply);
        return;
    case StoreCallKind::Remove:
        remove(store, call, reply);
        return;
    case StoreCallKind::OpenLease:
        reply.lease = store.nextLease++;
        store.leases[reply.lease] = deadline(store, call.leaseTime, now);
        return;
    case StoreCallKind::RenewLease:
        renew(store, call, now, reply);
        return;
    }
}

bool losesAnswer(StoreModel &store)
{
    StoreFaults &faults = store.faults;
    if (faults.loseNextWrites > 0) {
        --faults.loseNextWrites;
        return true;
    }
    return faults.loseWritePercent > 0 && store.random() % percentWhole < faults.loseWritePercent;
}

} // namespace

StoreModel makeStoreModel(const StoreModelOptions &options)
{
    // Revision 0 stands for "nothing seen yet" in a watch, so the first one is 1.
    StoreModel store{.options = options, .revision = 1};
    store.random.seed(options.seed);
    return store;
}

std::optional<StoreReply> callStore(StoreModel &store, const StoreCall &call, MonotonicTime now)
{
    if (store.faults.down) {
        return std::nullopt;
    }
    advance(store, now);
    const bool write = isWrite(call.kind);
    ++(write ? store.counters.writes : store.counters.reads);
    StoreReply reply{.id = call.id, .status = StoreStatus::Ok, .entries = {}, .detail = {}};
    const bool admitted = write ? takeToken(store.writes, store.options.writesPerSecond, now)
                                : takeToken(store.reads, store.options.readsPerSecond, now);
    if (!admitted) {
        ++store.counters.throttled;
        reply.status = StoreStatus::Throttled;
        reply.revision = store.revision;
        return reply;
    }
    carryOut(store, call, now, reply);
    reply.revision = store.revision;
    if (write && losesAnswer(store)) {
        ++store.counters.lostAnswers;
        return std::nullopt;
    }
    return reply;
}

bool admitWatch(StoreModel &store, MonotonicTime now)
{
    ++store.counters.watches;
    if (takeToken(store.reads, store.options.readsPerSecond, now)) {
        return true;
    }
    ++store.counters.throttled;
    return false;
}

std::optional<StoreWatchUpdate> watchStore(const StoreModel &store, std::string_view prefix, std::uint64_t after)
{
    StoreWatchUpdate update{.revision = store.revision, .changed = {}, .removed = {}};
    if (after == 0 || after < store.droppedRevision || after > store.revision) {
        update.full = true;
        update.changed = listPrefix(store, prefix);
        return update;
    }
    std::set<std::string_view> changed;
    const auto first = std::ranges::upper_bound(store.history, after, {}, &ModelChange::revision);
    for (auto change = first; change != store.history.end(); ++change) {
        if (change->key.starts_with(prefix)) {
            changed.insert(change->key);
        }
    }
    if (changed.empty()) {
        return std::nullopt;
    }
    for (const std::string_view key : changed) {
        const auto found = store.entries.find(key);
        if (found == store.entries.end()) {
            update.removed.emplace_back(key);
        } else {
            update.changed.push_back(toEntry(found->first, found->second));
        }
    }
    std::ranges::sort(update.changed, {}, &StoreEntry::version);
    return update;
}

bool advance(StoreModel &store, MonotonicTime now)
{
    const std::uint64_t before = store.revision;
    std::erase_if(store.leases, [&store, now](const auto &lease) {
        if (lease.second > now) {
            return false;
        }
        ++store.counters.lapsedLeases;
        for (auto entry = store.entries.begin(); entry != store.entries.end();) {
            if (entry->second.lease != lease.first) {
                ++entry;
                continue;
            }
            recordChange(store, entry->first);
            entry = store.entries.erase(entry);
        }
        return true;
    });
    return store.revision != before;
}

MonotonicTime nextChange(const StoreModel &store)
{
    MonotonicTime next = MonotonicTime::max();
    for (const auto &[lease, deadline] : store.leases) {
        next = std::min(next, deadline);
    }
    return next;
}

void dropHistory(StoreModel &store)
{
    store.history.clear();
    store.droppedRevision = ++store.revision;
}

} // namespace wigeonkeel
