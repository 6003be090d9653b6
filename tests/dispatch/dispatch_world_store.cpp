#include "tests/dispatch/dispatch_world.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

StoreReply World::transact(const StoreTransaction &transaction)
{
    StoreReply result{.call = transaction.call, .status = CallStatus::Ok, .items = {}};
    bool holds = true;
    for (const StoreCondition &condition : transaction.conditions) {
        const auto found = store.items.find(condition.key);
        const std::uint64_t present = found == store.items.end() ? 0 : found->second.revision;
        holds = holds && present == condition.revision;
        result.items.push_back(
            {.key = condition.key, .value = present == 0 ? std::string() : found->second.value, .revision = present});
    }
    if (!holds) {
        result.status = CallStatus::Conflict;
        return result;
    }
    result.items.clear();
    const std::size_t entries = transaction.conditions.size() + transaction.writes.size() + transaction.deletes.size();
    if (entries > maxTransactionEntries) {
        violations.push_back("a transaction is too large");
    }
    result.revision = ++store.revision;
    for (const StoreWrite &write : transaction.writes) {
        if (write.lease != 0 && !store.leases.contains(write.lease)) {
            result.status = CallStatus::NotFound;
            return result;
        }
        store.items[write.key] = {.value = write.value, .revision = store.revision, .lease = write.lease};
    }
    for (const std::string &key : transaction.deletes) {
        store.items.erase(key);
    }
    return result;
}

StoreReply World::range(const StoreRange &range) const
{
    StoreReply result{.call = range.call, .status = CallStatus::Ok, .items = {}, .revision = store.revision};
    constexpr std::size_t pageItems = 50;
    for (const auto &[key, item] : store.items) {
        if (!key.starts_with(range.prefix) || key <= range.after) {
            continue;
        }
        if (result.items.size() == pageItems) {
            result.morePages = true;
            break;
        }
        result.items.push_back({.key = key, .value = item.value, .revision = item.revision, .lease = item.lease});
    }
    return result;
}

void World::expireLeases()
{
    for (auto lease = store.leases.begin(); lease != store.leases.end();) {
        if (lease->second.first > time || store.down) {
            ++lease;
            continue;
        }
        std::erase_if(store.items, [&](const auto &item) { return item.second.lease == lease->first; });
        lease = store.leases.erase(lease);
    }
}

void World::revokeLeases(std::size_t node)
{
    for (const auto &[lease, owner] : store.leaseOwners) {
        if (owner == node && store.leases.contains(lease)) {
            store.leases[lease].first = milliseconds(0);
        }
    }
}

bool World::isRefused(std::size_t node) const
{
    return store.down || store.refusedNodes.contains(node);
}

bool World::isSilent(std::size_t node) const
{
    return store.unresponsive || store.silentNodes.contains(node);
}

} // namespace wigeonkeel::dispatch
