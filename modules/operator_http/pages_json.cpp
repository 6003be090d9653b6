#include "modules/operator_http/pages_json.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

std::string_view nameOf(PeerLiveness liveness)
{
    switch (liveness) {
    case PeerLiveness::Alive:
        return "alive";
    case PeerLiveness::Suspect:
        return "suspect";
    case PeerLiveness::Dead:
        return "dead";
    }
    return "dead";
}

Json toJson(const Resources &amount)
{
    return {{"cpu_milli", amount.cpuMilli}, {"memory_mib", amount.memoryMib}, {"accelerators", amount.accelerators},
        {"slots", amount.slots}};
}

/// Generation of the operator that is surely in force at a daemon that has applied the watch up to a revision; null
/// if the daemon may have an older one.
Json generationAt(const ConfigEntry *entry, std::uint64_t configRevision)
{
    return entry != nullptr && configRevision >= entry->version ? Json(entry->generation) : Json(nullptr);
}

Json selfRow(const Scheduler &scheduler, const ConfigEntry *entry)
{
    const PeerInfo &self = scheduler.membership.options.self;
    return {{"name", self.name}, {"zone", self.zone}, {"liveness", "self"},
        {"config_revision", scheduler.configTable.revision},
        {"generation", entry == nullptr ? Json(nullptr) : Json(entry->generation)},
        {"owned_workers", ownedCount(scheduler.ownership)}, {"draining", scheduler.draining},
        {"store_reachable", scheduler.storeReachable}};
}

Json peerRow(std::string_view name, const PeerState &peer, const ConfigEntry *entry)
{
    const HeartbeatMessage &heartbeat = peer.heartbeat;
    return {{"name", name}, {"zone", peer.info.zone}, {"liveness", nameOf(peer.liveness)},
        {"config_revision", heartbeat.configRevision}, {"generation", generationAt(entry, heartbeat.configRevision)},
        {"owned_workers", heartbeat.ownedWorkers}, {"draining", heartbeat.draining},
        {"store_reachable", heartbeat.storeReachable}};
}

} // namespace

std::string statusPage(const Scheduler &scheduler, std::string_view operatorName)
{
    const ConfigEntry *entry = findOperator(scheduler.configTable, operatorName);
    Json daemons = Json::array({selfRow(scheduler, entry)});
    for (const auto &[name, peer] : scheduler.membership.peers) {
        daemons.push_back(peerRow(name, peer, entry));
    }
    Json json = {{"answered_by", scheduler.membership.options.self.name}, {"operator", operatorName},
        {"store_reachable", scheduler.storeReachable}, {"config_revision", scheduler.configTable.revision},
        {"generation", entry == nullptr ? Json(nullptr) : Json(entry->generation)},
        {"state",
            entry == nullptr       ? "unknown"
                : entry->cancelled ? "cancelled"
                                   : "active"},
        {"daemons", std::move(daemons)}};
    for (const SettingProblem &problem : entry == nullptr ? std::vector<SettingProblem>() : entry->problems) {
        json["problems"].push_back({{"line", problem.line}, {"text", problem.text}});
    }
    return dumpJson(json);
}

std::string workersPage(const Scheduler &scheduler)
{
    Json workers = Json::array();
    for (const WorkerEntry &worker : scheduler.cell.workers) {
        if (worker.present) {
            workers.push_back({{"name", worker.name}, {"zone", worker.zone}, {"rack", worker.rack},
                {"capacity", toJson(worker.capacity)}, {"free", toJson(worker.free)}, {"tasks", worker.tasks.size()},
                {"placeable", worker.placeable}});
        }
    }
    return dumpJson({{"answered_by", scheduler.membership.options.self.name}, {"workers", std::move(workers)}});
}

std::string tasksPage(const Scheduler &scheduler, std::string_view operatorName, std::size_t limit)
{
    Json tasks = Json::array();
    std::size_t total = 0;
    for (const auto &[id, task] : scheduler.cell.tasks) {
        const TaskLabel &label = labelOf(scheduler.cell, task);
        if (!operatorName.empty() && label.operatorName != operatorName) {
            continue;
        }
        if (++total > limit) {
            continue;
        }
        tasks.push_back({{"task", toString(id)}, {"operator", label.operatorName}, {"team", label.team},
            {"workload", label.workload}, {"kind", toString(label.kind)}, {"urgency", label.urgency},
            {"worker", scheduler.cell.workers[task.worker].name}, {"state", toString(task.state)},
            {"size", toJson(task.size)}, {"usage", toJson(task.usage)}, {"confirmed", task.confirmed}});
    }
    return dumpJson(
        {{"answered_by", scheduler.membership.options.self.name}, {"total", total}, {"tasks", std::move(tasks)}});
}

std::string explainPage(const Explanation &explanation)
{
    return dumpJson({{"known", explanation.known}, {"home", explanation.home}, {"state", explanation.state},
        {"can_never_run", explanation.canNeverRun}, {"reasons", explanation.reasons}});
}

} // namespace wigeonkeel
