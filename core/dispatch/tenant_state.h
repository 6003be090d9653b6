#pragma once

#include "core/dispatch/dispatcher.h"

#include <optional>
#include <string>

namespace wigeonkeel::dispatch
{

/// Describes why the job can't run within its tenant's cap: a task or a whole gang is larger. Empty if it can.
std::string findCapProblem(const TenantState &tenant, const JobSpec &spec);

/// Takes the submission from the tenant's rate and marks the record if the rate is exceeded. Returns the time after
/// which the client may try again if the job has to be rejected: the pool is full, and the tenant's jobs beyond its
/// rate that wait already would take longer than clients wait.
std::optional<milliseconds> applySubmissionRate(Dispatcher &dispatcher, JobRecord &record, MonotonicTime now);

/// Takes a job that was inherited from a former leader from the tenant's rate.
void countInheritedSubmission(Dispatcher &dispatcher, const Job &job, MonotonicTime now);

/// Number of further tasks of the step that the cap of its tenant allows, at most `limit`. Until the records of ended
/// jobs are read, a tenant with a cap may start nothing: its former leader may have been stopping runs.
std::uint32_t startsWithinCap(const Dispatcher &dispatcher, const Job &job, const StepSpec &spec, std::uint32_t limit);

/// Whether the cap of its tenant lets nothing of the step start, or not the whole gang. Places that the step has
/// reserved count as within the cap.
bool isHeldByCap(const Dispatcher &dispatcher, const Job &job, const StepSpec &spec, const StepRun &step);

/// Until the discovery of runs has finished: counts the tasks of inherited jobs that may run and were not found yet.
void countRunsNotFound(Dispatcher &dispatcher);

/// Goes on counting the tasks of an inherited job that may run and were not found yet, when the job ends before the
/// discovery of runs has finished.
void countRunsNotFoundAtEnd(Dispatcher &dispatcher, const Job &job);

/// Counts what a former leader was stopping of an ended job.
void countStoppingRuns(Dispatcher &dispatcher, JobId id, TenantSlot tenant, const Resources &size);

/// Stops counting runs of ended jobs once no worker can have one.
void releaseStoppedRuns(Dispatcher &dispatcher);

/// Sizes of all runs of the job that are charged to its tenant, also of those that were not found before its end.
Resources chargedRuns(const Dispatcher &dispatcher, const Job &job);

/// Logs when a cap begins or ceases to hold steps of a tenant back. `held` has an entry for each slot.
void updateHeldTenants(Dispatcher &dispatcher, const std::vector<bool> &held);

} // namespace wigeonkeel::dispatch
