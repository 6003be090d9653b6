#pragma once

#include "core/dispatch/job_spec.h"
#include "core/dispatch/messages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wigeonkeel::dispatch
{

/// The end of a run as the rules see it: it counts once it is acknowledged, unless the worker's lease lapsed before.
struct HistoryEnd
{
    std::uint32_t attempt = 0;
    RunEnd end = RunEnd::Failed;
    std::uint64_t number = 0;
    /// Position in the order of all starts and ends.
    std::uint64_t order = 0;
    bool acknowledged = false;
};

struct HistoryStart
{
    std::uint32_t attempt = 0;
    std::uint64_t order = 0;
    std::string text;
};

/// Starts and ends of a task, or of all members of a gang's step.
struct HistoryUnit
{
    std::vector<HistoryStart> starts;
    std::vector<HistoryEnd> ends;
    bool reported = false;
};

/// What the clients of a job were told, and when.
struct HistoryJob
{
    std::optional<milliseconds> acceptedAt;
    std::optional<milliseconds> cancelledAt;
    /// The first ended state that a client was shown.
    std::optional<JobState> shownEnd;
    milliseconds shownEndAt{0};
};

/// When a client sent a call and when it was answered.
struct CallTimes
{
    milliseconds sentAt{0};
    milliseconds answeredAt{0};
};

using WorkerLife = std::pair<std::string, std::int64_t>;

/// What workers and clients have seen, for the rules that hold across leaders and crashes.
struct RunHistory
{
    std::map<TaskKey, HistoryUnit> units;
    /// Ends of each worker's incarnation that may still be acknowledged: the unit and its position in `ends`.
    std::map<WorkerLife, std::vector<std::pair<TaskKey, std::size_t>>> openEnds;
    std::set<JobId> shownDone;
    std::map<JobId, HistoryJob> jobs;
    std::uint64_t order = 0;
    std::uint32_t maxAttempts = 2;
};

/// Latest start of a task after the acknowledgement of its job's cancellation, by the platform's contract (cancel_ms).
inline constexpr milliseconds cancelLimit{3000};

/// The key under which starts and ends count: that of the task, or one for all members of a gang.
TaskKey historyUnit(const TaskKey &task, bool gang);

/// Each returns the rules that the event breaks; empty if it breaks none. `where` names the worker and the time.
std::vector<std::string> recordStart(
    RunHistory &history, const TaskKey &unit, std::uint32_t attempt, std::string_view where);
std::vector<std::string> recordAcknowledgement(
    RunHistory &history, const WorkerLife &life, std::uint64_t upTo, std::string_view where);
std::vector<std::string> recordShownDone(RunHistory &history, JobId job, const JobSpec &spec, std::string_view where);
/// The states of the clients' queries. A query that was sent before the end was shown may have an older answer.
std::vector<std::string> recordShownState(
    RunHistory &history, JobId job, JobState state, CallTimes times, std::string_view where);
/// A query was answered that the job doesn't exist. Ended jobs are known for `keptFor` after their end.
std::vector<std::string> checkNoSuchJob(
    const RunHistory &history, JobId job, CallTimes times, milliseconds keptFor, std::string_view where);
/// A task of the job starts. Not for orders that a worker carries out late: the time limit doesn't hold for them.
std::vector<std::string> checkStartTime(const RunHistory &history, JobId job, milliseconds at, std::string_view where);

void recordAccepted(RunHistory &history, JobId job, milliseconds at);
/// A client's cancellation of the job was acknowledged.
void recordCancelled(RunHistory &history, JobId job, milliseconds at);

void recordEnd(RunHistory &history, const TaskKey &unit, const EndedTask &ended, const WorkerLife &life);
/// The worker's lease expired or the worker crashed: its ends that are not acknowledged yet never count.
void recordLapse(RunHistory &history, const WorkerLife &life);

} // namespace wigeonkeel::dispatch
