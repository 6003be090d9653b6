#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/protocol/journal.h"
#include "core/protocol/requests.h"

#include <cstdint>
#include <string>

namespace wigeonkeel
{

struct Scheduler;

/// Takes the first step of a request that was just admitted.
void beginRequest(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions);

/// Takes the steps that are possible now for a request that is checked, looked up or recorded.
void advanceRequest(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions);

/// Sends what is due in the key's journal partition and acts on what the journal says.
void pumpRequestJournal(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions);

/// Acts on what the journal says.
void onJournalNotices(Scheduler &scheduler, const JournalNotices &notices, const Now &now, Actions &actions);

/// Hands an ended request to the journal, unless that has it or doesn't need it.
void saveOutcome(Scheduler &scheduler, const RequestKey &key, const Now &now);

/// False if a queued idempotent request may have been started by another home since it was known to run nowhere: this
/// daemon may have counted as dead, so that it was not asked.
bool isCleared(const Scheduler &scheduler, const TaskSpec &task, const Now &now);

/// Looks for the task of a queued request before it is started.
void searchAgain(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions);

/// Queues what is to be started again.
void restartRequests(Scheduler &scheduler, const Now &now, Actions &actions);

/// Moves everybody who waits for a request to the peer that knows it, and forgets it here.
void followPeer(Scheduler &scheduler, const RequestKey &key, std::string_view peer, const Now &now, Actions &actions);

/// A live peer that may take a request in this daemon's place; empty if there is none.
std::string otherDaemon(const Scheduler &scheduler, std::uint32_t partition);

} // namespace wigeonkeel
