#include "core/dispatch/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace wigeonkeel::dispatch
{

namespace
{

/// Weight of the prior, in runs. Sizes within a step vary by up to 30%; with this prior the standard error of the
/// estimate stays below 4% at any number of runs, a fifth of the distance to the next class.
constexpr double priorEvidence = 16.0;
/// Older runs are forgotten beyond this number, so that the estimate follows a worker whose speed changes. With it, a
/// worker that drops to 0.55 is in the slow class after some 30 runs.
constexpr double maxEvidence = 16.0;
/// A sample counts as if it differed from what is expected by no more than this. Workers run at 0.55 to 1.3 of the
/// usual speed and sizes vary by up to 30%, which together stay within it (0.55 x 0.7 has the logarithm -0.95); larger
/// differences come from single tasks of unusual size.
constexpr double maxLogDifference = 1.0;
/// A sample counts in the reference for others as if it differed by no more than this from their median. Covers sizes
/// that vary by 30% (0.7 has the logarithm -0.36). The median alone would be biased, because the logarithms of the
/// sizes aren't distributed evenly, and the speeds of all workers would drift together.
constexpr double maxReferenceDifference = 0.4;
/// Pull of the median of the compared workers' estimates towards the usual speed. Comparisons only give ratios, so
/// without it the speeds of all workers could drift together. The median is pulled and not the mean, so that the usual
/// speed is that of the majority and a group of slow workers doesn't make the others fast.
constexpr double usualPull = 0.2;
/// Speeds at which a worker enters a class and returns to the usual one. The gaps are about three standard errors of
/// the estimate, so that workers near a limit don't alternate between classes.
constexpr double slowBelow = 0.8;
constexpr double usualAbove = 0.9;
constexpr double fastAbove = 1.2;
constexpr double usualBelow = 1.08;
/// Ends are read up to about 0.1 s after they happen; for shorter runs that is more than the difference to find.
constexpr milliseconds shortestMeasured{1000};
/// Progress in lists is known to one percent and up to 1.2 s late, which are small against these amounts.
constexpr milliseconds progressPeriod{10000};
constexpr int progressStep = 20;
/// Samples in one comparison at most; bounds its cost and memory.
constexpr std::size_t maxSamples = 32;
/// Steps whose tasks run for long are compared at this interval, given enough samples.
constexpr milliseconds comparisonPeriod{15000};
constexpr std::size_t minSamples = 4;
/// On the slowest workers (speed 0.55) a task takes 1.8 times its estimate: with less time left it may be late there.
constexpr double littleSlack = 2.0;
/// Twice that, because estimates are off by half and more: a task with more time left is on time on any worker.
constexpr double ampleSlack = 4.0;

SpeedClass classOf(double speed, SpeedClass current)
{
    if (speed < slowBelow || (current == SpeedClass::Slow && speed < usualAbove)) {
        return SpeedClass::Slow;
    }
    if (speed > fastAbove || (current == SpeedClass::Fast && speed > usualBelow)) {
        return SpeedClass::Fast;
    }
    return SpeedClass::Usual;
}

double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    if (values.size() % 2 == 1) {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

/// Mean of the values, with those far from the median moved closer to it.
double robustMeanOf(std::vector<double> &values)
{
    const double median = medianOf(values);
    double sum = 0.0;
    for (const double value : values) {
        sum += std::clamp(value - median, -maxReferenceDifference, maxReferenceDifference);
    }
    return median + sum / static_cast<double>(values.size());
}

constexpr SpeedClassSet setOf(SpeedClass speedClass)
{
    return static_cast<SpeedClassSet>(1U << static_cast<unsigned>(speedClass));
}

} // namespace

double expectedSpeed(const SpeedEstimate &estimate)
{
    return std::exp(estimate.logSpeed);
}

bool observeRunSpeed(SpeedEstimate &estimate, const SpeedObservation &observation)
{
    estimate.evidence = std::min(estimate.evidence + observation.weight, maxEvidence);
    const double gain = observation.weight / (priorEvidence + estimate.evidence);
    estimate.logSpeed += gain * (observation.logSpeed - estimate.logSpeed);
    const SpeedClass before = estimate.speedClass;
    estimate.speedClass = classOf(expectedSpeed(estimate), before);
    return estimate.speedClass != before;
}

std::vector<SpeedObservation> compareSamples(std::span<const SpeedSample> samples, std::span<const double> logSpeeds)
{
    std::vector<SpeedObservation> observations;
    std::vector<double> others;
    std::vector<double> estimates(logSpeeds.begin(), logSpeeds.end());
    const double correction = estimates.empty() ? 0.0 : usualPull * medianOf(estimates);
    double weightedDifferences = 0.0;
    double weights = 0.0;
    for (std::size_t current = 0; current < samples.size(); ++current) {
        const SpeedSample &sample = samples[current];
        const double estimate = logSpeeds[current];
        others.clear();
        for (std::size_t i = 0; i < samples.size(); ++i) {
            if (samples[i].worker != sample.worker) {
                others.push_back(samples[i].logDuration + logSpeeds[i]);
            }
        }
        if (others.empty()) {
            continue;
        }
        // The reference varies too, the more the fewer tasks it rests on.
        const auto count = static_cast<double>(others.size());
        const double weight = sample.weight * count / (count + 1);
        const double difference
            = std::clamp(robustMeanOf(others) - sample.logDuration - estimate, -maxLogDifference, maxLogDifference);
        observations.push_back({.worker = sample.worker, .logSpeed = estimate + difference, .weight = weight});
        weightedDifferences += weight * difference;
        weights += weight;
    }
    // Unevenly distributed sizes give differences whose mean isn't zero, also among equal workers.
    const double mean = weights > 0 ? weightedDifferences / weights : 0.0;
    for (SpeedObservation &observation : observations) {
        observation.logSpeed -= mean + correction;
    }
    return observations;
}

SpeedSample measureProgress(const SpeedMark &mark, int percent, MonotonicTime now)
{
    const std::chrono::duration<double, std::milli> elapsed = now - mark.at;
    if (elapsed < shortestMeasured || percent - mark.percent < progressStep) {
        return {.weight = 0.0};
    }
    const double part = (percent - mark.percent) / 100.0;
    return {.logDuration = std::log(elapsed.count() / part), .weight = part};
}

bool isProgressDue(const SpeedMark &mark, int percent, MonotonicTime now)
{
    return percent - mark.percent >= progressStep && now - mark.at >= progressPeriod;
}

bool isComparisonDue(const SpeedSamples &samples, MonotonicTime now)
{
    const std::size_t count = samples.samples.size();
    return count >= maxSamples || (count >= minSamples && now - samples.firstAt >= comparisonPeriod);
}

SpeedPreference speedPreference(const SpeedNeed &need)
{
    if (need.isTopPriority) {
        return SpeedPreference::Faster;
    }
    // A job that is late already doesn't take the fast workers from those that can still be on time.
    if (need.isLongRunning || need.estimate <= milliseconds(0) || need.timeLeft <= milliseconds(0)) {
        return SpeedPreference::None;
    }
    const auto left = static_cast<double>(need.timeLeft.count());
    const auto estimate = static_cast<double>(need.estimate.count());
    if (left < littleSlack * estimate) {
        return SpeedPreference::Faster;
    }
    return left > ampleSlack * estimate ? SpeedPreference::Slower : SpeedPreference::None;
}

int speedRank(SpeedPreference preference, SpeedClass speedClass)
{
    switch (preference) {
    case SpeedPreference::Faster:
        return static_cast<int>(SpeedClass::Fast) - static_cast<int>(speedClass);
    case SpeedPreference::Slower:
        return static_cast<int>(speedClass);
    case SpeedPreference::None:
        break;
    }
    return 0;
}

std::array<SpeedClassSet, 5> gangSpeedSets(SpeedPreference preference)
{
    constexpr SpeedClassSet slow = setOf(SpeedClass::Slow);
    constexpr SpeedClassSet usual = setOf(SpeedClass::Usual);
    constexpr SpeedClassSet fast = setOf(SpeedClass::Fast);
    switch (preference) {
    case SpeedPreference::Faster:
        return {fast, usual, usual | fast, slow, allSpeedClasses};
    case SpeedPreference::Slower:
        return {slow, usual, slow | usual, fast, allSpeedClasses};
    case SpeedPreference::None:
        break;
    }
    return {usual, fast, usual | fast, slow, allSpeedClasses};
}

} // namespace wigeonkeel::dispatch
