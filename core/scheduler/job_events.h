#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/event.h"
#include "core/protocol/jobs.h"

#include <optional>
#include <string_view>

namespace wigeonkeel
{

struct Scheduler;

/// Takes a job whose home is here. It is accepted when its record is in the store.
void submitJobAtHome(
    Scheduler &scheduler, const Submission &submission, const Waiter &waiter, const Now &now, Actions &actions);

/// Answers somebody who asks about a job that is kept here. False if there is none.
bool joinKnownJob(Scheduler &scheduler, const RequestKey &key, const Waiter &waiter, Actions &actions);

/// Cancels a job that is kept here. False if there is none.
bool cancelJob(Scheduler &scheduler, const RequestKey &key, const Waiter &waiter, const Now &now, Actions &actions);

/// Takes note of what an owner says about a job's task. Returns whether the owner may forget the task; nothing if the
/// update may be about a request.
std::optional<bool> onJobUpdate(
    Scheduler &scheduler, const TaskUpdateMessage &update, const Now &now, Actions &actions);

void onJobStoreReply(Scheduler &scheduler, const StoreReply &reply, const Now &now, Actions &actions);

/// Answers a new home that asks which tasks of a job run here. False if no task of such a job is known here.
bool lookUpJob(
    Scheduler &scheduler, std::string_view from, const LookupMessage &message, const Now &now, Actions &actions);

/// False if the reply is not about a job that is kept here.
bool onJobLookupReply(Scheduler &scheduler, std::string_view from, const LookupReplyMessage &message, const Now &now);

/// Looks at the jobs that are due; bounded work.
void tickJobs(Scheduler &scheduler, const Now &now, Actions &actions);

/// Writes what is due. True when nothing is left to write or the time for it has passed; the next home takes over.
bool drainJobs(Scheduler &scheduler, const Now &now);

} // namespace wigeonkeel
