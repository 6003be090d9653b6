#include "core/dispatch/placement/gang_placement.h"

#include "core/dispatch/placement/advice_requests.h"
#include "core/dispatch/placement/place_plans.h"
#include "core/dispatch/placement/preemption.h"
#include "core/dispatch/placement/worker_room.h"
#include "core/dispatch/tenant_state.h"

#include <algorithm>
#include <map>
#include <string>

namespace wigeonkeel::dispatch
{

namespace
{

struct GangSpace
{
    WorkerSlot slot = noWorker;
    std::uint32_t count = 0;
    std::int64_t leftOver = 0;
};

std::vector<GangSpace> findGangSpaces(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const Resources> room, MonotonicTime now)
{
    std::vector<GangSpace> spaces;
    const Resources size = chargedSize(*ready.spec);
    for (WorkerSlot slot = 0; slot < room.size(); ++slot) {
        const Worker &worker = dispatcher.workers.workers[slot];
        if (!isAllowed(ready, slot) || !isEligible(ready, worker, now)) {
            continue;
        }
        const std::uint32_t limit
            = std::min(remainingPerWorker(ready, slot), static_cast<std::uint32_t>(ready.step->tasks.size()));
        const std::uint32_t count = countFitting(size, room[slot], limit);
        if (count > 0) {
            spaces.push_back({.slot = slot, .count = count, .leftOver = room[slot].cpuMilli - size.cpuMilli * count});
        }
    }
    std::ranges::sort(spaces, {}, [](const GangSpace &space) { return std::pair(space.leftOver, space.slot); });
    return spaces;
}

std::optional<std::vector<PlannedPlace>> fillSpaces(std::span<const GangSpace> spaces, std::uint32_t members)
{
    std::vector<PlannedPlace> plan;
    for (const GangSpace &space : spaces) {
        for (std::uint32_t i = 0; i < space.count && plan.size() < members; ++i) {
            plan.push_back({.task = static_cast<std::uint32_t>(plan.size()), .worker = space.slot});
        }
    }
    return plan.size() == members ? std::optional(std::move(plan)) : std::nullopt;
}

} // namespace

std::optional<std::vector<PlannedPlace>> placeGang(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const Resources> room, MonotonicTime now)
{
    const std::vector<GangSpace> spaces = findGangSpaces(dispatcher, ready, room, now);
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    if (ready.spec->sameRack) {
        std::map<std::string, std::vector<GangSpace>> racks;
        for (const GangSpace &space : spaces) {
            racks[dispatcher.workers.workers[space.slot].entry.rack].push_back(space);
        }
        for (const auto &[rack, inRack] : racks) {
            auto plan = fillSpaces(inRack, members);
            if (plan) {
                return plan;
            }
        }
    }
    return fillSpaces(spaces, members);
}

void placeWholeGang(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    const bool hasUnknownRuns
        = std::ranges::any_of(ready.step->tasks, [](const Task &task) { return task.unknownRuns > 0; });
    if (ready.step->waiting != ready.step->tasks.size() || hasUnknownRuns) {
        return;
    }
    if (!ready.step->plan.empty()) {
        if (!isPlanValid(dispatcher, ready, now)) {
            dropPlan(dispatcher, *ready.job, *ready.spec, *ready.step);
        } else {
            const bool tickets = renewPlannedTickets(dispatcher, ready, now, now);
            const bool free = std::ranges::all_of(ready.step->plan,
                [&](const PlannedPlace &planned) { return isPlannedRoomFree(dispatcher, ready, planned); });
            if (tickets && free) {
                startPlan(dispatcher, ready, now);
            }
            return;
        }
    }
    // The cap may have been lowered while the gang had reserved places.
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    if (startsWithinCap(dispatcher, *ready.job, *ready.spec, members) < members) {
        return;
    }
    auto plan = placeGang(dispatcher, ready, roomOfWorkers(dispatcher), now);
    if (plan) {
        reserve(dispatcher, ready, *plan, now + planSlack + adviceTime(ready, ready.step->tasks.size()) * 2);
        if (renewPlannedTickets(dispatcher, ready, now, now)) {
            startPlan(dispatcher, ready, now);
        }
        return;
    }
    if (ready.step->adviceOpen) {
        return;
    }
    // Without free room, pre-emption comes before further advice: each call takes about a second, and the room that it
    // finds is mostly taken before the reply.
    if (needsTicket(ready) && canAdviceFindRoom(dispatcher, ready, now)) {
        requestMoreAdvice(dispatcher, ready, now);
        return;
    }
    plan = placeGang(dispatcher, ready, roomAfterPreemption(dispatcher, ready, now), now);
    if (plan && preemptForPlan(dispatcher, ready, *plan, now)) {
        return;
    }
    if (needsTicket(ready)) {
        requestMoreAdvice(dispatcher, ready, now);
    }
}

} // namespace wigeonkeel::dispatch
