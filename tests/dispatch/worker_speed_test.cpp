#include "core/dispatch/worker_speed.h"

#include "core/routing/random.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <span>
#include <vector>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr MonotonicTime start{milliseconds(100000)};

/// Sizes of the tasks of one step are spread evenly by up to this much, the most that the platform states.
constexpr double sizeSpread = 0.3;

/// Workers of known speed and what is learned of them.
struct SpeedWorld
{
    std::vector<double> speeds;
    std::vector<SpeedEstimate> estimates;
    RandomState random{.value = 7};
    std::size_t classChanges = 0;
};

SpeedWorld worldOf(std::vector<double> speeds)
{
    SpeedWorld world{.speeds = std::move(speeds), .estimates = {}};
    world.estimates.resize(world.speeds.size());
    return world;
}

double spread(RandomState &random, double amount)
{
    return 1.0 + amount * (static_cast<double>(randomBelow(random, 2001)) / 1000.0 - 1.0);
}

SpeedSample sampleOf(SpeedWorld &world, WorkerSlot worker, double size)
{
    const double duration = size * spread(world.random, sizeSpread) / world.speeds[worker];
    return {.worker = worker, .logDuration = std::log(duration)};
}

void learn(SpeedWorld &world, std::span<const SpeedSample> samples)
{
    std::vector<double> logSpeeds;
    for (const SpeedSample &sample : samples) {
        logSpeeds.push_back(world.estimates[sample.worker].logSpeed);
    }
    for (const SpeedObservation &observation : compareSamples(samples, logSpeeds)) {
        world.classChanges += observeRunSpeed(world.estimates[observation.worker], observation) ? 1 : 0;
    }
}

/// Runs steps of `tasks` tasks on workers chosen at random. The size differs from step to step by a factor of up to 50,
/// and no estimate is used.
void runSteps(SpeedWorld &world, std::size_t steps, std::size_t tasks)
{
    for (std::size_t step = 0; step < steps; ++step) {
        const double size = 1000.0 + static_cast<double>(randomBelow(world.random, 50000));
        std::vector<SpeedSample> samples;
        for (std::size_t i = 0; i < tasks; ++i) {
            const auto worker = static_cast<WorkerSlot>(randomBelow(world.random, world.speeds.size()));
            samples.push_back(sampleOf(world, worker, size));
        }
        learn(world, samples);
    }
}

std::size_t countIn(const SpeedWorld &world, SpeedClass speedClass)
{
    return static_cast<std::size_t>(std::ranges::count(world.estimates, speedClass, &SpeedEstimate::speedClass));
}

/// A quarter of the workers slow, a quarter fast.
std::vector<double> unevenSpeeds(std::size_t count)
{
    std::vector<double> speeds(count, 1.0);
    for (std::size_t i = 0; i < count; i += 4) {
        speeds[i] = 0.55;
        speeds[i + 1] = 1.3;
    }
    return speeds;
}

} // namespace

TEST_GROUP(DispatchWorkerSpeed){};

// Load: equal workers, a day of steps of 2 to 8 tasks. Guards against noise that changes decisions.
TEST(DispatchWorkerSpeed, EqualWorkersStayUsualThroughADay)
{
    for (const std::size_t tasks : {2, 3, 8}) {
        for (const std::size_t workers : {3, 40}) {
            SpeedWorld world = worldOf(std::vector<double>(workers, 1.0));
            runSteps(world, workers * 2000 / tasks, tasks);
            CHECK_EQUAL(0, world.classChanges);
        }
    }
}

// Load: uneven speeds with bursts of short urgent work. Guards against a slow or fast worker that stays undetected.
TEST(DispatchWorkerSpeed, UnevenSpeedsAreLearned)
{
    SpeedWorld world = worldOf(unevenSpeeds(40));
    for (int burst = 0; burst < 50; ++burst) {
        runSteps(world, 10, 16);
        // Short urgent steps of 1 s, of two tasks each.
        for (int i = 0; i < 40; ++i) {
            const auto first = static_cast<WorkerSlot>(randomBelow(world.random, 40));
            const std::vector<SpeedSample> samples
                = {sampleOf(world, first, 1000), sampleOf(world, (first + 1) % 40, 1000)};
            learn(world, samples);
        }
    }
    for (std::size_t i = 0; i < world.speeds.size(); ++i) {
        const SpeedClass expected = i % 4 == 0 ? SpeedClass::Slow : i % 4 == 1 ? SpeedClass::Fast : SpeedClass::Usual;
        CHECK(expected == world.estimates[i].speedClass);
    }
    // Once learned, the classes stay.
    world.classChanges = 0;
    runSteps(world, 2000, 8);
    CHECK_EQUAL(0, world.classChanges);
}

// Load: one quarter of the workers turns slow in mid-day. Guards against estimates that a long past outweighs.
TEST(DispatchWorkerSpeed, WorkersThatTurnSlowAreFollowed)
{
    SpeedWorld world = worldOf(std::vector<double>(40, 1.0));
    runSteps(world, 2000, 8);
    CHECK_EQUAL(40, countIn(world, SpeedClass::Usual));
    for (std::size_t i = 0; i < 10; ++i) {
        world.speeds[i] = 0.55;
    }
    // On average 50 runs on each worker.
    runSteps(world, 40 * 50 / 8, 8);
    for (std::size_t i = 0; i < 40; ++i) {
        CHECK((i < 10 ? SpeedClass::Slow : SpeedClass::Usual) == world.estimates[i].speedClass);
    }
    // They recover.
    std::ranges::fill(world.speeds, 1.0);
    runSteps(world, 40 * 60 / 8, 8);
    CHECK_EQUAL(40, countIn(world, SpeedClass::Usual));
}

// Load: all workers slow. Guards against a slow-down of the whole pool that moves workers between classes, also while
// a step has runs from before and after it.
TEST(DispatchWorkerSpeed, ASlowPoolStaysUsual)
{
    SpeedWorld world = worldOf(std::vector<double>(40, 1.0));
    runSteps(world, 500, 8);
    std::vector<SpeedSample> samples;
    for (WorkerSlot worker = 0; worker < 32; ++worker) {
        if (worker == 16) {
            std::ranges::fill(world.speeds, 0.55);
        }
        samples.push_back(sampleOf(world, worker, 20000));
    }
    learn(world, samples);
    runSteps(world, 2000, 8);
    CHECK_EQUAL(0, world.classChanges);
}

// Load: wrong estimates. Guards against a task of ten times the size of its siblings that discredits its worker.
TEST(DispatchWorkerSpeed, SingleTasksOfUnusualSizeChangeNoClass)
{
    SpeedWorld world = worldOf(std::vector<double>(40, 1.0));
    runSteps(world, 500, 8);
    for (int round = 0; round < 20; ++round) {
        std::vector<SpeedSample> samples;
        for (WorkerSlot worker = 0; worker < 8; ++worker) {
            samples.push_back(sampleOf(world, worker, worker == 0 && round % 10 == 0 ? 100000 : 10000));
        }
        learn(world, samples);
    }
    CHECK_EQUAL(0, world.classChanges);
}

// Load: a worker whose tasks stand still. Guards against a stalled worker that counts as slow.
TEST(DispatchWorkerSpeed, StandstillGivesNoSample)
{
    const SpeedMark mark{.at = start, .percent = 40};
    CHECK(!isProgressDue(mark, 40, start + milliseconds(60000)));
    CHECK_EQUAL(0.0, measureProgress(mark, 40, start + milliseconds(60000)).weight);
}

// Guards against long runs whose speed is known only at their end, and against runs that count more than once.
TEST(DispatchWorkerSpeed, ProgressOfLongRunsIsMeasured)
{
    const SpeedMark mark{.at = start, .percent = 20};
    CHECK(!isProgressDue(mark, 50, start + milliseconds(9000)));
    CHECK(!isProgressDue(mark, 39, start + milliseconds(30000)));
    CHECK(isProgressDue(mark, 45, start + milliseconds(15000)));
    const SpeedSample sample = measureProgress(mark, 45, start + milliseconds(15000));
    DOUBLES_EQUAL(std::log(60000), sample.logDuration, 1e-9);
    DOUBLES_EQUAL(0.25, sample.weight, 1e-9);
}

// Guards against runs so short that the time until their end is read decides their duration.
TEST(DispatchWorkerSpeed, ShortRunsAreNotMeasured)
{
    const SpeedMark mark{.at = start, .percent = 0};
    CHECK_EQUAL(0.0, measureProgress(mark, 100, start + milliseconds(999)).weight);
    CHECK_EQUAL(1.0, measureProgress(mark, 100, start + milliseconds(1000)).weight);
}

// Guards against comparisons of a worker with itself.
TEST(DispatchWorkerSpeed, OneWorkerAloneGivesNoObservation)
{
    const std::vector<SpeedSample> samples = {{.worker = 3, .logDuration = 8.0}, {.worker = 3, .logDuration = 9.0}};
    CHECK(compareSamples(samples, std::vector<double>(2, 0.0)).empty());
}

// Guards against an unlimited number of samples in a step, and against long steps that are compared at their end only.
TEST(DispatchWorkerSpeed, ComparisonsAreBounded)
{
    SpeedSamples samples{.samples = std::vector<SpeedSample>(31), .firstAt = start};
    CHECK(!isComparisonDue(samples, start));
    CHECK(isComparisonDue(samples, start + milliseconds(15000)));
    samples.samples.emplace_back();
    CHECK(isComparisonDue(samples, start));
    samples.samples.resize(3);
    CHECK(!isComparisonDue(samples, start + milliseconds(15000)));
}

// Guards against classes that alternate while the speed is near a limit.
TEST(DispatchWorkerSpeed, ClassesHaveHysteresis)
{
    SpeedEstimate estimate{.logSpeed = std::log(0.79), .evidence = 16.0};
    observeRunSpeed(estimate, {.logSpeed = std::log(0.79), .weight = 1.0});
    CHECK(SpeedClass::Slow == estimate.speedClass);
    estimate.logSpeed = std::log(0.88);
    CHECK(!observeRunSpeed(estimate, {.logSpeed = std::log(0.88), .weight = 1.0}));
    estimate.logSpeed = std::log(0.92);
    CHECK(observeRunSpeed(estimate, {.logSpeed = std::log(0.92), .weight = 1.0}));
    CHECK(SpeedClass::Usual == estimate.speedClass);
    CHECK(!observeRunSpeed(estimate, {.logSpeed = std::log(0.88), .weight = 1.0}));
}

// Guards against work that is nearly late on slow workers, and work with time that takes the fast ones.
TEST(DispatchWorkerSpeed, SlackDecidesThePreference)
{
    const auto preference = [](std::int64_t timeLeft) {
        return speedPreference({.timeLeft = milliseconds(timeLeft), .estimate = milliseconds(1000)});
    };
    CHECK(SpeedPreference::Faster == preference(1500));
    CHECK(SpeedPreference::None == preference(3000));
    CHECK(SpeedPreference::Slower == preference(5000));
    CHECK(SpeedPreference::None == preference(-1));
    CHECK(SpeedPreference::Faster
        == speedPreference({.isTopPriority = true, .timeLeft = milliseconds(90000), .estimate = milliseconds(1000)}));
    CHECK(SpeedPreference::None
        == speedPreference({.isLongRunning = true, .timeLeft = milliseconds(1), .estimate = milliseconds(1000)}));
    // Without an estimate there is nothing to compare the time with.
    CHECK(SpeedPreference::None == speedPreference({.timeLeft = milliseconds(5000)}));
}

// Guards against an order of workers that differs where no speed is known.
TEST(DispatchWorkerSpeed, RanksFollowThePreference)
{
    CHECK(speedRank(SpeedPreference::Faster, SpeedClass::Fast) < speedRank(SpeedPreference::Faster, SpeedClass::Usual));
    CHECK(speedRank(SpeedPreference::Faster, SpeedClass::Usual) < speedRank(SpeedPreference::Faster, SpeedClass::Slow));
    CHECK(speedRank(SpeedPreference::Slower, SpeedClass::Slow) < speedRank(SpeedPreference::Slower, SpeedClass::Usual));
    CHECK_EQUAL(speedRank(SpeedPreference::None, SpeedClass::Slow), speedRank(SpeedPreference::None, SpeedClass::Fast));
}

// Guards against a gang that finds no place because of the speeds.
TEST(DispatchWorkerSpeed, GangsMayUseAllWorkersInTheEnd)
{
    for (const SpeedPreference preference : {SpeedPreference::None, SpeedPreference::Faster, SpeedPreference::Slower}) {
        CHECK_EQUAL(allSpeedClasses, gangSpeedSets(preference).back());
    }
}
