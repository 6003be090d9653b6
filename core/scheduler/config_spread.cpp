#include "core/scheduler/config_spread.h"

#include "core/scheduler/scheduler.h"
#include "core/scheduler/settings_in_force.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// Limit of a message with more than one record, so that answers don't fill the connection's bounded output buffer.
/// One record of 1 MB, the store's limit, still fits into a frame.
constexpr std::size_t pushBytes = std::size_t{256} * 1024;

std::size_t sizeOf(const ConfigRecord &record)
{
    return record.key.size() + record.value.size();
}

} // namespace

void pullConfigIfBehind(
    Scheduler &scheduler, std::string_view peer, std::uint64_t peerRevision, const Now &now, Actions &actions)
{
    ConfigSpread &spread = scheduler.configSpread;
    const std::uint64_t revision = scheduler.configTable.revision;
    if (scheduler.storeReachable || peerRevision <= revision || now.monotonic < spread.nextPull) {
        return;
    }
    spread.nextPull = now.monotonic + spread.pullInterval;
    ++scheduler.counters.configPulls;
    actions.push_back(SendToPeer{.peer = std::string(peer), .message = ConfigPullMessage{.revision = revision}});
}

void onConfigPull(const Scheduler &scheduler, std::string_view from, const ConfigPullMessage &message, Actions &actions)
{
    std::vector<ConfigRecord> newer = configRecordsSince(scheduler.configTable, message.revision);
    // In order of versions, each message completes the revision of its last record.
    std::ranges::sort(newer, {}, &ConfigRecord::version);
    ConfigPushMessage push{.revision = scheduler.configTable.revision, .records = {}, .more = false};
    std::size_t size = 0;
    for (ConfigRecord &record : newer) {
        size += sizeOf(record);
        if (!push.records.empty() && size > pushBytes) {
            push.revision = push.records.back().version;
            push.more = true;
            break;
        }
        push.records.push_back(std::move(record));
    }
    actions.push_back(SendToPeer{.peer = std::string(from), .message = std::move(push)});
}

void onConfigPush(Scheduler &scheduler, std::string_view from, const ConfigPushMessage &message, Actions &actions)
{
    ConfigTable &table = scheduler.configTable;
    applyConfigRecords(table, message.records, actions);
    takeChangedSettings(scheduler, actions);
    scheduler.counters.configRecordsFromPeers += message.records.size();
    const bool advanced = message.revision > table.revision;
    // The message completes this revision: everything older was known here or is in it.
    table.revision = std::max(table.revision, message.revision);
    if (message.more && advanced) {
        ++scheduler.counters.configPulls;
        actions.push_back(
            SendToPeer{.peer = std::string(from), .message = ConfigPullMessage{.revision = table.revision}});
    }
}

} // namespace wigeonkeel
