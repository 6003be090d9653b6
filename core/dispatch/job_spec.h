#pragma once

#include "core/clock.h"
#include "core/dispatch/configuration.h"
#include "core/resources.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Id of a job, chosen by the client. Written as 16 lower-case hexadecimal digits.
using JobId = std::uint64_t;

std::string formatJobId(JobId id);
/// Nothing unless the text is 16 lower-case hexadecimal digits.
std::optional<JobId> parseJobId(std::string_view text);

/// A step of one occurrence of a job.
struct StepKey
{
    JobId job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    auto operator<=>(const StepKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// A task of a step.
struct TaskKey
{
    StepKey step;
    std::uint32_t index = 0;

    auto operator<=>(const TaskKey &) const = default; // NOLINT(modernize-use-nullptr)

    template <typename H>
    // Abseil requires this name.
    friend H AbslHashValue(H hash, const TaskKey &key) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(hash), key.step.job, key.step.occurrence, key.step.step, key.index);
    }
};

/// "5c0e7a21d94b36f8.0.1"
std::string formatStepKey(const StepKey &key);
/// "5c0e7a21d94b36f8.0.1.17"
std::string formatTaskKey(const TaskKey &key);
std::optional<TaskKey> parseTaskKey(std::string_view text);

/// Tasks of one size that become ready together.
struct StepSpec
{
    std::uint32_t count = 1;
    /// Resources of one task.
    Resources size;
    /// The client's estimate of a task's run time; may be far off.
    milliseconds estimate{0};
    /// Earlier steps whose tasks must all be done before this step starts.
    std::vector<std::uint32_t> after;
    /// A worker must have this label; empty for none.
    std::string requiredLabel;
    /// Rack that holds the data; empty for none. Elsewhere a task takes longer.
    std::string dataRack;
    /// Most tasks of the step on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    bool checkpointed = false;
    /// The tasks make progress only while all of them run; they start under one attempt number and end together.
    bool gang = false;
    /// The gang runs slower on more than one rack, so that one rack is preferred.
    bool sameRack = false;
    /// Several copies of a task may run at the same time.
    bool speculative = false;
    /// Tasks run until the job is cancelled.
    bool longRunning = false;
    /// Uses only processor time that other tasks leave idle; its cpu is not charged to the worker.
    bool usesIdleCpu = false;
    /// Tasks with the same image are expected to behave alike.
    std::string image;
    /// Limit of the tail latency of a task that serves requests; 0 for none.
    milliseconds tailTarget{0};
    /// Most tasks that the scheduler's own actions may make unavailable at one time.
    std::uint32_t maxUnavailable = 0;
};

struct JobSpec
{
    /// Opaque to the scheduler; sent to the workers.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of scheduled occurrences; 0 for a job that runs once, immediately.
    std::uint32_t repeatCount = 0;
    WallTime firstDue{};
    milliseconds interval{0};
};

/// An accepted job as it is stored.
struct JobRecord
{
    JobId id = 0;
    /// The queue's configuration at the time of submission; used if the operator removes the queue later.
    QueueConfig queue;
    WallTime submittedAt{};
    JobSpec spec;
    /// Name of the tenant that submitted the job; empty for none. It stays the same if the operator removes the tenant.
    std::string tenant;
    /// The tenant had exceeded its rate of submissions: the job waits behind all work within the rates.
    bool isExcess = false;
};

/// Describes the first error of the specification; empty if it is valid.
std::string findSpecProblem(const JobSpec &spec);

/// Tasks of the step that must find room at the same time: the members of a gang, or 1.
inline std::uint32_t tasksPlacedTogether(const StepSpec &step)
{
    return step.gang ? step.count : 1;
}

/// The resources that a task is charged for on its worker.
inline Resources chargedSize(const StepSpec &step)
{
    Resources size = step.size;
    if (step.usesIdleCpu) {
        size.cpuMilli = 0;
    }
    return size;
}

} // namespace wigeonkeel::dispatch
