#include "core/dispatch/succession.h"

#include "core/dispatch/node.h"
#include "core/json_text.h"
#include "core/number_text.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

/// Followers wait longer the lower their rank, so that usually only one of them writes the claim.
constexpr milliseconds delayPerRank{60};
constexpr milliseconds claimJitter{30};
/// VMs that are started together are up within 0.3 s of each other.
constexpr milliseconds startSpread{350};
/// Time that a running leader has to write its claim again after the claim has disappeared from the store.
constexpr milliseconds reclaimTime{1000};
/// After an outage of the store the leader can write again within this time. Only a leader whose calls still fail after
/// it is replaced.
constexpr milliseconds storeRecoveryTime{600};
/// Daemons that are missing in the store's list keep their rank this long: their own leases last 6 s, and outages last
/// about 5 s.
constexpr milliseconds memberRetention{12000};
/// A leader resigns if most daemons that the store lists have been unable to reach it for this long.
constexpr milliseconds maxIsolationTime{1200};
/// A new leader gives the other daemons this long to connect.
constexpr milliseconds isolationGracePeriod{3000};
/// A change of leader takes about 0.3 s, so the successor must have at least 3/2 of the leader's processor share.
constexpr std::int64_t handoverCpuNumerator = 3;
constexpr std::int64_t handoverCpuDenominator = 2;
/// A new leader deals with the jobs and workers that it inherited before it hands over.
constexpr milliseconds handoverGracePeriod{1500};
/// Shortest time between two handovers, so that a larger VM that fails to take over is not tried again at once.
constexpr milliseconds handoverInterval{15000};
/// A takeover adds 1 s to the leases that it waits for. This is shorter by the time of a round trip.
constexpr milliseconds claimConfirmationValidity{950};

milliseconds claimDelay(Node &node)
{
    const auto jitter = milliseconds(randomBelow(node.random, static_cast<std::uint64_t>(claimJitter.count())));
    return rankDelay(node) + jitter;
}

/// True if fewer than half of the other daemons that the store lists are connected to this leader.
bool isIsolated(const Node &node)
{
    const auto listed = static_cast<std::size_t>(std::ranges::count(node.membership.members, true, &Member::listed));
    const std::size_t others = listed == 0 ? 0 : listed - 1;
    return others >= 2 && node.connectedNodes.size() * 2 < others;
}

bool isIsolatedTooLong(Node &node, Now now)
{
    Leadership &leadership = node.leadership;
    if (!isIsolated(node) || now.monotonic - leadership.leadingSince < isolationGracePeriod) {
        leadership.followersMissingSince = MonotonicTime::max();
        return false;
    }
    leadership.followersMissingSince = std::min(leadership.followersMissingSince, now.monotonic);
    return now.monotonic - leadership.followersMissingSince > maxIsolationTime;
}

/// Whether the store lists this daemon. One that has just started reports no failure before its first call has failed.
bool isListed(const Node &node, std::string_view name)
{
    const auto member = std::ranges::find(node.membership.members, name, &Member::name);
    return member != node.membership.members.end() && member->listed;
}

/// True if a daemon on a much larger VM is connected and can write to the store.
bool shouldHandOver(const Node &node, Now now)
{
    const Leadership &leadership = node.leadership;
    if (now.monotonic - leadership.leadingSince < handoverGracePeriod || now.monotonic < leadership.nextHandover
        || !node.dispatcher->runDiscoveryFinished || node.dispatcher->commits.health.failing) {
        return false;
    }
    // Until the record of the workers omits those that this leader has given up, its successor would wait for their
    // leases once more.
    if (node.dispatcher->workersChanged || node.dispatcher->workersCommitOpen) {
        return false;
    }
    return std::ranges::any_of(node.peers, [&node](const auto &entry) {
        const PeerState &peer = entry.second;
        return !peer.storeFailing && isListed(node, entry.first)
            && peer.cpuMilli * handoverCpuDenominator >= node.options.cpuMilli * handoverCpuNumerator;
    });
}

} // namespace

void updateMembers(Node &node, std::span<const StoreItem> items, std::string_view prefix, Now now)
{
    std::vector<Member> &members = node.membership.members;
    for (Member &member : members) {
        member.listed = false;
    }
    for (const StoreItem &item : items) {
        if (!item.key.starts_with(prefix)) {
            continue;
        }
        const std::string name = item.key.substr(prefix.size());
        auto member = std::ranges::find(members, name, &Member::name);
        if (member == members.end()) {
            member = members.insert(members.end(), Member{.name = name});
        }
        // A value that is no valid processor share counts as 0, which gives the last rank.
        const std::int64_t cpuMilli = parseInteger<std::int64_t>(item.value).value_or(0);
        member->cpuMilli = cpuMilli >= amountRange.least && cpuMilli <= amountRange.most ? cpuMilli : 0;
        member->listed = true;
        member->listedAt = now.monotonic;
    }
    std::erase_if(members, [now](const Member &member) { return now.monotonic - member.listedAt > memberRetention; });
}

void keepUnlistedMember(Node &node, std::string_view name, Now now)
{
    std::vector<Member> &members = node.membership.members;
    const auto member = std::ranges::find(members, name, &Member::name);
    if (member == members.end()) {
        members.push_back({.name = std::string(name), .listed = false, .listedAt = now.monotonic});
    } else if (!member->listed) {
        member->listedAt = now.monotonic;
    }
}

milliseconds rankDelay(const Node &node)
{
    const auto isBefore = [&node](const Member &member) {
        return std::pair(-member.cpuMilli, std::string_view(member.name))
            < std::pair(-node.options.cpuMilli, std::string_view(node.options.name));
    };
    const auto rank = std::ranges::count_if(node.membership.members,
        [&](const Member &member) { return member.name != node.leadership.leader.node && isBefore(member); });
    return delayPerRank * rank;
}

bool areRanksKnown(const Node &node, Now now)
{
    const MonotonicTime since = node.membership.knownSince;
    return since != MonotonicTime::max() && now.monotonic - since > startSpread;
}

bool isClaimDue(Node &node, Now now)
{
    Leadership &leadership = node.leadership;
    const bool abandoned = leadership.claimMissing
        && (!isLeaderResponsive(leadership, now) || now.monotonic - leadership.claimMissingSince > reclaimTime);
    // After a failed claim, a poll has to succeed before the next attempt. Otherwise, as all daemons try to claim
    // during an outage of the store, the first call after it could make any of them the leader, whatever its rank.
    const bool polledSinceFailure = leadership.polledAt >= leadership.claimFailedAt;
    const bool storeRejectsLeader
        = leadership.leaderStoreFailing && leadership.storeAnsweringSince < now.monotonic - storeRecoveryTime;
    const bool replaceable = abandoned || leadership.leaderConnectionRefused || storeRejectsLeader;
    if (!replaceable || !areRanksKnown(node, now) || !polledSinceFailure || node.shuttingDown
        || !node.hasConfiguration) {
        leadership.claimAt = MonotonicTime::max();
        return false;
    }
    if (leadership.claimAt == MonotonicTime::max()) {
        leadership.claimAt = std::max(now.monotonic + claimDelay(node), leadership.noClaimUntil);
    }
    return now.monotonic >= leadership.claimAt;
}

std::string_view daemonThatMayLead(const Node &node, Now now)
{
    const auto mayLead = [&](std::string_view name) {
        const auto peer = node.peers.find(name);
        return peer == node.peers.end() || !peer->second.storeFailingAfter
            || now.monotonic - *peer->second.storeFailingAfter >= claimConfirmationValidity;
    };
    for (const Member &member : node.membership.members) {
        if (member.name != node.options.name && mayLead(member.name)) {
            return member.name;
        }
    }
    const auto connected = std::ranges::find_if(node.connectedNodes, mayLead);
    return connected == node.connectedNodes.end() ? std::string_view() : *connected;
}

bool isLeaseExtensionSafe(const Node &node, Now now)
{
    if (now.monotonic - node.dispatcher->claimConfirmedAt < claimConfirmationValidity) {
        return true;
    }
    return !node.membership.members.empty() && daemonThatMayLead(node, now).empty();
}

std::string_view reasonToResign(Node &node, Now now)
{
    if (isIsolatedTooLong(node, now)) {
        return "most daemons can't reach this leader";
    }
    if (shouldHandOver(node, now)) {
        node.leadership.nextHandover = now.monotonic + handoverInterval;
        return "a larger VM can lead";
    }
    return {};
}

} // namespace wigeonkeel::dispatch
