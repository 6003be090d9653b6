#include "standins/worker/worker_model.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr milliseconds defaultRunTime{50};
constexpr std::size_t recordedPayloadBytes = 100;

bool isRunning(const ModelTask &task)
{
    return holdsResources(task.report.state);
}

/// Remembers an id, so that a late start of it is answered Exists.
void remember(WorkerModel &worker, const TaskId &task)
{
    if (!worker.options.abilities.finishedMemory || !worker.remembered.insert(task).second) {
        return;
    }
    worker.rememberedOrder.push_back(task);
    if (worker.rememberedOrder.size() > worker.options.maxRemembered) {
        worker.remembered.erase(worker.rememberedOrder.front());
        worker.rememberedOrder.pop_front();
    }
}

void dropOldFinished(WorkerModel &worker)
{
    while (worker.finished.size() > worker.options.maxFinished) {
        worker.tasks.erase(worker.finished.front());
        worker.finished.pop_front();
        ++worker.records.droppedFinished;
    }
}

void endRun(WorkerModel &worker, const ModelTask &task, TaskState state, WorkerTime now)
{
    if (task.run < worker.records.runs.size()) {
        worker.records.runs[task.run].endedAt = now;
        worker.records.runs[task.run].state = state;
    }
}

void endTask(WorkerModel &worker, ModelTask &task, TaskState state, std::string detail, WorkerTime now)
{
    worker.used -= task.report.size;
    task.report.state = state;
    task.report.detail = std::move(detail);
    task.report.ranFor = now - task.startedAt;
    task.endingAt = WorkerTime::max();
    task.changedAt = ++worker.sequence;
    endRun(worker, task, state, now);
    remember(worker, task.report.id);
    worker.finished.push_back(task.report.id);
}

std::string resultOf(const WorkerModel &worker, const ModelTask &task)
{
    std::string result = fmt::format("result of {}: {}", toString(task.report.id), task.payload);
    const std::size_t size = worker.options.truth.resultBytes;
    if (size > 0) {
        result.resize(size, '.');
    }
    return result;
}

void finish(WorkerModel &worker, ModelTask &task, WorkerTime now)
{
    if (worker.faults.failEverything) {
        endTask(worker, task, TaskState::Failed, "this worker fails every task", now);
        return;
    }
    task.report.result = resultOf(worker, task);
    task.report.resultSize = task.report.result.size();
    task.report.resultDigest = stableHash(task.report.result);
    ++worker.records.done;
    endTask(worker, task, TaskState::Done, "", now);
}

void recordStart(WorkerModel &worker, ModelTask &task, WorkerTime now)
{
    WorkerRecords &records = worker.records;
    ++records.started;
    ++records.startsByTask[toString(task.report.id)];
    task.run = records.runs.size();
    if (records.runs.size() < worker.options.maxRuns) {
        records.runs.push_back({.task = task.report.id,
            .kind = task.report.label.kind,
            .idempotent = task.report.label.idempotent,
            .startedAt = now,
            .payload = task.payload.substr(0, recordedPayloadBytes)});
    } else {
        task.run = SIZE_MAX;
    }
    records.peak = {.cpuMilli = std::max(records.peak.cpuMilli, worker.used.cpuMilli),
        .memoryMib = std::max(records.peak.memoryMib, worker.used.memoryMib),
        .accelerators = std::max(records.peak.accelerators, worker.used.accelerators),
        .slots = std::max(records.peak.slots, worker.used.slots)};
}

WorkerTime endOfRun(const WorkerModel &worker, const WorkerCommand &command, WorkerTime now)
{
    if (command.task == ownerTaskId || command.label.kind == TaskKind::Service) {
        return WorkerTime::max();
    }
    const milliseconds declared = command.declaredRunTime.count() > 0 ? command.declaredRunTime : defaultRunTime;
    return now + trueRunTime(worker.options.truth, command.task, declared);
}

/// A higher fencing token takes the owner task over at once.
bool takesOver(const WorkerModel &worker, const WorkerCommand &command)
{
    return worker.options.abilities.fencing && command.task == ownerTaskId && command.epoch > worker.epoch;
}

CommandResult startTask(WorkerModel &worker, const WorkerCommand &command, WorkerTime now)
{
    CommandResult result{.sequence = command.sequence,
        .task = command.task,
        .holder = {},
        .leaseUntil = command.leaseUntil,
        .detail = {}};
    if (command.leaseUntil <= now) {
        ++worker.records.lateStarts;
        result.status = CommandStatus::Late;
        return result;
    }
    const auto present = worker.tasks.find(command.task);
    if (present != worker.tasks.end() && !takesOver(worker, command)) {
        result.status = CommandStatus::Exists;
        result.holder = present->second.report.holder;
        result.leaseUntil = present->second.report.leaseUntil;
        return result;
    }
    if (worker.remembered.contains(command.task)) {
        result.status = CommandStatus::Exists;
        result.leaseUntil = {};
        result.detail = "the task has ended";
        return result;
    }
    ModelTask task{.report = {.id = command.task,
                       .label = command.label,
                       .size = command.size,
                       .usage = {},
                       .holder = command.holder,
                       .leaseUntil = command.leaseUntil,
                       .result = {},
                       .detail = {}},
        .usage = trueUsage(worker.options.truth, command.task, command.size),
        .startedAt = now,
        .endsAt = endOfRun(worker, command, now),
        .payload = command.payload,
        .changedAt = ++worker.sequence};
    // The size is not checked: the stand-in assumes no admission control of a worker and records what was asked of it.
    worker.used += command.size;
    if (command.task != ownerTaskId) {
        recordStart(worker, task, now);
    }
    worker.tasks.insert_or_assign(command.task, std::move(task));
    result.status = CommandStatus::Started;
    result.holder = command.holder;
    return result;
}

CommandResult renewTask(WorkerModel &worker, const WorkerCommand &command)
{
    CommandResult result{.sequence = command.sequence, .task = command.task, .holder = {}, .detail = {}};
    const auto found = worker.tasks.find(command.task);
    if (found == worker.tasks.end()) {
        result.status = CommandStatus::NotFound;
        return result;
    }
    TaskReport &report = found->second.report;
    result.holder = report.holder;
    if (report.holder != command.holder) {
        result.status = CommandStatus::NotHolder;
        result.leaseUntil = report.leaseUntil;
        return result;
    }
    report.leaseUntil = std::max(report.leaseUntil, command.leaseUntil);
    result.leaseUntil = report.leaseUntil;
    result.status = CommandStatus::Renewed;
    return result;
}

CommandResult renewAll(WorkerModel &worker, const WorkerCommand &command)
{
    const bool requests = command.label.kind == TaskKind::Request;
    for (auto &[id, task] : worker.tasks) {
        if (id != ownerTaskId && (task.report.label.kind == TaskKind::Request) == requests) {
            task.report.leaseUntil = std::max(task.report.leaseUntil, command.leaseUntil);
        }
    }
    return {.sequence = command.sequence, .status = CommandStatus::Renewed, .holder = {}, .detail = {}};
}

/// The remaining run time stretches as the share shrinks.
void throttle(WorkerModel &worker, ModelTask &task, std::uint32_t percent, WorkerTime now)
{
    const std::uint32_t share = std::clamp(percent, 1U, 100U);
    if (task.endsAt != WorkerTime::max()) {
        task.endsAt = now + (task.endsAt - now) * task.throttlePercent / share;
    }
    task.throttlePercent = share;
    task.report.state = share < 100 ? TaskState::Throttled : TaskState::Running;
    task.changedAt = ++worker.sequence;
}

void beginEnd(WorkerModel &worker, ModelTask &task, TaskState state, WorkerTime now)
{
    const milliseconds takes = state == TaskState::Checkpointed ? worker.faults.checkpointTime : worker.faults.stopTime;
    task.endingAt = now + takes;
    task.endingState = state;
}

CommandResult releaseOwner(WorkerModel &worker, const WorkerCommand &command, CommandResult result)
{
    const TaskReport &report = worker.tasks.at(ownerTaskId).report;
    if (report.holder != command.holder) {
        result.status = CommandStatus::NotHolder;
        result.holder = report.holder;
        return result;
    }
    worker.tasks.erase(ownerTaskId);
    ++worker.sequence;
    return result;
}

CommandResult changeTask(WorkerModel &worker, const WorkerCommand &command, WorkerTime now)
{
    CommandResult result{
        .sequence = command.sequence, .task = command.task, .status = CommandStatus::Done, .holder = {}, .detail = {}};
    const auto found = worker.tasks.find(command.task);
    if (found == worker.tasks.end()) {
        result.status = CommandStatus::NotFound;
        return result;
    }
    if (command.task == ownerTaskId) {
        return releaseOwner(worker, command, std::move(result));
    }
    ModelTask &task = found->second;
    if (command.kind == CommandKind::Acknowledge) {
        if (!isRunning(task)) {
            std::erase(worker.finished, command.task);
            worker.tasks.erase(found);
        }
        return result;
    }
    if (!isRunning(task)) {
        return result;
    }
    if (command.kind == CommandKind::Throttle) {
        throttle(worker, task, command.throttlePercent, now);
        return result;
    }
    beginEnd(worker, task, command.kind == CommandKind::Stop ? TaskState::Stopped : TaskState::Checkpointed, now);
    return result;
}

bool isFenced(WorkerModel &worker, const WorkerCommand &command)
{
    if (!worker.options.abilities.fencing || command.epoch >= worker.epoch) {
        return false;
    }
    ++worker.records.fencedCommands;
    return true;
}

CommandResult carryOut(WorkerModel &worker, const WorkerCommand &command, WorkerTime now)
{
    if (isFenced(worker, command)) {
        return {.sequence = command.sequence,
            .task = command.task,
            .status = CommandStatus::Refused,
            .holder = {},
            .detail = "the fencing token is not the highest"};
    }
    switch (command.kind) {
    case CommandKind::Start:
        return startTask(worker, command, now);
    case CommandKind::Renew:
        return renewTask(worker, command);
    case CommandKind::RenewAll:
        return renewAll(worker, command);
    default:
        return changeTask(worker, command, now);
    }
}

WorkerReport makeReport(const WorkerModel &worker, std::uint64_t since, bool full, WorkerTime now)
{
    // A sequence of the future is one from before a restart.
    since = since > worker.sequence ? 0 : since;
    WorkerReport report{.worker = worker.options.name,
        .boot = worker.options.boot,
        .clock = now,
        .sequence = worker.sequence,
        .full = full,
        .capacity = worker.options.capacity,
        .rack = worker.options.rack,
        .zone = worker.options.zone,
        .abilities = worker.options.abilities,
        .epoch = worker.epoch,
        .results = {},
        .tasks = {}};
    for (const auto &[id, task] : worker.tasks) {
        if (id == ownerTaskId || (!full && task.changedAt <= since)) {
            continue;
        }
        report.tasks.push_back(task.report);
        if (!isRunning(task)) {
            continue;
        }
        report.tasks.back().ranFor = now - task.startedAt;
        if (now >= task.startedAt + worker.faults.usageLag) {
            report.tasks.back().usage = task.usage;
        }
    }
    return report;
}

void advanceTask(WorkerModel &worker, ModelTask &task, WorkerTime now)
{
    const WorkerTime leaseUntil = task.report.leaseUntil;
    const WorkerTime first = std::min({task.endsAt, task.endingAt, leaseUntil});
    if (first > now) {
        return;
    }
    if (task.endsAt == first) {
        finish(worker, task, first);
    } else if (task.endingAt == first) {
        const bool stopped = task.endingState == TaskState::Stopped;
        endTask(worker, task, task.endingState, stopped ? "stopped" : "checkpointed", first);
    } else {
        endTask(worker, task, TaskState::Stopped, "the lease has lapsed", first);
    }
}

} // namespace

void restart(WorkerModel &worker, std::uint64_t boot, WorkerTime now)
{
    for (const auto &[id, task] : worker.tasks) {
        if (isRunning(task) && id != ownerTaskId) {
            endRun(worker, task, TaskState::Stopped, now);
        }
    }
    worker.tasks.clear();
    worker.finished.clear();
    worker.remembered.clear();
    worker.rememberedOrder.clear();
    worker.used = {};
    worker.sequence = 0;
    worker.epoch = 0;
    worker.options.boot = boot;
}

std::size_t overlappingRuns(std::span<const TaskRun> runs)
{
    std::map<TaskId, std::vector<const TaskRun *>> byTask;
    for (const TaskRun &run : runs) {
        byTask[run.task].push_back(&run);
    }
    std::size_t overlaps = 0;
    for (auto &[task, ofTask] : byTask) {
        std::ranges::sort(ofTask, {}, &TaskRun::startedAt);
        for (std::size_t i = 1; i < ofTask.size(); ++i) {
            overlaps += ofTask[i]->startedAt < ofTask[i - 1]->endedAt ? 1 : 0;
        }
    }
    return overlaps;
}

bool advance(WorkerModel &worker, WorkerTime now)
{
    const std::uint64_t before = worker.sequence;
    for (auto task = worker.tasks.begin(); task != worker.tasks.end();) {
        ModelTask &entry = task->second;
        if (task->first == ownerTaskId) {
            if (entry.report.leaseUntil <= now) {
                task = worker.tasks.erase(task);
                ++worker.sequence;
                continue;
            }
        } else if (isRunning(entry)) {
            advanceTask(worker, entry, now);
        }
        ++task;
    }
    dropOldFinished(worker);
    return worker.sequence != before;
}

WorkerReport exchange(WorkerModel &worker, const WorkerExchange &message, WorkerTime now)
{
    advance(worker, now);
    std::vector<CommandResult> results;
    results.reserve(message.commands.size());
    for (const WorkerCommand &command : message.commands) {
        results.push_back(carryOut(worker, command, now));
        if (worker.options.abilities.fencing) {
            worker.epoch = std::max(worker.epoch, command.epoch);
        }
    }
    advance(worker, now);
    WorkerReport report = makeReport(worker, message.since, message.full, now);
    report.answersExchange = true;
    report.results = std::move(results);
    return report;
}

WorkerReport changesSince(const WorkerModel &worker, std::uint64_t since, WorkerTime now)
{
    return makeReport(worker, since, false, now);
}

WorkerTime nextChange(const WorkerModel &worker)
{
    WorkerTime next = WorkerTime::max();
    for (const auto &[id, task] : worker.tasks) {
        if (id == ownerTaskId || isRunning(task)) {
            next = std::min({next, task.endsAt, task.endingAt, task.report.leaseUntil});
        }
    }
    return next;
}

} // namespace wigeonkeel
