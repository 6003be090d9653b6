#pragma once

#include "core/clock.h"
#include "core/dispatch/worker_health.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Classes of worker speed. Placements compare classes instead of speeds, so that noise changes no decision.
enum class SpeedClass : std::uint8_t { Slow, Usual, Fast };
inline constexpr std::size_t speedClassCount = 3;

/// What is known of a worker's speed. Speeds are relative to the other workers and kept as natural logarithms, where a
/// task that takes twice as long and one that takes half as long differ from the usual by the same amount.
struct SpeedEstimate
{
    double logSpeed = 0.0;
    /// Number of runs, by weight, on which the estimate rests, up to a limit.
    double evidence = 0.0;
    SpeedClass speedClass = SpeedClass::Usual;
};

/// Up to where a run's progress has been turned into samples, and when the run got there.
struct SpeedMark
{
    MonotonicTime at{};
    int percent = 0;
};

/// The duration of one run of a step, or what it would be at the pace of a part of the run.
struct SpeedSample
{
    WorkerSlot worker = noWorker;
    std::int64_t incarnation = 0;
    /// Logarithm of the duration in milliseconds.
    double logDuration = 0.0;
    /// Part of the run that the sample covers, 0 to 1. Parts of one run share the size of the task, so together they
    /// count no more than one run.
    double weight = 1.0;
};

/// Samples of a step that have not been compared with each other yet.
struct SpeedSamples
{
    std::vector<SpeedSample> samples;
    MonotonicTime firstAt{};
};

/// A worker's speed according to one sample.
struct SpeedObservation
{
    WorkerSlot worker = noWorker;
    double logSpeed = 0.0;
    double weight = 0.0;
};

/// Expected speed of the worker, 1.0 being the usual one.
double expectedSpeed(const SpeedEstimate &estimate);

/// Updates the estimate. True if the worker's class changed.
bool observeRunSpeed(SpeedEstimate &estimate, const SpeedObservation &observation);

/// Compares each sample with those of the other workers. Samples without one on another worker give no observation.
/// `logSpeeds` holds the estimated speed of the worker of each sample.
std::vector<SpeedObservation> compareSamples(std::span<const SpeedSample> samples, std::span<const double> logSpeeds);

/// The sample that the progress from the mark to `percent` gives; without a weight if the part is too short to be
/// measured. The worker is left empty.
SpeedSample measureProgress(const SpeedMark &mark, int percent, MonotonicTime now);

/// Whether progress in the lists gives a sample already. At its end a run gives one of whatever remains.
bool isProgressDue(const SpeedMark &mark, int percent, MonotonicTime now);

/// Whether the step's samples are compared now instead of at the step's end.
bool isComparisonDue(const SpeedSamples &samples, MonotonicTime now);

enum class SpeedPreference : std::uint8_t { None, Faster, Slower };

/// What decides whether a task prefers faster or slower workers.
struct SpeedNeed
{
    bool isTopPriority = false;
    /// A long-running task has no end that could be late.
    bool isLongRunning = false;
    /// Until the job is late.
    milliseconds timeLeft{0};
    /// Estimate of the task and of what follows it in the job.
    milliseconds estimate{0};
};

SpeedPreference speedPreference(const SpeedNeed &need);

/// Order of workers by preference; lower is better. The same for all classes without a preference.
int speedRank(SpeedPreference preference, SpeedClass speedClass);

/// A set of speed classes; bit N stands for the class of value N.
using SpeedClassSet = std::uint8_t;
inline constexpr SpeedClassSet allSpeedClasses = 0b111;

inline constexpr bool contains(SpeedClassSet set, SpeedClass speedClass)
{
    return ((set >> static_cast<unsigned>(speedClass)) & 1U) != 0;
}

/// Sets of classes from which to choose the workers of a gang, best first. The last one contains all classes.
std::array<SpeedClassSet, 5> gangSpeedSets(SpeedPreference preference);

} // namespace wigeonkeel::dispatch
