#include "core/scheduler/operator_events.h"

#include "core/scheduler/scheduler.h"
#include "core/scheduler/settings_in_force.h"

#include <algorithm>
#include <optional>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

/// Answers what this daemon has in force, for the time when the store does not answer.
OperatorReply replyFromTable(const Scheduler &scheduler, const OperatorEvent &event)
{
    OperatorReply reply{.token = event.token, .fromMemory = true};
    const ConfigEntry *entry = findOperator(scheduler.configTable, event.operatorName);
    const bool question = event.kind == OperatorCommandKind::Show;
    if (entry == nullptr || !question) {
        reply.error = {.code = Errc::Unavailable,
            .step = fmt::format("{} settings", toString(event.kind)),
            .peer = event.operatorName,
            .detail = question ? "the store does not answer, and this daemon has no settings of the operator"
                               : "the store does not answer; nothing was changed"};
        return reply;
    }
    reply.generation = entry->generation;
    reply.cancelled = entry->cancelled;
    reply.settings = entry->text;
    reply.problems = entry->problems;
    reply.revision = entry->version;
    return reply;
}

/// Sends the reply now, or when the change is in force everywhere.
void finish(Scheduler &scheduler, ConfigResult result, const Now &now, Actions &actions)
{
    if (!result.reply.error && result.waitFor.count() > 0) {
        result.reply.pendingDaemons = daemonsBehind(scheduler, result.reply.revision);
        if (!result.reply.pendingDaemons.empty()) {
            scheduler.inForceWaits.push_back(
                {.reply = std::move(result.reply), .deadline = now.monotonic + result.waitFor});
            return;
        }
    }
    actions.push_back(std::move(result.reply));
}

void checkWaits(Scheduler &scheduler, const Now &now, Actions &actions)
{
    std::erase_if(scheduler.inForceWaits, [&](InForceWait &wait) {
        wait.reply.pendingDaemons = daemonsBehind(scheduler, wait.reply.revision);
        if (!wait.reply.pendingDaemons.empty() && now.monotonic < wait.deadline) {
            return false;
        }
        actions.push_back(std::move(wait.reply));
        return true;
    });
}

} // namespace

std::vector<std::string> daemonsBehind(const Scheduler &scheduler, std::uint64_t revision)
{
    std::vector<std::string> behind;
    if (scheduler.configTable.revision < revision) {
        behind.push_back(scheduler.membership.options.self.name);
    }
    for (const auto &[name, peer] : scheduler.membership.peers) {
        if (peer.liveness != PeerLiveness::Dead && peer.heartbeat.configRevision < revision) {
            behind.push_back(name);
        }
    }
    return behind;
}

void onOperatorEvent(Scheduler &scheduler, const OperatorEvent &event, const Now &now, Actions &actions)
{
    if (!scheduler.storeReachable) {
        actions.push_back(replyFromTable(scheduler, event));
        return;
    }
    const std::uint64_t callId = makeStoreCallId(scheduler, StorePart::Config);
    if (auto result = beginCommand(scheduler.configCommands, event, callId, now, actions)) {
        finish(scheduler, std::move(*result), now, actions);
    }
}

void onConfigReply(Scheduler &scheduler, const StoreReply &reply, const Now &now, Actions &actions)
{
    const std::uint64_t nextCallId = makeStoreCallId(scheduler, StorePart::Config);
    if (auto result = continueCommand(scheduler.configCommands, reply, nextCallId, now, actions)) {
        finish(scheduler, std::move(*result), now, actions);
    }
}

void onConfigWatch(Scheduler &scheduler, const StoreWatchUpdate &update, const Now &now, Actions &actions)
{
    applyConfigUpdate(scheduler.configTable, update, actions);
    takeChangedSettings(scheduler, actions);
    checkWaits(scheduler, now, actions);
}

void tickOperatorEvents(Scheduler &scheduler, const Now &now, Actions &actions)
{
    for (ConfigResult &result : expireCommands(scheduler.configCommands, now)) {
        finish(scheduler, std::move(result), now, actions);
    }
    while (retryCommand(scheduler.configCommands, makeStoreCallId(scheduler, StorePart::Config), now, actions)) {}
    checkWaits(scheduler, now, actions);
}

} // namespace wigeonkeel
