#include "core/dispatch/blocked_needs.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

/// Whether no worker may take more members of `need` than of `blocked` if each member takes at least as much room.
bool isLimitedAsMuch(const PlacementNeed &need, const PlacementNeed &blocked)
{
    // A single task finds no room where no worker has room for one task.
    return blocked.members == 1 || blocked.maxPerWorker == 0
        || (need.maxPerWorker != 0 && need.maxPerWorker <= blocked.maxPerWorker);
}

/// Whether what has this need finds no room if `blocked`, on the same workers, finds none.
bool includes(const PlacementNeed &need, const PlacementNeed &blocked)
{
    const bool preemptsNoMore = !need.canPreempt || (blocked.canPreempt && blocked.priority <= need.priority);
    return preemptsNoMore && fits(blocked.size, need.size) && blocked.members <= need.members
        && isLimitedAsMuch(need, blocked);
}

bool isBlockedOn(const BlockedNeeds &blocked, std::string_view label, const PlacementNeed &need)
{
    const auto found = blocked.byWorkers.find(std::pair(need.pool, label));
    return found != blocked.byWorkers.end()
        && std::ranges::any_of(found->second, [&need](const PlacementNeed &each) { return includes(need, each); });
}

} // namespace

bool isBlocked(const BlockedNeeds &blocked, const PlacementNeed &need)
{
    return isBlockedOn(blocked, need.label, need) || (!need.label.empty() && isBlockedOn(blocked, {}, need));
}

void addBlocked(BlockedNeeds &blocked, const PlacementNeed &need)
{
    std::vector<PlacementNeed> &needs = blocked.byWorkers[std::pair(need.pool, need.label)];
    std::erase_if(needs, [&need](const PlacementNeed &each) { return includes(each, need); });
    needs.push_back(need);
}

} // namespace wigeonkeel::dispatch
