#include "core/dispatch/tenant_state.h"

#include "core/log.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "tenants";
/// From this share of its processors or memory in use, jobs of a pool wait for each other.
constexpr double fullPoolShare = 0.9;
/// Inherited jobs that were submitted longer ago don't count against the rate: by then the bucket has refilled.
constexpr milliseconds rateMemory{1000};

bool isPoolFull(const Dispatcher &dispatcher, std::string_view pool, MonotonicTime now)
{
    Resources used;
    Resources capacity;
    for (const Worker &worker : dispatcher.workers.workers) {
        if (worker.entry.pool == pool && canAcceptStarts(worker, now)) {
            used += worker.used;
            used += worker.reserved;
            capacity += worker.entry.capacity;
        }
    }
    const auto isFull = [](std::int64_t part, std::int64_t whole) {
        return static_cast<double>(part) >= fullPoolShare * static_cast<double>(whole);
    };
    return isFull(used.cpuMilli, capacity.cpuMilli) || isFull(used.memoryMib, capacity.memoryMib);
}

Resources multiplied(const Resources &size, std::int64_t count)
{
    return {.cpuMilli = size.cpuMilli * count,
        .memoryMib = size.memoryMib * count,
        .accelerators = size.accelerators * count,
        .slots = size.slots * count};
}

/// Tasks of an inherited job that may run on a worker whose runs are not known yet. Steps that aren't open count too:
/// the former leader may have opened one before it stored the end of the preceding step. So do tasks that became done
/// under this leader: the former one may have started another attempt, because it could not reach the first one.
Resources runsNotFound(const Job &job)
{
    const auto mayRun = [](const Task &task) { return task.phase != TaskPhase::Assigned && !task.wasInheritedDone; };
    Resources notFound;
    for (const Occurrence &occurrence : job.occurrences) {
        for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
            const auto count = std::ranges::count_if(occurrence.steps[number].tasks, mayRun);
            notFound += multiplied(chargedSize(job.record.spec.steps[number]), count);
        }
    }
    return notFound;
}

} // namespace

std::string findCapProblem(const TenantState &tenant, const JobSpec &spec)
{
    const auto exceeds = [](std::int64_t cap, std::int64_t need) { return cap > 0 && need > cap; };
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        const StepSpec &step = spec.steps[number];
        const Resources need = multiplied(chargedSize(step), tasksPlacedTogether(step));
        if (exceeds(tenant.cap.cpuMilli, need.cpuMilli) || exceeds(tenant.cap.memoryMib, need.memoryMib)
            || exceeds(tenant.cap.accelerators, need.accelerators)) {
            return fmt::format("not accepted; {} of step {} needs {}, and the tenant's cap is {}",
                step.gang ? "the gang" : "a task", number, describe(need), describe(tenant.cap));
        }
    }
    return {};
}

std::optional<milliseconds> applySubmissionRate(Dispatcher &dispatcher, JobRecord &record, MonotonicTime now)
{
    TenantState &tenant = dispatcher.tenants.rows[addTenant(dispatcher.tenants, record.tenant)];
    if (!tenant.isConfigured || takeSubmission(tenant.rate, tenant.weight, now)) {
        return std::nullopt;
    }
    record.isExcess = true;
    if (isBacklogTooLong(tenant.waitingExcess, tenant.weight) && isPoolFull(dispatcher, record.queue.pool, now)) {
        ++tenant.rejectedExcess;
        return retryAfterBacklog(tenant.waitingExcess, tenant.weight);
    }
    ++tenant.waitingExcess;
    return std::nullopt;
}

void countInheritedSubmission(Dispatcher &dispatcher, const Job &job, MonotonicTime now)
{
    TenantState &tenant = dispatcher.tenants.rows[job.tenant];
    if (tenant.isConfigured && !job.record.isExcess && now - job.submittedAt <= rateMemory) {
        takeSubmission(tenant.rate, tenant.weight, now);
    }
}

std::uint32_t startsWithinCap(const Dispatcher &dispatcher, const Job &job, const StepSpec &spec, std::uint32_t limit)
{
    const TenantState &tenant = dispatcher.tenants.rows[job.tenant];
    if (!hasCap(tenant)) {
        return limit;
    }
    return dispatcher.endsLoaded ? countWithinCap(tenant, chargedSize(spec), limit) : 0;
}

bool isHeldByCap(const Dispatcher &dispatcher, const Job &job, const StepSpec &spec, const StepRun &step)
{
    if (!hasCap(dispatcher.tenants.rows[job.tenant]) || !step.plan.empty()) {
        return false;
    }
    const auto needed = spec.gang ? static_cast<std::uint32_t>(step.tasks.size()) : 1U;
    return startsWithinCap(dispatcher, job, spec, needed) < needed;
}

void countRunsNotFound(Dispatcher &dispatcher)
{
    for (TenantState &tenant : dispatcher.tenants.rows) {
        tenant.notFound = {};
    }
    if (dispatcher.runDiscoveryFinished) {
        return;
    }
    for (const auto &[id, job] : dispatcher.jobs.live) {
        if (!job->inherited || isEnded(job->state)) {
            continue;
        }
        dispatcher.tenants.rows[job->tenant].notFound += runsNotFound(*job);
    }
}

void countRunsNotFoundAtEnd(Dispatcher &dispatcher, const Job &job)
{
    if (job.inherited && !dispatcher.runDiscoveryFinished) {
        countStoppingRuns(dispatcher, job.record.id, job.tenant, runsNotFound(job));
    }
}

void countStoppingRuns(Dispatcher &dispatcher, JobId id, TenantSlot tenant, const Resources &size)
{
    if (size != Resources{} && dispatcher.stoppingRuns.emplace(id, FormerRuns{.tenant = tenant, .size = size}).second) {
        dispatcher.tenants.rows[tenant].stopping += size;
    }
}

void releaseStoppedRuns(Dispatcher &dispatcher)
{
    if (dispatcher.stoppingRuns.empty() || !dispatcher.runDiscoveryFinished) {
        return;
    }
    absl::flat_hash_set<JobId> listed;
    for (const Worker &worker : dispatcher.workers.workers) {
        for (const auto &[key, run] : worker.runs) {
            listed.insert(key.step.job);
        }
    }
    absl::erase_if(dispatcher.stoppingRuns, [&](const auto &entry) {
        const auto &[id, former] = entry;
        if (listed.contains(id)) {
            return false;
        }
        dispatcher.tenants.rows[former.tenant].stopping -= former.size;
        dispatcher.placementDue = true;
        return true;
    });
}

Resources chargedRuns(const Dispatcher &dispatcher, const Job &job)
{
    const auto former = dispatcher.stoppingRuns.find(job.record.id);
    Resources charged = former == dispatcher.stoppingRuns.end() ? Resources{} : former->second.size;
    for (const Occurrence &occurrence : job.occurrences) {
        for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
            const std::span<const Task> tasks = occurrence.steps[number].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].phase != TaskPhase::Assigned) {
                    continue;
                }
                const TaskKey key{
                    .step = {.job = job.record.id, .occurrence = occurrence.number, .step = number}, .index = index};
                const auto &runs = dispatcher.workers.workers[tasks[index].worker].runs;
                const auto run = runs.find(key);
                charged += run == runs.end() ? Resources{} : run->second.tenantSize;
            }
        }
    }
    return charged;
}

void updateHeldTenants(Dispatcher &dispatcher, const std::vector<bool> &held)
{
    for (TenantSlot slot = 0; slot < held.size(); ++slot) {
        TenantState &tenant = dispatcher.tenants.rows[slot];
        if (tenant.isHeldByCap == held[slot]) {
            continue;
        }
        tenant.isHeldByCap = held[slot];
        logLine(LogLevel::Info, logPart, "The cap {} back. tenant={} used=\"{}\" cap=\"{}\"",
            held[slot] ? "holds steps" : "no longer holds steps", tenant.name, describe(usedOfCap(tenant)),
            describe(tenant.cap));
    }
}

} // namespace wigeonkeel::dispatch
