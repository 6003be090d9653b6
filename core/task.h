#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

enum class TaskKind : std::uint8_t { Request, Service, Gang, Batch };
inline constexpr std::size_t taskKindCount = 4;

std::string_view toString(TaskKind kind);
std::optional<TaskKind> parseTaskKind(std::string_view text);

/// What is stored with a task on the worker, so that a new owner of the worker can account for it.
struct TaskLabel
{
    std::string operatorName;
    std::string team;
    std::string workload;
    /// Daemon that accepted the work and is told of its progress; if it is gone, the home of the partition is told.
    std::string home;
    TaskKind kind = TaskKind::Batch;
    /// Larger is more urgent, 0 to 9.
    std::uint8_t urgency = 0;
    bool idempotent = true;

    bool operator==(const TaskLabel &) const = default;
};

/// A task to place.
struct TaskSpec
{
    TaskId id;
    TaskLabel label;
    Resources size;
    /// Passed to the worker as it is.
    std::string payload;
    /// Declared run time; may be far from the truth.
    milliseconds declaredRunTime{0};
    /// The task is of no use to the caller when it starts later than this.
    MonotonicTime startBefore = MonotonicTime::max();
    /// When the task came into this daemon's queue.
    MonotonicTime queuedAt{};
    /// 1 for the first start, one more for each restart.
    std::uint32_t startCount = 1;
};

enum class TaskState : std::uint8_t { Running, Throttled, Checkpointed, Done, Failed, Stopped };

std::string_view toString(TaskState state);
std::optional<TaskState> parseTaskState(std::string_view text);

/// True for states in which the task holds its resources on the worker.
inline bool holdsResources(TaskState state)
{
    return state == TaskState::Running || state == TaskState::Throttled;
}

} // namespace wigeonkeel
