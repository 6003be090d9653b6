#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/event.h"

#include <string>
#include <vector>

namespace wigeonkeel
{

struct Scheduler;

/// An operator who waits until a change is in force on every live daemon.
struct InForceWait
{
    OperatorReply reply;
    MonotonicTime deadline{};
};

void onOperatorEvent(Scheduler &scheduler, const OperatorEvent &event, const Now &now, Actions &actions);

/// The store's answer to a call of StorePart::Config.
void onConfigReply(Scheduler &scheduler, const StoreReply &reply, const Now &now, Actions &actions);

/// Takes over changed records below `w/config/`; other keys of the watch are passed over.
void onConfigWatch(Scheduler &scheduler, const StoreWatchUpdate &update, const Now &now, Actions &actions);

/// Repeats store calls that are due, and answers operators whose time is over.
void tickOperatorEvents(Scheduler &scheduler, const Now &now, Actions &actions);

/// Live daemons, this one included, that don't report a store revision of at least this.
std::vector<std::string> daemonsBehind(const Scheduler &scheduler, std::uint64_t revision);

} // namespace wigeonkeel
