#include "core/dispatch/worker_table.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::uint32_t urgentPriority = 0;
/// Time from the reply to a renewal until the next renewal.
constexpr milliseconds urgentRenewalDelay{40};
constexpr milliseconds regularRenewalDelay{200};

} // namespace

WorkerSlot addWorker(WorkerTable &table, std::string_view id)
{
    const auto slot = static_cast<WorkerSlot>(table.workers.size());
    const auto [place, added] = table.byId.try_emplace(std::string(id), slot);
    if (added) {
        table.workers.emplace_back().entry.id = std::string(id);
    }
    return place->second;
}

WorkerTarget targetOf(const Worker &worker)
{
    return {.id = worker.entry.id, .endpoint = worker.entry.endpoint, .incarnation = worker.entry.incarnation};
}

bool hasLateOrders(const Worker &worker)
{
    return worker.formerIncarnationToken != 0 && worker.contactedToken <= worker.formerIncarnationToken;
}

bool hasUnreadEnds(const Worker &worker)
{
    return worker.contacted && !worker.endsComplete;
}

bool areLeasesBounded(const Worker &worker)
{
    return worker.boundedIncarnation != 0 && worker.boundedIncarnation == worker.entry.incarnation;
}

bool areFormerRunsKnown(const Worker &worker)
{
    // A worker that neither the directory nor the former leader's record names was never given a run.
    return worker.contacted ? worker.endsComplete : !worker.listed && !worker.inherited;
}

bool canAcceptStarts(const Worker &worker, MonotonicTime now)
{
    return worker.listed && worker.recorded && worker.contacted && !hasLateOrders(worker) && !worker.entry.draining
        && worker.renewalFailures == 0 && worker.health.avoidUntil <= now && worker.unknownRuns == 0;
}

WorkerTime workerClockNow(const Worker &worker, MonotonicTime now)
{
    const auto elapsed = std::chrono::duration<double, std::milli>(now - worker.clockReadAt) / maxWorkerClockRatio;
    return worker.clock + std::chrono::floor<milliseconds>(elapsed);
}

milliseconds longestByWorkerClock(milliseconds time)
{
    const auto longest = std::chrono::duration<double, std::milli>(time) * maxWorkerClockRatio;
    return std::chrono::ceil<milliseconds>(longest);
}

MonotonicTime leaseEndsBy(const Worker &worker)
{
    const auto left = std::max(milliseconds(0), worker.requestedLease - worker.clock);
    return worker.clockReadAt + longestByWorkerClock(left);
}

MonotonicTime nextRenewalAfterEnds(const Worker &worker, MonotonicTime now)
{
    const bool urgent
        = std::ranges::any_of(worker.runs, [](const auto &entry) { return entry.second.priority == urgentPriority; });
    return std::max(now, worker.renewalAnsweredAt + (urgent ? urgentRenewalDelay : regularRenewalDelay));
}

void chargeRun(Worker &worker, TenantTable &tenants, const TaskKey &task, const Run &run)
{
    worker.runs[task] = run;
    worker.used += run.size;
    tenants.rows[run.tenant].running += run.tenantSize;
    worker.unknownRuns += run.unknown ? 1 : 0;
}

void releaseRun(Worker &worker, TenantTable &tenants, const TaskKey &task)
{
    const auto found = worker.runs.find(task);
    if (found != worker.runs.end()) {
        worker.used -= found->second.size;
        tenants.rows[found->second.tenant].running -= found->second.tenantSize;
        worker.unknownRuns -= found->second.unknown ? 1 : 0;
        worker.runs.erase(found);
    }
}

std::uint64_t advanceAcknowledged(Worker &worker)
{
    while (!worker.ends.empty() && worker.ends.begin()->second) {
        worker.acknowledged = worker.ends.begin()->first;
        worker.ends.erase(worker.ends.begin());
    }
    return worker.acknowledged;
}

} // namespace wigeonkeel::dispatch
