#include "core/dispatch/worker_health.h"

#include "core/dispatch/job_table.h"
#include "core/dispatch/worker_table.h"
#include "core/log.h"

#include <algorithm>
#include <cmath>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "worker";
/// At this score, reached after three failures in short order, a worker gets no starts for a while. One or two failures
/// can also come from jobs that fail on every worker.
constexpr double avoidanceScore = 2.5;
/// Score after the pause: one more failure within a few seconds is enough to avoid the worker again.
constexpr double scoreAfterAvoidance = 1.75;
constexpr milliseconds firstAvoidance{3000};
constexpr milliseconds longestAvoidance{12000};
/// Time in which the score of a worker that gets starts halves.
constexpr milliseconds scoreHalfLife{10000};
/// Largest share of a pool's workers that is avoided at one time.
constexpr double maxAvoidedShare = 0.5;
/// Largest share of the workers that have run a step on which it may fail while the workers count as the cause.
constexpr double maxSuspectShare = 0.5;
constexpr milliseconds firstRestartDelay{50};
/// The platform expects a start within 3 s where there is room.
constexpr milliseconds longestRestartDelay{2000};
/// After a run of this duration, the next failure of a long-running task counts as its first.
constexpr milliseconds stableRunTime{10000};

/// Number of workers that run tasks of the step now and on which the job has not failed.
std::size_t countSoundWorkers(const Job &job, const StepRun &step)
{
    absl::flat_hash_set<WorkerSlot> sound;
    for (const Task &task : step.tasks) {
        if (task.phase == TaskPhase::Assigned && !job.failedOn.contains(task.worker)) {
            sound.insert(task.worker);
        }
    }
    return sound.size();
}

/// Whether the worker may be avoided without leaving too few of its pool.
bool canAvoid(const WorkerTable &table, const Worker &worker, MonotonicTime now)
{
    std::size_t listed = 0;
    std::size_t avoided = 1;
    for (const Worker &other : table.workers) {
        if (other.listed && other.entry.pool == worker.entry.pool) {
            ++listed;
            avoided += &other != &worker && other.health.avoidUntil > now ? 1 : 0;
        }
    }
    return static_cast<double>(avoided) <= maxAvoidedShare * static_cast<double>(listed);
}

} // namespace

bool isWorkerSuspect(Job &job, const StepSpec &spec, const StepRun &step, const Task &task, WorkerSlot slot)
{
    const bool isFirstFailure = job.failedOn.empty();
    job.failedOn.insert(slot);
    if (task.failedOn != noWorker && task.failedOn != slot) {
        return false;
    }
    if (step.remaining < step.tasks.size()) {
        return true;
    }
    // The members of a gang end together, so those on other workers say nothing.
    const std::size_t sound = spec.gang ? 0 : countSoundWorkers(job, step);
    const auto failed = static_cast<double>(job.failedOn.size());
    return isFirstFailure || failed <= maxSuspectShare * (failed + static_cast<double>(sound));
}

void recordFailure(WorkerTable &table, WorkerSlot slot, double weight, MonotonicTime now)
{
    Worker &worker = table.workers[slot];
    WorkerHealth &health = worker.health;
    const MonotonicTime since = std::max(health.scoredAt, health.avoidUntil);
    if (now > since) {
        const std::chrono::duration<double, std::milli> age = now - since;
        health.failureScore *= std::exp2(-age / scoreHalfLife);
    }
    health.scoredAt = now;
    health.failureScore += weight;
    if (health.failureScore < avoidanceScore) {
        return;
    }
    health.failureScore = scoreAfterAvoidance;
    const bool avoids = canAvoid(table, worker, now);
    if (avoids) {
        health.nextAvoidance = std::clamp(health.nextAvoidance * 2, firstAvoidance, longestAvoidance);
        health.avoidUntil = now + health.nextAvoidance;
    }
    logLine(LogLevel::Info, logPart, "Failures reached the limit. worker={} avoided={} for_ms={}", worker.entry.id,
        avoids, avoids ? health.nextAvoidance.count() : 0);
}

void recordSuccess(WorkerHealth &health)
{
    health.failureScore *= 0.5;
    if (health.failureScore < 0.5) {
        health.nextAvoidance = milliseconds(0);
    }
}

milliseconds restartDelay(std::uint32_t &restarts, MonotonicTime::duration ranFor)
{
    restarts = ranFor >= stableRunTime ? 0 : restarts;
    milliseconds delay = firstRestartDelay;
    for (std::uint32_t i = 0; i < restarts && delay < longestRestartDelay; ++i) {
        delay *= 2;
    }
    ++restarts;
    return std::min(delay, longestRestartDelay);
}

} // namespace wigeonkeel::dispatch
