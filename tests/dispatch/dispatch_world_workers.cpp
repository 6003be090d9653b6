#include "tests/dispatch/dispatch_world.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr milliseconds adviceValidity{1500};
/// Most ends in one reply to a renewal, by the platform's contract.
constexpr std::size_t maxListedEnds = 500;
/// Longest lease that a worker grants, by the platform's contract.
constexpr milliseconds maxLease{6000};
/// How long a member of a gang waits for the others.
constexpr milliseconds gangTimeout{3000};
/// A worker's clock may be 2% slow.
constexpr std::uint64_t slowestClockPerMille = 981;

Resources totalSize(std::span<const WorldRun> runs)
{
    Resources sum;
    for (const WorldRun &run : runs) {
        sum += run.size;
    }
    return sum;
}

} // namespace

std::size_t World::addWorker()
{
    const std::size_t i = workers.size();
    WorldWorker worker;
    worker.entry = {.id = fmt::format("w{}", i),
        .endpoint = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(i + 1)},
        .pool = "pool",
        .zone = "z",
        .incarnation = 1,
        .capacity = {.cpuMilli = 4000, .memoryMib = 8000},
        .labels = {"a", fmt::format("r{}", i / 4)},
        .rack = fmt::format("r{}", i / 4)};
    workers.push_back(std::move(worker));
    beginClock(i);
    return i;
}

void World::beginClock(std::size_t worker)
{
    if (rules.ownClocks) {
        workers[worker].clockStart = time;
        const std::uint64_t perMille = slowestClockPerMille + randomBelow(random, 1001 - slowestClockPerMille);
        workers[worker].clockRate = static_cast<double>(perMille) / 1000.0;
    }
}

void World::crashWorker(std::size_t worker)
{
    recordLapse(history, lifeOf(workers[worker]));
    workers[worker].up = false;
    workers[worker].downSince = time;
    workers[worker].runs.clear();
    workers[worker].ends.clear();
    workers[worker].waitingRenewals.clear();
}

void World::restartWorker(std::size_t worker)
{
    WorldWorker &target = workers[worker];
    const WorkerEntry entry = target.entry;
    target = {};
    target.entry = entry;
    ++target.entry.incarnation;
    target.entry.draining = false;
    beginClock(worker);
}

WorkerTime World::clockOf(const WorldWorker &worker) const
{
    const auto lived = static_cast<double>((time - worker.clockStart).count());
    return WorkerTime(milliseconds(static_cast<std::int64_t>(lived * worker.clockRate)));
}

WorkerLife World::lifeOf(const WorldWorker &worker) const
{
    return {worker.entry.id, worker.entry.incarnation};
}

const StepSpec *World::specOf(const TaskKey &task)
{
    const auto spec = specs.find(task.step.job);
    return spec == specs.end() ? nullptr : &spec->second.steps[task.step.step];
}

void World::report(std::vector<std::string> broken)
{
    std::ranges::move(broken, std::back_inserter(violations));
}

RenewReply World::listsOf(std::size_t worker, CallId call) const
{
    const WorldWorker &target = workers[worker];
    RenewReply lists{.call = call,
        .status = CallStatus::Ok,
        .incarnation = target.entry.incarnation,
        .clock = clockOf(target),
        .running = {},
        .ended = {}};
    const std::size_t shown = std::min(target.ends.size(), maxListedEnds);
    lists.ended.assign(target.ends.begin(), target.ends.begin() + static_cast<std::ptrdiff_t>(shown));
    for (const WorldRun &run : target.runs) {
        const auto percent = run.work.count() == 0 ? 0 : run.done.count() * 100 / run.work.count();
        lists.running.push_back({.task = run.task,
            .attempt = run.attempt,
            .checkpoint = run.checkpoint,
            .percent = static_cast<int>(std::min<std::int64_t>(99, percent))});
    }
    return lists;
}

void World::extendLease(WorldWorker &worker, WorkerTime until)
{
    const WorkerTime granted = rules.ownClocks ? std::min(until, clockOf(worker) + maxLease) : until;
    worker.leaseUntil = std::max(worker.leaseUntil, granted.time_since_epoch());
}

std::optional<RenewReply> World::renew(std::size_t worker, const RenewWorker &renewal)
{
    WorldWorker &target = workers[worker];
    ++renewals;
    if (renewal.fencingToken < target.token) {
        return RenewReply{.call = renewal.call, .status = CallStatus::Refused, .refusal = StartRefusal::Fenced};
    }
    if (target.leaseUntil < clockOf(target).time_since_epoch()) {
        lapse(worker);
    }
    target.token = renewal.fencingToken;
    extendLease(target, renewal.leaseUntil);
    if (rules.acknowledgedEndsCount) {
        report(recordAcknowledgement(history, lifeOf(target), renewal.acknowledged,
            fmt::format("in the acknowledgement to {} at {} ms", target.entry.id, time.count())));
    }
    std::erase_if(target.ends, [&](const EndedTask &ended) { return ended.number <= renewal.acknowledged; });
    if (renewal.wait.count() > 0 && target.ends.empty()) {
        return std::nullopt;
    }
    return listsOf(worker, renewal.call);
}

bool World::needsTicket(JobId id)
{
    Node *leading = leader();
    const Job *job = leading == nullptr ? nullptr : findJob(leading->dispatcher->jobs, id);
    return job == nullptr || job->record.queue.advice.has_value();
}

OrderReply World::start(const StartRun &order)
{
    WorldWorker &target = workers[workerIndex(order.worker.id)];
    const auto refuse = [&order](StartRefusal refusal) {
        return OrderReply{.call = order.call, .status = CallStatus::Refused, .refusal = refusal};
    };
    // Orders name only the worker's id, which a new incarnation may keep.
    if (order.fencingToken < target.token) {
        return refuse(StartRefusal::Fenced);
    }
    target.token = order.fencingToken;
    const auto same = std::ranges::find(target.runs, order.task, &WorldRun::task);
    if (same != target.runs.end() && same->attempt == order.attempt) {
        return {.call = order.call, .status = CallStatus::Ok};
    }
    const auto stopped = target.stoppedAttempts.find(order.task);
    if (stopped != target.stoppedAttempts.end() && order.attempt <= stopped->second) {
        if (rules.ownClocks) {
            extendLease(target, order.leaseUntil);
        }
        return refuse(StartRefusal::OldAttempt);
    }
    if (adviceTakesTime && needsTicket(order.task.step.job) && ticketEnds[order.ticket] < time) {
        return refuse(StartRefusal::Ticket);
    }
    if (order.leaseUntil < clockOf(target)) {
        return refuse(StartRefusal::Late);
    }
    WorldRun run = actualRun(order.task, order.attempt);
    run.task = order.task;
    run.attempt = order.attempt;
    run.checkpoint = order.checkpoint;
    run.startedAt = time;
    if (const StepSpec *spec = specOf(order.task)) {
        run.size = chargedSize(*spec);
        run.gang = spec->gang;
    }
    checkStart(run, target);
    extendLease(target, order.leaseUntil);
    target.runs.push_back(run);
    ++starts;
    if (!fits(totalSize(target.runs), target.entry.capacity)) {
        violations.push_back(fmt::format("LIMIT: {} is over its capacity at {} ms", target.entry.id, time.count()));
    }
    return {.call = order.call, .status = CallStatus::Ok};
}

Resources World::runningOf(std::string_view tenant) const
{
    Resources running;
    for (const WorldWorker &worker : workers) {
        for (const WorldRun &run : worker.runs) {
            running += tenantOf(run.task.step.job) == tenant ? run.size : Resources{};
        }
    }
    return running;
}

void World::checkCap(const WorldRun &run, const WorldWorker &target)
{
    const std::string tenant = tenantOf(run.task.step.job);
    if (tenant.empty() || !configuration.tenants) {
        return;
    }
    const auto found = std::ranges::find(*configuration.tenants, tenant, &TenantConfig::name);
    const Resources cap = found == configuration.tenants->end() ? Resources{} : found->cap;
    const Resources running = runningOf(tenant) + run.size;
    const auto exceeds = [](std::int64_t used, std::int64_t limit) { return limit > 0 && used > limit; };
    if (exceeds(running.cpuMilli, cap.cpuMilli) || exceeds(running.memoryMib, cap.memoryMib)
        || exceeds(running.accelerators, cap.accelerators)) {
        violations.push_back(fmt::format("CAP: {} runs {} with a cap of {} after the start of {} on {} at {} ms",
            tenant, describe(running), describe(cap), formatTaskKey(run.task), target.entry.id, time.count()));
    }
}

void World::checkStart(const WorldRun &run, const WorldWorker &target)
{
    checkCap(run, target);
    for (const WorldWorker &other : workers) {
        if (std::ranges::find(other.runs, run.task, &WorldRun::task) != other.runs.end()) {
            violations.push_back(fmt::format("TWICE-overlap: {} runs twice at {} ms, attempt {} on {} and on {}",
                formatTaskKey(run.task), time.count(), run.attempt, target.entry.id, other.entry.id));
        }
    }
    if (rules.acknowledgedEndsCount) {
        const std::string where = fmt::format("on {} at {} ms", target.entry.id, time.count());
        report(recordStart(history, historyUnit(run.task, run.gang), run.attempt, where));
        if (!m_isOrderLate) {
            report(checkStartTime(history, run.task.step.job, time, where));
        }
        return;
    }
    if (doneTasks.contains(run.task)) {
        violations.push_back(
            fmt::format("{} starts after it was done at {} ms", formatTaskKey(run.task), time.count()));
    }
    // Tasks that last are restarted however they end.
    const StepSpec *spec = specOf(run.task);
    const bool isLimited = spec == nullptr || !spec->longRunning;
    if (isLimited && failedRuns[run.task] >= 2) {
        violations.push_back(fmt::format("{} starts after two failed runs", formatTaskKey(run.task)));
    }
}

OrderReply World::stop(const StopRun &order)
{
    const std::size_t index = workerIndex(order.worker.id);
    WorldWorker &target = workers[index];
    if (order.fencingToken < target.token) {
        return {.call = order.call, .status = CallStatus::Refused, .refusal = StartRefusal::Fenced};
    }
    target.token = order.fencingToken;
    target.stoppedAttempts[order.task] = std::max(target.stoppedAttempts[order.task], order.attempt);
    after(target.stopTime.count() > 0 ? target.stopTime : stopTime, [this, index, order, life = lifeOf(target)] {
        WorldWorker &worker = workers[index];
        for (std::size_t i = 0; i < worker.runs.size() && lifeOf(worker) == life; ++i) {
            if (worker.runs[i].task == order.task && worker.runs[i].attempt == order.attempt) {
                endRun(index, i, RunEnd::Stopped);
                return;
            }
        }
    });
    return {.call = order.call, .status = CallStatus::Ok};
}

AdviceReply World::advise(const RequestAdvice &ask)
{
    AdviceReply result{.call = ask.call, .status = CallStatus::Ok, .allowed = {}, .validity = adviceValidity};
    for (const std::string &worker : ask.workers) {
        const std::uint64_t hash = std::hash<std::string>{}(formatStepKey(ask.step) + worker);
        if (hash % 100 < allowedPercent) {
            const std::string ticket = fmt::format("{}/{}/{}", formatStepKey(ask.step), worker, time.count());
            result.allowed.push_back({.worker = worker, .ticket = ticket});
            ticketEnds[ticket] = time + adviceValidity;
        }
    }
    return result;
}

void World::endRun(std::size_t worker, std::size_t run, RunEnd end)
{
    WorldWorker &target = workers[worker];
    const WorldRun ended = target.runs[run];
    target.runs.erase(target.runs.begin() + static_cast<std::ptrdiff_t>(run));
    target.stoppedAttempts[ended.task] = std::max(target.stoppedAttempts[ended.task], ended.attempt);
    target.ends.push_back({.number = ++target.lastNumber,
        .task = ended.task,
        .attempt = ended.attempt,
        .end = end,
        .checkpoint = ended.checkpoint});
    recordEnd(history, historyUnit(ended.task, ended.gang), target.ends.back(), lifeOf(target));
    if (end == RunEnd::Done) {
        doneTasks.insert(ended.task);
    }
    failedRuns[ended.task] += end == RunEnd::Failed ? 1 : 0;
    answerRenewals(worker);
}

void World::answerRenewals(std::size_t worker)
{
    for (const auto &[node, renewal] : std::exchange(workers[worker].waitingRenewals, {})) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i].up && nodes[i].node->options.name == node && !workers[worker].unresponsive
                && !workers[worker].unreachableFrom.contains(i)) {
                reply(i, [lists = listsOf(worker, renewal.call)](Node &owner, Now at) {
                    handleRenewReply(owner, lists, at);
                });
            }
        }
    }
}

void World::lapse(std::size_t worker)
{
    recordLapse(history, lifeOf(workers[worker]));
    while (!workers[worker].runs.empty()) {
        endRun(worker, 0, RunEnd::LeaseExpired);
    }
}

void World::advanceWorkers(milliseconds step)
{
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        WorldWorker &target = workers[worker];
        if (target.leaseUntil < clockOf(target).time_since_epoch()) {
            lapse(worker);
        }
        for (std::size_t i = target.runs.size(); i-- > 0;) {
            WorldRun &run = target.runs[i];
            if (rules.gangs && run.gang) {
                continue;
            }
            run.done += target.stalled ? milliseconds(0) : std::chrono::floor<milliseconds>(step * target.speed);
            if (run.done >= run.work) {
                endRun(worker, i, run.willFail || target.failsAll ? RunEnd::Failed : RunEnd::Done);
            }
        }
    }
    if (rules.gangs) {
        advanceGangs(step);
    }
}

void World::advanceGangs(milliseconds step)
{
    std::map<std::pair<StepKey, std::uint32_t>, std::vector<std::pair<std::size_t, TaskKey>>> gangs;
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        for (const WorldRun &run : workers[worker].runs) {
            if (run.gang) {
                gangs[{run.task.step, run.attempt}].emplace_back(worker, run.task);
            }
        }
    }
    for (const auto &[gang, members] : gangs) {
        const std::size_t wanted = specOf(members.front().second)->count;
        bool ended = members.size() >= wanted;
        bool failed = false;
        for (const auto &[worker, task] : members) {
            WorldRun &run = *std::ranges::find(workers[worker].runs, task, &WorldRun::task);
            run.together = run.together || members.size() >= wanted;
            run.done += members.size() >= wanted && !workers[worker].stalled ? step : milliseconds(0);
            ended = ended && run.done >= run.work;
            failed = failed || run.willFail || workers[worker].failsAll;
        }
        endMembers(members, ended, failed);
    }
}

void World::endMembers(std::span<const std::pair<std::size_t, TaskKey>> members, bool ended, bool failed)
{
    const std::size_t wanted = specOf(members.front().second)->count;
    bool first = true;
    for (const auto &[worker, task] : members) {
        std::vector<WorldRun> &runs = workers[worker].runs;
        const auto run = std::ranges::find(runs, task, &WorldRun::task);
        const auto place = static_cast<std::size_t>(run - runs.begin());
        const bool missing = members.size() < wanted;
        if (ended) {
            const RunEnd others = failed ? RunEnd::GangBroken : RunEnd::Done;
            endRun(worker, place, failed && first ? RunEnd::Failed : others);
        } else if (missing && run->together) {
            endRun(worker, place, RunEnd::GangBroken);
        } else if (missing && time - run->startedAt > gangTimeout) {
            endRun(worker, place, RunEnd::GangAlone);
        }
        first = false;
    }
}

} // namespace wigeonkeel::dispatch
