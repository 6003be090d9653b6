#include "core/scheduler/explain.h"

#include "core/scheduler/headroom.h"
#include "core/scheduler/job_progress.h"
#include "core/scheduler/scheduler.h"
#include "core/scheduler/share_order.h"
#include "core/scheduler/task_limits.h"

#include <algorithm>
#include <array>
#include <optional>
#include <span>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

std::string_view phaseName(RequestPhase phase)
{
    switch (phase) {
    case RequestPhase::Queued:
        return "queued";
    case RequestPhase::Starting:
        return "starting";
    case RequestPhase::Running:
        return "running";
    case RequestPhase::Ended:
        return "ended";
    default:
        return "in progress";
    }
}

/// Rows about single tasks in one explanation.
constexpr std::size_t maxTaskRows = 5;

std::string_view stateOf(const JobEntry &job)
{
    switch (job.phase) {
    case JobPhase::Ended:
        return "ended";
    case JobPhase::Running: {
        const auto started = [](const JobTask &task) { return task.state == JobTaskState::Started; };
        return std::ranges::any_of(job.tasks, started) ? "running" : "queued";
    }
    default:
        return "in progress";
    }
}

/// Adds the owned workers that run tasks of the job.
void explainCharged(const Scheduler &scheduler, const RequestKey &key, Explanation &explanation)
{
    const CellState &cell = scheduler.cell;
    const std::vector<TaskId> charged = tasksOnWorkers(scheduler, key);
    for (const TaskId &task : std::span(charged).first(std::min(charged.size(), maxTaskRows))) {
        const TaskEntry &entry = cell.tasks.find(task)->second;
        explanation.reasons.push_back(fmt::format("Task {} is {} on worker '{}', which this daemon owns.", task.index,
            entry.confirmed ? toString(entry.state) : "starting", cell.workers[entry.worker].name));
    }
    if (charged.size() > maxTaskRows) {
        explanation.reasons.push_back(
            fmt::format("{} more of its tasks are on workers of this daemon.", charged.size() - maxTaskRows));
    }
    if (!charged.empty() && !explanation.known) {
        explanation.known = true;
        explanation.state = "running";
    }
}

void explainQueued(const Scheduler &scheduler, const TaskSpec &task, const Now &now, Explanation &explanation)
{
    explainSettings(scheduler, task.label, explanation);
    explainQueue(scheduler, task, explanation);
    explainHeadroom(scheduler, task, now, explanation);
    explainSize(scheduler, task, explanation);
    explainPolicy(scheduler, task.label, explanation);
}

void explainJob(
    const Scheduler &scheduler, const RequestKey &key, const JobEntry &job, const Now &now, Explanation &explanation)
{
    explanation.known = true;
    explanation.state = stateOf(job);
    std::array<std::size_t, 5> counts{};
    std::optional<std::uint32_t> queued;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const JobTaskState state = job.tasks[index].state;
        ++counts[static_cast<std::size_t>(state)];
        queued = !queued && state == JobTaskState::Queued ? index : queued;
    }
    explanation.reasons.push_back(
        fmt::format("Of {} tasks {} wait for their turn at the home, {} are queued, {} started, {} done, {} failed.",
            job.tasks.size(), counts[0], counts[1], counts[2], counts[3], counts[4]));
    if (!job.firstFailure.empty()) {
        explanation.reasons.push_back(fmt::format("The first failure: {}.", job.firstFailure));
    }
    if (job.stopReason) {
        explanation.reasons.push_back(fmt::format("It is being stopped: {}.", *job.stopReason));
    }
    if (queued) {
        explanation.reasons.push_back(fmt::format("Task {} is queued:", *queued));
        explainQueued(scheduler, jobTaskSpec(key, job, *queued), now, explanation);
    }
}

void explainDaemon(const Scheduler &scheduler, Explanation &explanation)
{
    if (scheduler.draining) {
        explanation.reasons.emplace_back("This daemon is shutting down and takes no new work.");
    }
    if (!scheduler.storeReachable) {
        explanation.reasons.emplace_back(
            "The store does not answer; jobs and retries of requests wait or are refused.");
    }
}

} // namespace

void explainSize(const Scheduler &scheduler, const TaskSpec &task, Explanation &explanation)
{
    std::size_t total = 0;
    std::size_t large = 0;
    std::size_t withRoom = 0;
    std::size_t closed = 0;
    for (const WorkerEntry &worker : scheduler.cell.workers) {
        if (!worker.present) {
            continue;
        }
        ++total;
        const bool largeEnough = fits(task.size, worker.capacity);
        const bool room = largeEnough && fits(task.size, worker.free);
        large += largeEnough ? 1 : 0;
        withRoom += room && worker.placeable ? 1 : 0;
        closed += room && !worker.placeable ? 1 : 0;
    }
    explanation.canNeverRun = total > 0 && large == 0;
    if (total == 0) {
        explanation.reasons.emplace_back("This daemon owns no workers; it depends on its peers' workers.");
        return;
    }
    if (explanation.canNeverRun) {
        explanation.reasons.push_back(fmt::format(
            "A task needs {}; none of the {} owned workers is that large, even empty.", describe(task.size), total));
        return;
    }
    explanation.reasons.push_back(
        fmt::format("A task needs {}; of {} owned workers {} are large enough, {} have room now.", describe(task.size),
            total, large, withRoom));
    if (closed > 0) {
        explanation.reasons.push_back(fmt::format(
            "{} further workers have room, but take no new tasks: they are leaving or were excluded for failures.",
            closed));
    }
}

void explainSettings(const Scheduler &scheduler, const TaskLabel &label, Explanation &explanation)
{
    const ConfigEntry *entry = findOperator(scheduler.configTable, label.operatorName);
    if (entry == nullptr) {
        explanation.reasons.push_back(
            fmt::format("No settings of operator '{}' are in force on this daemon.", label.operatorName));
        return;
    }
    if (entry->cancelled) {
        explanation.reasons.push_back(fmt::format("Operator '{}' is cancelled.", label.operatorName));
        return;
    }
    if (!label.workload.empty() && findWorkload(scheduler.configTable, label.operatorName, label.workload) == nullptr) {
        explanation.reasons.push_back(fmt::format("Generation {} of operator '{}' has no workload '{}'.",
            entry->generation, label.operatorName, label.workload));
    }
}

void explainHeadroom(const Scheduler &scheduler, const TaskSpec &task, const Now &now, Explanation &explanation)
{
    if (task.label.kind != TaskKind::Batch) {
        return;
    }
    // Closing a window of the rates is a change, which an explanation must not make.
    ArrivalRates rates = scheduler.arrivals;
    const Resources kept = keptForRequests(rates, scheduler.cell, now);
    if (!leavesFree(scheduler.cell, task.size, kept)) {
        explanation.reasons.push_back(fmt::format("Room kept for urgent requests holds it: {} must stay free, {} is "
                                                  "free.",
            describe(kept), describe(placeableFree(scheduler.cell))));
    }
}

void explainPolicy(const Scheduler &scheduler, const TaskLabel &label, Explanation &explanation)
{
    const PolicyPlugin *policy = policyFor(scheduler.cell, label);
    if (policy == nullptr) {
        explanation.reasons.push_back(
            fmt::format("This daemon has no placement policy for {} tasks.", toString(label.kind)));
        return;
    }
    const ConfigEntry *entry = findOperator(scheduler.configTable, label.operatorName);
    const std::string named
        = entry == nullptr ? std::string() : entry->settings.policies[static_cast<std::size_t>(label.kind)];
    if (named.empty()) {
        explanation.reasons.push_back(fmt::format(
            "Placement policy '{}' is used, the default for {} tasks.", policy->name, toString(label.kind)));
    } else if (named == policy->name) {
        explanation.reasons.push_back(fmt::format("Placement policy '{}' is used, by generation {} of operator '{}'.",
            policy->name, entry->generation, label.operatorName));
    } else {
        explanation.reasons.push_back(
            fmt::format("Placement policy '{}' is used, because this daemon was built without '{}', which generation "
                        "{} of operator '{}' names.",
                policy->name, named, entry->generation, label.operatorName));
    }
}

void explainQueue(const Scheduler &scheduler, const TaskSpec &task, Explanation &explanation)
{
    const PendingQueue &queue = scheduler.pending;
    const auto found = queue.byId.find(task.id);
    if (found == queue.byId.end()) {
        const auto offer = scheduler.offers.outgoing.find(task.id);
        if (offer != scheduler.offers.outgoing.end()) {
            explanation.reasons.push_back(
                fmt::format("It was offered to daemon '{}', which has not settled it yet.", offer->second.peer));
        }
        return;
    }
    const QueueShape::Queued &queued = *found->second;
    const KindQueue &kind = queue.kinds[static_cast<std::size_t>(task.label.kind)];
    std::size_t ahead = 0;
    for (std::size_t level = queued.shape->urgency + 1U; level < urgencyLevels; ++level) {
        ahead += kind.byUrgency[level].size();
    }
    for (const QueueShape::Queued *other : kind.byUrgency[queued.shape->urgency]) {
        if (other == &queued) {
            break;
        }
        ++ahead;
    }
    explanation.reasons.push_back(fmt::format("{} of {} queued {} tasks are ahead of it by urgency and arrival.", ahead,
        kind.count, toString(task.label.kind)));
    const AdmissionDecision decision = mayStartTask(scheduler, task.label, task.size);
    if (!decision.admitted) {
        explanation.reasons.push_back(fmt::format("A limit holds it: {}.", decision.reason));
    }
    if (isAboveShare(scheduler, task.label, task.size)) {
        explanation.reasons.push_back(fmt::format(
            "Team '{}' would hold more than its share by weight here; waiting teams below their share go first.",
            task.label.team));
    }
}

Explanation explainTask(const Scheduler &scheduler, std::string_view operatorName, std::string_view id, const Now &now)
{
    const RequestKey key = makeRequestKey(operatorName, id);
    Explanation explanation;
    explanation.home = homeOf(scheduler.membership, partitionOf(key));
    explainDaemon(scheduler, explanation);
    const auto found = scheduler.requests.entries.find(key);
    if (found == scheduler.requests.entries.end()) {
        const auto job = scheduler.jobs.entries.find(key);
        if (job != scheduler.jobs.entries.end()) {
            explainJob(scheduler, key, job->second, now, explanation);
        }
        explainCharged(scheduler, key, explanation);
        if (explanation.known) {
            return explanation;
        }
        explanation.reasons.push_back(
            fmt::format("This daemon does not know the id; ask the home daemon '{}'.", explanation.home));
        return explanation;
    }
    const RequestEntry &entry = found->second;
    explanation.known = true;
    explanation.state = phaseName(entry.phase);
    if (!entry.answer.reason.empty()) {
        explanation.reasons.push_back(fmt::format("{}: {}.", toString(entry.answer.outcome), entry.answer.reason));
    }
    const auto charged = scheduler.cell.tasks.find({.job = key, .index = 0});
    if (charged != scheduler.cell.tasks.end()) {
        explanation.reasons.push_back(fmt::format("Its task is on worker '{}', which this daemon owns.",
            scheduler.cell.workers[charged->second.worker].name));
    }
    if (entry.phase == RequestPhase::Queued) {
        const TaskSpec task = taskOf(scheduler.requests, key, entry);
        explainQueued(scheduler, task, now, explanation);
    }
    return explanation;
}

} // namespace wigeonkeel
