#pragma once

#include "core/action.h"
#include "core/task.h"

#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

struct Scheduler;

/// Why a request or job is where it is.
struct Explanation
{
    /// False if this daemon does not know the id; its home may.
    bool known = false;
    /// Daemon that keeps the request or job.
    std::string home;
    /// "queued", "starting", "running" or "ended"; empty if not known.
    std::string state;
    /// No worker known here could hold the task even if it were empty.
    bool canNeverRun = false;
    /// Full sentences, the most important first.
    std::vector<std::string> reasons;
};

/// Explains a request or a job from what this daemon holds in memory. Reads only.
Explanation explainTask(const Scheduler &scheduler, std::string_view operatorName, std::string_view id, const Now &now);

/// Adds what the owned workers say about a task's size: how many could ever hold it, and how many have room now.
void explainSize(const Scheduler &scheduler, const TaskSpec &task, Explanation &explanation);

/// Adds how many tasks are ahead in the queue and which limit holds the task.
void explainQueue(const Scheduler &scheduler, const TaskSpec &task, Explanation &explanation);

/// Adds that capacity kept free for requests holds a batch task.
void explainHeadroom(const Scheduler &scheduler, const TaskSpec &task, const Now &now, Explanation &explanation);

/// Adds the placement policy of the task's operator and kind, and where it comes from.
void explainPolicy(const Scheduler &scheduler, const TaskLabel &label, Explanation &explanation);

/// Adds what the operator's settings say about a task: cancelled operator, unknown workload.
void explainSettings(const Scheduler &scheduler, const TaskLabel &label, Explanation &explanation);

} // namespace wigeonkeel
