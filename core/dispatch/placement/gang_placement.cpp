#include "core/dispatch/placement/gang_placement.h"

#include "core/dispatch/placement/advice_requests.h"
#include "core/dispatch/placement/near_waits.h"
#include "core/dispatch/placement/place_plans.h"
#include "core/dispatch/placement/preemption.h"
#include "core/dispatch/placement/worker_room.h"
#include "core/dispatch/tenant_state.h"

#include <algorithm>
#include <array>
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
    SpeedClass speedClass = SpeedClass::Usual;
};

std::vector<GangSpace> findGangSpaces(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const Resources> room, MonotonicTime now)
{
    std::vector<GangSpace> spaces;
    const Resources size = chargedSize(*ready.spec);
    for (WorkerSlot slot = 0; slot < room.size(); ++slot) {
        // The room is checked first: it is compact in memory, and most workers have none when the cluster is full.
        if (countFitting(size, room[slot], 1) == 0) {
            continue;
        }
        const Worker &worker = dispatcher.workers.workers[slot];
        if (!isAllowed(ready, slot) || !isEligible(ready, worker, now)) {
            continue;
        }
        const std::uint32_t limit
            = std::min(remainingPerWorker(ready, slot), static_cast<std::uint32_t>(ready.step->tasks.size()));
        const std::uint32_t count = countFitting(size, room[slot], limit);
        if (count > 0) {
            spaces.push_back({.slot = slot,
                .count = count,
                .leftOver = room[slot].cpuMilli - size.cpuMilli * count,
                .speedClass = worker.speed.speedClass});
        }
    }
    std::ranges::sort(spaces, {}, [](const GangSpace &space) { return std::pair(space.leftOver, space.slot); });
    return spaces;
}

std::optional<std::vector<PlannedPlace>> fillSpaces(
    std::span<const GangSpace> spaces, std::uint32_t members, SpeedClassSet speeds)
{
    std::vector<PlannedPlace> plan;
    for (const GangSpace &space : spaces) {
        const std::uint32_t count = contains(speeds, space.speedClass) ? space.count : 0;
        for (std::uint32_t i = 0; i < count && plan.size() < members; ++i) {
            plan.push_back({.task = static_cast<std::uint32_t>(plan.size()), .worker = space.slot});
        }
    }
    return plan.size() == members ? std::optional(std::move(plan)) : std::nullopt;
}

/// Whether the spaces are on workers of more than one speed class.
bool hasMixedSpeeds(std::span<const GangSpace> spaces)
{
    return std::ranges::any_of(
        spaces, [&spaces](const GangSpace &space) { return space.speedClass != spaces.front().speedClass; });
}

bool isOnOneRack(const Dispatcher &dispatcher, std::span<const PlannedPlace> plan)
{
    const auto rackOf = [&dispatcher](const PlannedPlace &place) -> const std::string & {
        return dispatcher.workers.workers[place.worker].entry.rack;
    };
    return std::ranges::all_of(plan, [&](const PlannedPlace &place) { return rackOf(place) == rackOf(plan.front()); });
}

} // namespace

std::optional<std::vector<PlannedPlace>> placeGang(const Dispatcher &dispatcher, const ReadyStep &ready,
    std::span<const Resources> room, GangSpeeds speeds, MonotonicTime now)
{
    const std::vector<GangSpace> spaces = findGangSpaces(dispatcher, ready, room, now);
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    const std::array<SpeedClassSet, 5> sets = gangSpeedSets(speedPreferenceOf(ready, now));
    const bool choosesSpeeds = speeds == GangSpeeds::Alike && hasMixedSpeeds(spaces);
    const std::span<const SpeedClassSet> tried
        = choosesSpeeds ? std::span<const SpeedClassSet>(sets) : std::span<const SpeedClassSet>(sets).last(1);
    if (ready.spec->sameRack) {
        std::map<std::string, std::vector<GangSpace>> racks;
        for (const GangSpace &space : spaces) {
            racks[dispatcher.workers.workers[space.slot].entry.rack].push_back(space);
        }
        for (const SpeedClassSet set : tried) {
            for (const auto &[rack, inRack] : racks) {
                auto plan = fillSpaces(inRack, members, set);
                if (plan) {
                    return plan;
                }
            }
        }
    }
    for (const SpeedClassSet set : tried) {
        auto plan = fillSpaces(spaces, members, set);
        if (plan) {
            return plan;
        }
    }
    return std::nullopt;
}

bool placeWholeGang(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    const bool hasUnknownRuns
        = std::ranges::any_of(ready.step->tasks, [](const Task &task) { return task.unknownRuns > 0; });
    if (ready.step->waiting != ready.step->tasks.size() || hasUnknownRuns) {
        return false;
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
            return false;
        }
    }
    // The cap may have been lowered while the gang had reserved places.
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    if (startsWithinCap(dispatcher, *ready.job, *ready.spec, members) < members) {
        return false;
    }
    const std::vector<Resources> room = roomOfWorkers(dispatcher);
    auto plan = placeGang(dispatcher, ready, room, GangSpeeds::Alike, now);
    const bool onOneRack = plan && isOnOneRack(dispatcher, *plan);
    if (plan && !onOneRack && waitsForRack(dispatcher, ready, room, now)) {
        return false;
    }
    updatePlaceWait(dispatcher, ready, {.gaveUp = plan && !onOneRack, .noRoom = !plan}, now);
    if (plan) {
        reserve(dispatcher, ready, *plan, now + planSlack + adviceTime(ready, ready.step->tasks.size()) * 2);
        if (renewPlannedTickets(dispatcher, ready, now, now)) {
            startPlan(dispatcher, ready, now);
        }
        return false;
    }
    if (ready.step->adviceOpen) {
        return false;
    }
    // Without free room, pre-emption comes before further advice: each call takes about a second, and the room that it
    // finds is mostly taken before the reply.
    if (needsTicket(ready) && canAdviceFindRoom(dispatcher, ready, now)) {
        requestMoreAdvice(dispatcher, ready, now);
        return false;
    }
    // No run is stopped for workers of like speed.
    plan = placeGang(dispatcher, ready, roomAfterPreemption(dispatcher, ready, now), GangSpeeds::Any, now);
    if (plan && preemptForPlan(dispatcher, ready, *plan, now)) {
        return false;
    }
    return !needsTicket(ready) || !requestMoreAdvice(dispatcher, ready, now);
}

} // namespace wigeonkeel::dispatch
