#include "tests/dispatch/run_history.h"

#include "core/dispatch/job_table.h"
#include "core/dispatch/records.h"

#include <algorithm>
#include <limits>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::uint32_t gangIndex = std::numeric_limits<std::uint32_t>::max();

std::string unitName(const TaskKey &unit)
{
    return unit.index == gangIndex ? formatStepKey(unit.step) : formatTaskKey(unit);
}

/// Position of the acknowledged end after which the unit must not start again; the largest number if there is none.
std::pair<std::uint64_t, std::string_view> finalEnd(const RunHistory &history, const HistoryUnit &unit)
{
    std::set<std::uint32_t> failed;
    for (const HistoryEnd &ended : unit.ends) {
        if (ended.acknowledged && ended.end == RunEnd::Done) {
            return {ended.order, "TWICE-again: started after its end as done had been acknowledged:"};
        }
        if (ended.acknowledged && ended.end == RunEnd::Failed && failed.insert(ended.attempt).second
            && failed.size() >= history.maxAttempts) {
            return {ended.order, "BUDGET: started after its last attempt had failed:"};
        }
    }
    return {std::numeric_limits<std::uint64_t>::max(), {}};
}

/// Reports each unit once, because each member of a gang would break the same rule.
std::vector<std::string> checkUnit(RunHistory &history, const TaskKey &key, std::string_view where)
{
    HistoryUnit &unit = history.units[key];
    const auto [order, rule] = finalEnd(history, unit);
    const auto late
        = std::ranges::find_if(unit.starts, [last = order](const HistoryStart &start) { return start.order > last; });
    if (unit.reported || late == unit.starts.end()) {
        return {};
    }
    unit.reported = true;
    return {
        fmt::format("{} {} (start {}, attempt {}; seen {})", rule, unitName(key), late->text, late->attempt, where)};
}

} // namespace

TaskKey historyUnit(const TaskKey &task, bool gang)
{
    return gang ? TaskKey{.step = task.step, .index = gangIndex} : task;
}

std::vector<std::string> recordStart(
    RunHistory &history, const TaskKey &unit, std::uint32_t attempt, std::string_view where)
{
    history.units[unit].starts.push_back({.attempt = attempt, .order = ++history.order, .text = std::string(where)});
    std::vector<std::string> broken = checkUnit(history, unit, where);
    if (history.shownDone.contains(unit.step.job)) {
        broken.push_back(
            fmt::format("TWICE-shown: {} started after its job was shown as done, {}", unitName(unit), where));
    }
    return broken;
}

std::vector<std::string> recordAcknowledgement(
    RunHistory &history, const WorkerLife &life, std::uint64_t upTo, std::string_view where)
{
    std::vector<std::string> broken;
    auto &open = history.openEnds[life];
    std::vector<TaskKey> reached;
    std::erase_if(open, [&](const auto &entry) {
        HistoryEnd &ended = history.units[entry.first].ends[entry.second];
        ended.acknowledged = ended.number <= upTo;
        if (ended.acknowledged) {
            reached.push_back(entry.first);
        }
        return ended.acknowledged;
    });
    for (const TaskKey &unit : reached) {
        std::ranges::move(checkUnit(history, unit, where), std::back_inserter(broken));
    }
    return broken;
}

std::vector<std::string> recordShownDone(RunHistory &history, JobId job, const JobSpec &spec, std::string_view where)
{
    if (!history.shownDone.insert(job).second) {
        return {};
    }
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        const bool gang = spec.steps[step].gang;
        for (std::uint32_t index = 0; index < (gang ? 1 : spec.steps[step].count); ++index) {
            const TaskKey unit
                = historyUnit({.step = {.job = job, .occurrence = 0, .step = step}, .index = index}, gang);
            if (std::ranges::find(history.units[unit].ends, RunEnd::Done, &HistoryEnd::end)
                == history.units[unit].ends.end()) {
                return {fmt::format("MIXED: job shown as done while {} has not ended so, {}", unitName(unit), where)};
            }
        }
    }
    return {};
}

std::vector<std::string> recordShownState(
    RunHistory &history, JobId job, JobState state, CallTimes times, std::string_view where)
{
    HistoryJob &known = history.jobs[job];
    if (known.shownEnd && state != *known.shownEnd && times.sentAt > known.shownEndAt) {
        return {fmt::format("SHOWN: job {} has ended as {} and is shown as {}, {}", formatJobId(job),
            stateName(*known.shownEnd), isEnded(state) ? stateName(state) : "live", where)};
    }
    if (!known.shownEnd && isEnded(state)) {
        known.shownEnd = state;
        known.shownEndAt = times.answeredAt;
    }
    return {};
}

std::vector<std::string> checkNoSuchJob(
    const RunHistory &history, JobId job, CallTimes times, milliseconds keptFor, std::string_view where)
{
    const auto found = history.jobs.find(job);
    if (found == history.jobs.end() || !found->second.acceptedAt) {
        return {};
    }
    // A job ends after its acceptance, so it is known for at least this long.
    const milliseconds acceptedAt = *found->second.acceptedAt;
    if (times.sentAt <= acceptedAt || times.answeredAt > acceptedAt + keptFor) {
        return {};
    }
    return {fmt::format("LOST: accepted job {} is said not to exist, {}", formatJobId(job), where)};
}

std::vector<std::string> checkStartTime(const RunHistory &history, JobId job, milliseconds at, std::string_view where)
{
    const auto found = history.jobs.find(job);
    if (found == history.jobs.end() || !found->second.cancelledAt || at - *found->second.cancelledAt <= cancelLimit) {
        return {};
    }
    return {fmt::format("UNASKED: job {} starts {} ms after its cancellation was acknowledged, {}", formatJobId(job),
        (at - *found->second.cancelledAt).count(), where)};
}

void recordAccepted(RunHistory &history, JobId job, milliseconds at)
{
    std::optional<milliseconds> &acceptedAt = history.jobs[job].acceptedAt;
    acceptedAt = acceptedAt.value_or(at);
}

void recordCancelled(RunHistory &history, JobId job, milliseconds at)
{
    std::optional<milliseconds> &cancelledAt = history.jobs[job].cancelledAt;
    cancelledAt = cancelledAt.value_or(at);
}

void recordEnd(RunHistory &history, const TaskKey &unit, const EndedTask &ended, const WorkerLife &life)
{
    std::vector<HistoryEnd> &ends = history.units[unit].ends;
    ends.push_back({.attempt = ended.attempt, .end = ended.end, .number = ended.number, .order = ++history.order});
    history.openEnds[life].emplace_back(unit, ends.size() - 1);
}

void recordLapse(RunHistory &history, const WorkerLife &life)
{
    history.openEnds.erase(life);
}

} // namespace wigeonkeel::dispatch
