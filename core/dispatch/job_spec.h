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

    // clang-tidy 14 takes the compiler's comparison with 0 for a pointer.
    auto operator<=>(const StepKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/// A task of a step.
struct TaskKey
{
    StepKey step;
    std::uint32_t index = 0;

    auto operator<=>(const TaskKey &) const = default; // NOLINT(modernize-use-nullptr)

    template <typename H>
    // The name is prescribed by the library.
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
    /// What one task takes of its worker.
    Resources size;
    /// The client's guess of a task's run time; may be far off.
    milliseconds estimate{0};
    /// Earlier steps whose tasks must all be done before.
    std::vector<std::uint32_t> after;
    /// A worker must have this label; empty for none.
    std::string requiredLabel;
    /// Rack that holds the data; empty for none. Elsewhere a task takes longer.
    std::string dataRack;
    /// Most tasks of the step on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    bool checkpointed = false;
    /// The tasks work only while all of them run; they start under one attempt number and end together.
    bool gang = false;
    /// A gang that is slower on more than one rack.
    bool sameRack = false;
    /// Copies of a task may run beside each other.
    bool speculative = false;
    /// Tasks run until the job is cancelled.
    bool longRunning = false;
    /// Takes only processor time that others leave; its cpu is not charged to the worker.
    bool fillsIdle = false;
    /// Tasks of one image behave alike.
    std::string image;
    /// Bound of the tail of response times of a serving task; 0 for none.
    milliseconds tailTarget{0};
    /// Tasks that may be away at one time by the scheduler's own actions.
    std::uint32_t mayBeAway = 0;
};

struct JobSpec
{
    /// Opaque to the scheduler; handed to the workers.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Scheduled runs of all steps; 0 for a job that runs once, at once.
    std::uint32_t repeatCount = 0;
    WallTime firstDue{};
    milliseconds interval{0};
};

/// What the store keeps of an accepted job.
struct JobRecord
{
    JobId id = 0;
    /// The queue as it was configured at the submission; in force if the operator removes the queue later.
    QueueConfig queue;
    WallTime submittedAt{};
    JobSpec spec;
};

/// Empty if the steps can be run; else what is wrong with them.
std::string findSpecProblem(const JobSpec &spec);

/// The amounts that a task takes from its worker.
inline Resources chargedSize(const StepSpec &step)
{
    Resources size = step.size;
    if (step.fillsIdle) {
        size.cpuMilli = 0;
    }
    return size;
}

} // namespace wigeonkeel::dispatch
