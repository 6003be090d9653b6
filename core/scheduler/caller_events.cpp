#include "core/scheduler/caller_events.h"

#include "core/scheduler/request_events.h"
#include "core/scheduler/scheduler.h"
#include "core/scheduler/submission_settings.h"

namespace wigeonkeel
{

void onSubmit(Scheduler &scheduler, const SubmitEvent &event, const Now &now, Actions &actions)
{
    ++scheduler.counters.requestsSubmitted;
    const Waiter waiter{.caller = event.caller, .wait = event.wait};
    Submission submission = event.submission;
    const std::string forbidden = applySettings(scheduler.configTable, event.given, submission);
    if (!forbidden.empty()) {
        refuseSubmission(scheduler, submission, waiter, {.reason = forbidden}, now, actions);
        return;
    }
    // Requests and jobs take the same way to their home, which decides by kind.
    submitRequest(scheduler, submission, waiter, 0, now, actions);
}

void onQuery(Scheduler &scheduler, const QueryEvent &event, const Now &now, Actions &actions)
{
    queryRequest(scheduler, event.operatorName, event.id, {.caller = event.caller, .wait = event.wait}, now, actions);
}

void onCancel(Scheduler &scheduler, const CancelEvent &event, const Now &now, Actions &actions)
{
    cancelRequest(scheduler, event.operatorName, event.id, {.caller = event.caller, .wait = false}, now, actions);
}

void onCallerGone(Scheduler &scheduler, const CallerGoneEvent &event, const Now &, Actions &)
{
    dropCaller(scheduler.requests, event.caller);
    dropCaller(scheduler.forwards, event.caller);
    dropCaller(scheduler.jobs, event.caller);
}

} // namespace wigeonkeel
