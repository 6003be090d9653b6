#include "core/scheduler/worker_coverage.h"

#include "core/scheduler/scheduler.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

bool isHeld(const OwnedWorker &worker)
{
    return worker.state == OwnershipState::Owned || worker.state == OwnershipState::Releasing;
}

} // namespace

void noteWorkerUnlisted(Scheduler &scheduler, std::string_view worker, const Now &now)
{
    scheduler.unlisted.leftAt.insert_or_assign(std::string(worker), now.monotonic);
}

void forgetUnlisted(Scheduler &scheduler, const Now &now)
{
    const OwnershipOptions &options = scheduler.ownership.options;
    // The last renewal before the worker left; 1% for the drift of the clocks, and the time that it was on its way.
    const milliseconds lease = options.lease + options.requestLease;
    const milliseconds longest = lease + lease / 100 + options.heartbeat;
    std::erase_if(scheduler.unlisted.leftAt, [&](const auto &item) {
        return scheduler.ownership.workers.contains(item.first) || now.monotonic - item.second > longest;
    });
}

std::uint64_t heldWorkers(const Scheduler &scheduler, const Now &now)
{
    std::uint64_t sum = 0;
    for (const auto &[name, worker] : scheduler.ownership.workers) {
        // A daemon that was paused may have lost its workers and not have noticed.
        const bool held = isHeld(worker) && workerClockEstimate(worker, now.monotonic) < worker.confirmedUntil;
        sum += held ? stableHash(name) : 0;
    }
    return sum;
}

bool areAllWorkersHeld(const Scheduler &scheduler, const RequestEntry &entry, const Now &now)
{
    if (!scheduler.unlisted.leftAt.empty()) {
        return false;
    }
    std::uint64_t missing = 0;
    for (const auto &[name, worker] : scheduler.ownership.workers) {
        missing += stableHash(name);
    }
    missing -= heldWorkers(scheduler, now);
    for (const auto &[name, target] : entry.lookups) {
        if (target.unlisted) {
            return false;
        }
        missing -= target.heldWorkers;
    }
    return missing == 0;
}

bool holdsWorkerSince(const Scheduler &scheduler, MonotonicTime since, const Now &now)
{
    return std::ranges::any_of(scheduler.ownership.workers, [&](const auto &item) {
        const OwnedWorker &worker = item.second;
        return isHeld(worker) && worker.heldSince <= since
            && workerClockEstimate(worker, now.monotonic) < worker.confirmedUntil;
    });
}

} // namespace wigeonkeel
