#pragma once

#include "core/action.h"
#include "core/cell/admission.h"
#include "core/clock.h"
#include "core/event.h"
#include "core/protocol/requests.h"

#include <string_view>

namespace wigeonkeel
{

struct Scheduler;

/// Takes a submission from a caller or a peer: decided here if this daemon is the home, otherwise passed on.
void submitRequest(Scheduler &scheduler, const Submission &submission, const Waiter &waiter, std::uint32_t hops,
    const Now &now, Actions &actions);

/// Answers a submission that settings or limits forbid. A first attempt is told that it was not run. A later one gets
/// what is known of the earlier attempts, because one of them may have run before the settings changed.
void refuseSubmission(Scheduler &scheduler, const Submission &submission, const Waiter &waiter,
    const AdmissionDecision &decision, const Now &now, Actions &actions);

/// Answers a question about a request, or passes it on to its home.
void queryRequest(Scheduler &scheduler, std::string_view operatorName, std::string_view id, const Waiter &waiter,
    const Now &now, Actions &actions);

/// Cancels a request: taken back if it was not started, stopped if it runs.
void cancelRequest(Scheduler &scheduler, std::string_view operatorName, std::string_view id, const Waiter &waiter,
    const Now &now, Actions &actions);

void onForward(
    Scheduler &scheduler, std::string_view from, const ForwardMessage &message, const Now &now, Actions &actions);
void onForwardQuery(
    Scheduler &scheduler, std::string_view from, const ForwardQueryMessage &message, const Now &now, Actions &actions);
void onLookup(
    Scheduler &scheduler, std::string_view from, const LookupMessage &message, const Now &now, Actions &actions);
void onLookupReply(
    Scheduler &scheduler, std::string_view from, const LookupReplyMessage &message, const Now &now, Actions &actions);

/// Takes note of what an owner says about a request's task. Returns true if the owner may forget the task.
bool onRequestUpdate(Scheduler &scheduler, const TaskUpdateMessage &update, const Now &now, Actions &actions);

void onJournalStoreReply(Scheduler &scheduler, const StoreReply &reply, const Now &now, Actions &actions);
void onSessionsStoreReply(Scheduler &scheduler, const StoreReply &reply, const Now &now, Actions &actions);

/// Time limits of everything that concerns requests.
void tickRequests(Scheduler &scheduler, const Now &now, Actions &actions);

/// Flushes the journal and closes the session once nothing is in flight. True when that is done or given up.
bool drainRequests(Scheduler &scheduler, const Now &now, Actions &actions);

} // namespace wigeonkeel
