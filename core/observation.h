#pragma once

#include "core/task.h"

#include <chrono>

namespace wigeonkeel
{

/// Durations that a daemon observes; the metrics page shows each as a histogram.
enum class ObservationKind : std::uint8_t {
    /// From a request's admission at its home daemon until its first start command was sent to a worker.
    RequestStart,
    /// From a task's arrival in this daemon's queue until its start command was sent.
    QueueWait,
    /// Processing of one event: the decision and its actions.
    Step,
};
inline constexpr std::size_t observationKindCount = 3;

/// One observed duration.
struct ObserveAction
{
    ObservationKind kind = ObservationKind::Step;
    /// Kind of the task; not used for `Step`.
    TaskKind taskKind = TaskKind::Request;
    std::chrono::nanoseconds duration{0};
};

} // namespace wigeonkeel
