#pragma once

#include "core/cell/limit_key.h"
#include "core/config/operator_settings.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// What a workload's tasks do at present, by this daemon's knowledge.
struct WorkloadUse
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Token bucket of maxPerSecond; holds at most one second's worth.
    double tokens = 0;
    MonotonicTime refilledAt{};
    bool bucketStarted = false;
};

/// What a team's tasks of one kind wait for.
struct TeamWait
{
    std::uint32_t queued = 0;
    /// One of them found no room since the team's last start of this kind.
    bool foundNoRoom = false;
    /// Starts by teams above their share since then, and when the first or the last one that is allowed took place.
    std::uint32_t passes = 0;
    MonotonicTime since{};
};

/// What a team's tasks hold and wait for.
struct TeamUse
{
    Resources held;
    std::uint32_t queued = 0;
    std::uint32_t weight = 1;
    std::array<TeamWait, taskKindCount> waits{};
};

/// Use by operator and name.
struct AdmissionTable
{
    using Key = std::pair<std::string, std::string>;

    std::map<Key, TeamUse> teams;
    std::map<Key, WorkloadUse> workloads;
    /// Weights of teams by the settings in force; 1 for others.
    std::map<Key, std::uint32_t> weights;
    /// Teams that have queued tasks.
    std::uint32_t waitingTeams = 0;
    /// Room version at which shapes were last tried that the shares of teams hold back.
    std::uint64_t shareRoomVersion = 0;
    /// Limits that hold tasks back, and those of them under which a task has ended since.
    std::set<LimitKey> watched;
    std::set<LimitKey> freed;
};

struct AdmissionDecision
{
    bool admitted = false;
    /// For the caller, if not admitted.
    std::string reason;
    /// When another try may succeed; 0 if none will with the present settings.
    milliseconds retryAfter{0};
    /// What a task that may not start waits for.
    LimitKey heldBy;
};

/// Part of a limit that one of `daemons` daemons applies, rounded up; 0 (no limit) stays 0.
std::uint32_t shareOf(std::uint32_t limit, std::uint32_t daemons);
Resources shareOf(const Resources &limit, std::uint32_t daemons);

/// Decides on tasks of one submission before they are queued. Takes tokens of the rate limit if it admits them. Each of
/// `daemons` daemons applies its share of the limits. A submission that is larger than the share, but within the limit,
/// is admitted while nothing of the workload is queued, and its tokens are owed.
AdmissionDecision admitTasks(AdmissionTable &table, const OperatorSettings &settings, const TaskLabel &label,
    const Resources &size, std::uint32_t count, const Now &now, std::uint32_t daemons = 1);

/// Decides whether a queued task may start: running limit of its workload and quota of its team, by this daemon's
/// share. A team that holds nothing here may start one task of any size within its quota.
AdmissionDecision admitStart(const AdmissionTable &table, const OperatorSettings &settings, const TaskLabel &label,
    const Resources &size, std::uint32_t daemons = 1);

void noteTaskQueued(AdmissionTable &table, const OperatorSettings &settings, const TaskLabel &label);
void noteTaskUnqueued(AdmissionTable &table, const TaskLabel &label);
void noteTaskStarted(AdmissionTable &table, const TaskLabel &label, const Resources &size);
void noteTaskEnded(AdmissionTable &table, const TaskLabel &label, const Resources &size);

/// True if a team may take a task's size from idle capacity: it stays within its share by weight, or no other team with
/// waiting tasks is below its own share.
bool mayTakeIdle(
    const AdmissionTable &table, const AdmissionTable::Key &team, const Resources &size, const Resources &capacity);

} // namespace wigeonkeel
