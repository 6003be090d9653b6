#include "core/cell/admission.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

/// Advice for limits that end when tasks end, whose end is not known.
constexpr milliseconds retryWhenTasksEnd{1000};

template <typename Value>
const Value *findNamed(const std::map<std::string, Value, std::less<>> &values, std::string_view name)
{
    const auto found = values.find(name);
    return found == values.end() ? nullptr : &found->second;
}

AdmissionDecision refuse(std::string reason, milliseconds retryAfter)
{
    return {.admitted = false, .reason = std::move(reason), .retryAfter = retryAfter};
}

/// True if the amount is within the limit; limits of 0 don't count.
bool withinQuota(const Resources &amount, const Resources &limit)
{
    const auto within = [](std::int64_t value, std::int64_t most) { return most == 0 || value <= most; };
    return within(amount.cpuMilli, limit.cpuMilli) && within(amount.memoryMib, limit.memoryMib)
        && within(amount.accelerators, limit.accelerators) && within(amount.slots, limit.slots);
}

void refill(WorkloadUse &use, std::uint32_t perSecond, MonotonicTime now)
{
    if (!use.bucketStarted) {
        use.bucketStarted = true;
        use.tokens = perSecond;
    } else {
        const std::chrono::duration<double> passed = now - use.refilledAt;
        use.tokens = std::min<double>(perSecond, use.tokens + passed.count() * perSecond);
    }
    use.refilledAt = now;
}

AdmissionDecision checkRate(
    WorkloadUse &use, const WorkloadSettings &workload, std::uint32_t count, std::uint32_t daemons, MonotonicTime now)
{
    if (workload.maxPerSecond == 0) {
        return {.admitted = true, .reason = {}};
    }
    if (count > workload.maxPerSecond) {
        return refuse(fmt::format("{} tasks at once exceed the limit of workload {}, {} a second", count, workload.name,
                          workload.maxPerSecond),
            milliseconds(0));
    }
    const std::uint32_t share = shareOf(workload.maxPerSecond, daemons);
    refill(use, share, now);
    const double needed = std::min(count, share);
    if (use.tokens >= needed) {
        use.tokens -= count;
        return {.admitted = true, .reason = {}};
    }
    const double seconds = (needed - use.tokens) / share;
    return refuse(fmt::format("workload {} exceeds {} tasks a second", workload.name, workload.maxPerSecond),
        milliseconds(static_cast<std::int64_t>(seconds * 1000) + 1));
}

/// True if the tasks fit into this daemon's share of the limit, or into the limit while nothing is queued here.
bool mayQueue(std::uint32_t queued, std::uint32_t count, std::uint32_t limit, std::uint32_t daemons)
{
    const std::uint64_t total = std::uint64_t{queued} + count;
    return limit == 0 || total <= shareOf(limit, daemons) || (queued == 0 && total <= limit);
}

AdmissionDecision hold(LimitKind kind, const TaskLabel &label, std::string reason)
{
    AdmissionDecision decision = refuse(std::move(reason), retryWhenTasksEnd);
    decision.heldBy = {.kind = kind,
        .operatorName = label.operatorName,
        .name = kind == LimitKind::Team ? label.team : label.workload};
    return decision;
}

void noteFreed(AdmissionTable &table, LimitKey key)
{
    if (table.watched.contains(key)) {
        table.freed.insert(std::move(key));
    }
}

/// Forgets a workload or team without tasks, so that callers who name many don't make the table grow.
void forgetUnused(AdmissionTable &table, const AdmissionTable::Key &team, const AdmissionTable::Key &workload)
{
    const auto teamUse = table.teams.find(team);
    if (teamUse != table.teams.end() && teamUse->second.queued == 0 && teamUse->second.held == Resources{}) {
        table.teams.erase(teamUse);
    }
    const auto use = table.workloads.find(workload);
    if (use != table.workloads.end() && use->second.queued == 0 && use->second.running == 0
        && !use->second.bucketStarted) {
        table.workloads.erase(use);
    }
}

AdmissionTable::Key teamKey(const TaskLabel &label)
{
    return {label.operatorName, label.team};
}

/// The team's row; a new one starts with the weight in force.
TeamUse &useOf(AdmissionTable &table, const AdmissionTable::Key &team)
{
    const auto [found, added] = table.teams.try_emplace(team);
    const auto weight = table.weights.find(team);
    if (added && weight != table.weights.end()) {
        found->second.weight = weight->second;
    }
    return found->second;
}

AdmissionTable::Key workloadKey(const TaskLabel &label)
{
    return {label.operatorName, label.workload};
}

} // namespace

std::uint32_t shareOf(std::uint32_t limit, std::uint32_t daemons)
{
    return limit / daemons + (limit % daemons == 0 ? 0 : 1);
}

Resources shareOf(const Resources &limit, std::uint32_t daemons)
{
    const auto part = [daemons](std::int64_t amount) { return (amount + daemons - 1) / daemons; };
    return {.cpuMilli = part(limit.cpuMilli),
        .memoryMib = part(limit.memoryMib),
        .accelerators = part(limit.accelerators),
        .slots = part(limit.slots)};
}

AdmissionDecision admitTasks(AdmissionTable &table, const OperatorSettings &settings, const TaskLabel &label,
    const Resources &size, std::uint32_t count, const Now &now, std::uint32_t daemons)
{
    const TeamSettings *team = findNamed(settings.teams, label.team);
    if (team != nullptr && !withinQuota(size, team->quota)) {
        return refuse(fmt::format("one task of {} exceeds the quota of team {}, {}", describe(size), label.team,
                          describe(team->quota)),
            milliseconds(0));
    }
    const WorkloadSettings *workload = findNamed(settings.workloads, label.workload);
    if (workload == nullptr) {
        return {.admitted = true, .reason = {}};
    }
    WorkloadUse &use = table.workloads[workloadKey(label)];
    if (!mayQueue(use.queued, count, workload->maxQueued, daemons)) {
        return refuse(fmt::format("workload {} has {} queued tasks of at most {}", label.workload, use.queued,
                          workload->maxQueued),
            retryWhenTasksEnd);
    }
    return checkRate(use, *workload, count, daemons, now.monotonic);
}

AdmissionDecision admitStart(const AdmissionTable &table, const OperatorSettings &settings, const TaskLabel &label,
    const Resources &size, std::uint32_t daemons)
{
    const WorkloadSettings *workload = findNamed(settings.workloads, label.workload);
    const auto use = table.workloads.find(workloadKey(label));
    if (workload != nullptr && workload->maxRunning > 0 && use != table.workloads.end()
        && use->second.running >= shareOf(workload->maxRunning, daemons)) {
        return hold(LimitKind::Workload, label,
            fmt::format("workload {} runs {} tasks here; its limit is {} on {} daemons", label.workload,
                use->second.running, workload->maxRunning, daemons));
    }
    const TeamSettings *team = findNamed(settings.teams, label.team);
    const auto held = table.teams.find(teamKey(label));
    const Resources before = held == table.teams.end() ? Resources{} : held->second.held;
    if (team == nullptr || withinQuota(before + size, shareOf(team->quota, daemons))
        || (before == Resources{} && withinQuota(size, team->quota))) {
        return {.admitted = true, .reason = {}};
    }
    return hold(LimitKind::Team, label,
        fmt::format("team {} holds {} here; its quota is {} on {} daemons", label.team, describe(before),
            describe(team->quota), daemons));
}

void noteTaskQueued(AdmissionTable &table, const OperatorSettings &settings, const TaskLabel &label)
{
    const TeamSettings *team = findNamed(settings.teams, label.team);
    TeamUse &use = useOf(table, teamKey(label));
    use.weight = team == nullptr ? 1 : std::max(1U, team->weight);
    table.waitingTeams += use.queued == 0 ? 1 : 0;
    ++use.queued;
    ++use.waits[static_cast<std::size_t>(label.kind)].queued;
    ++table.workloads[workloadKey(label)].queued;
}

void noteTaskUnqueued(AdmissionTable &table, const TaskLabel &label)
{
    TeamUse &use = useOf(table, teamKey(label));
    TeamWait &wait = use.waits[static_cast<std::size_t>(label.kind)];
    wait.queued -= wait.queued > 0 ? 1 : 0;
    if (wait.queued == 0) {
        wait = {};
    }
    table.waitingTeams -= use.queued == 1 && table.waitingTeams > 0 ? 1 : 0;
    use.queued -= use.queued > 0 ? 1 : 0;
    std::uint32_t &byWorkload = table.workloads[workloadKey(label)].queued;
    byWorkload -= byWorkload > 0 ? 1 : 0;
    forgetUnused(table, teamKey(label), workloadKey(label));
}

void noteTaskStarted(AdmissionTable &table, const TaskLabel &label, const Resources &size)
{
    useOf(table, teamKey(label)).held += size;
    ++table.workloads[workloadKey(label)].running;
}

void noteTaskEnded(AdmissionTable &table, const TaskLabel &label, const Resources &size)
{
    useOf(table, teamKey(label)).held -= size;
    std::uint32_t &running = table.workloads[workloadKey(label)].running;
    running -= running > 0 ? 1 : 0;
    forgetUnused(table, teamKey(label), workloadKey(label));
    if (!table.watched.empty()) {
        noteFreed(table, {.kind = LimitKind::Team, .operatorName = label.operatorName, .name = label.team});
        noteFreed(table, {.kind = LimitKind::Workload, .operatorName = label.operatorName, .name = label.workload});
    }
}

bool mayTakeIdle(
    const AdmissionTable &table, const AdmissionTable::Key &team, const Resources &size, const Resources &capacity)
{
    double weights = 0;
    for (const auto &[key, use] : table.teams) {
        if (key == team || use.queued > 0 || use.held != Resources{}) {
            weights += use.weight;
        }
    }
    const auto found = table.teams.find(team);
    const TeamUse own = found == table.teams.end() ? TeamUse{} : found->second;
    if (found == table.teams.end()) {
        weights += own.weight;
    }
    if (dominantShare(own.held + size, capacity) <= own.weight / weights) {
        return true;
    }
    return std::ranges::none_of(table.teams, [&](const auto &item) {
        const TeamUse &use = item.second;
        return item.first != team && use.queued > 0 && dominantShare(use.held, capacity) < use.weight / weights;
    });
}

} // namespace wigeonkeel
