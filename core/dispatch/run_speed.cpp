#include "core/dispatch/run_speed.h"

#include "core/log.h"

#include <array>
#include <utility>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "worker";
constexpr milliseconds logPeriod{1000};
/// Lines about changed speed classes in one period, so that a change of many workers at once doesn't crowd out others.
constexpr std::uint32_t maxLogLines = 10;

/// While a worker runs something, it is listed every 1.2 s and the time of a call. A run that was last listed longer
/// ago may have ended long before its end was read, as when the ends don't fit into one list.
constexpr milliseconds longestListGap{2000};

std::string_view className(SpeedClass speedClass)
{
    constexpr std::array<std::string_view, speedClassCount> names = {"slow", "usual", "fast"};
    return names.at(static_cast<std::size_t>(speedClass));
}

/// Whether the duration of a run depends on its worker's speed and its size alone. Members of a gang wait for each
/// other, and a task takes longer away from its data.
bool isComparable(const StepSpec &spec, const Worker &worker)
{
    return !spec.gang && !spec.longRunning && !spec.usesIdleCpu
        && (spec.dataRack.empty() || spec.dataRack == worker.entry.rack);
}

void logClassChange(WorkerTable &table, const Worker &worker, SpeedClass before, MonotonicTime now)
{
    SpeedLogLimit &limit = table.speedLog;
    if (now - limit.periodStart >= logPeriod) {
        limit.periodStart = now;
        limit.lines = 0;
    }
    if (limit.lines >= maxLogLines) {
        ++limit.suppressed;
        return;
    }
    ++limit.lines;
    logLine(LogLevel::Info, logPart,
        "Speed class changed. worker={} incarnation={} from={} to={} speed={:.2f} "
        "suppressed={}",
        worker.entry.id, worker.entry.incarnation, className(before), className(worker.speed.speedClass),
        expectedSpeed(worker.speed), std::exchange(limit.suppressed, 0));
}

void addSample(Dispatcher &dispatcher, StepRun &step, SpeedSample sample, WorkerSlot slot, MonotonicTime now)
{
    if (sample.weight <= 0) {
        return;
    }
    sample.worker = slot;
    sample.incarnation = dispatcher.workers.workers[slot].entry.incarnation;
    if (step.speeds.samples.empty()) {
        step.speeds.firstAt = now;
    }
    step.speeds.samples.push_back(sample);
    if (isComparisonDue(step.speeds, now)) {
        compareStepSpeeds(dispatcher, step, now);
    }
}

} // namespace

void recordSpeedStart(const Worker &worker, const TaskPlace &place, Run &run, MonotonicTime now)
{
    // How far a run from a checkpoint has come is known from its first progress.
    if (isComparable(*place.spec, worker) && place.task->checkpoint.empty() && !run.speedMark) {
        run.speedMark = SpeedMark{.at = now, .percent = 0};
    }
}

void recordSpeedProgress(
    Dispatcher &dispatcher, const TaskPlace &place, Run &run, WorkerSlot slot, int percent, MonotonicTime now)
{
    if (!isComparable(*place.spec, dispatcher.workers.workers[slot])) {
        return;
    }
    if (!run.speedMark || percent < run.speedMark->percent) {
        run.speedMark = SpeedMark{.at = now, .percent = percent};
    } else if (isProgressDue(*run.speedMark, percent, now)) {
        const SpeedMark mark = *run.speedMark;
        run.speedMark = SpeedMark{.at = now, .percent = percent};
        addSample(dispatcher, *place.step, measureProgress(mark, percent, now), slot, now);
    }
}

void recordSpeedEnd(Dispatcher &dispatcher, const TaskPlace &place, const Run &run, WorkerSlot slot, MonotonicTime now)
{
    const bool isEndTimeKnown = run.phase != RunPhase::Stopping && now - run.seenAt <= longestListGap;
    if (run.speedMark && isEndTimeKnown && isComparable(*place.spec, dispatcher.workers.workers[slot])) {
        addSample(dispatcher, *place.step, measureProgress(*run.speedMark, 100, now), slot, now);
    }
}

void compareStepSpeeds(Dispatcher &dispatcher, StepRun &step, MonotonicTime now)
{
    std::vector<SpeedSample> samples = std::exchange(step.speeds, {}).samples;
    std::vector<Worker> &workers = dispatcher.workers.workers;
    std::erase_if(samples, [&workers](const SpeedSample &sample) {
        return workers[sample.worker].entry.incarnation != sample.incarnation;
    });
    std::vector<double> logSpeeds;
    logSpeeds.reserve(samples.size());
    for (const SpeedSample &sample : samples) {
        logSpeeds.push_back(workers[sample.worker].speed.logSpeed);
    }
    for (const SpeedObservation &observation : compareSamples(samples, logSpeeds)) {
        Worker &worker = workers[observation.worker];
        const SpeedClass before = worker.speed.speedClass;
        if (observeRunSpeed(worker.speed, observation)) {
            logClassChange(dispatcher.workers, worker, before, now);
        }
    }
}

} // namespace wigeonkeel::dispatch
