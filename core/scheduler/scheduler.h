#pragma once

#include "core/action.h"
#include "core/cell/arrival_headroom.h"
#include "core/cell/cell_state.h"
#include "core/cell/preemption.h"
#include "core/cell/usage_table.h"
#include "core/cell/worker_health.h"
#include "core/clock.h"
#include "core/config/config_commands.h"
#include "core/config/config_table.h"
#include "core/event.h"
#include "core/protocol/forwarding.h"
#include "core/protocol/gangs.h"
#include "core/protocol/jobs.h"
#include "core/protocol/journal.h"
#include "core/protocol/member_records.h"
#include "core/protocol/membership.h"
#include "core/protocol/ownership.h"
#include "core/protocol/requests.h"
#include "core/protocol/sessions.h"
#include "core/routing/random.h"
#include "core/scheduler/config_spread.h"
#include "core/scheduler/counters.h"
#include "core/scheduler/gang_events.h"
#include "core/scheduler/lost_tasks.h"
#include "core/scheduler/offers.h"
#include "core/scheduler/operator_events.h"
#include "core/scheduler/placement.h"
#include "core/scheduler/request_audit.h"
#include "core/scheduler/task_updates.h"
#include "core/scheduler/worker_coverage.h"
#include "core/scheduler/worker_routes.h"

namespace wigeonkeel
{

/// Part of the scheduler that made a store call; kept in the top byte of the call's id, so that replies find their way.
enum class StorePart : std::uint8_t { Journal = 1, Sessions, Config, Members, Jobs };

/// How far a shutdown is with what requests have left behind.
struct RequestDrain
{
    /// When no request was left; the journal is flushed and the session closed from then on.
    MonotonicTime idleSince = MonotonicTime::max();
    /// Without the store's answers the daemon ends after this time and leaves its session open.
    milliseconds flushLimit{5000};
};

/// The top byte of the ids of a part's store calls.
constexpr std::uint64_t storeCallBase(StorePart part)
{
    return static_cast<std::uint64_t>(part) << 56;
}

/// All state that decisions are made on. One per daemon.
struct Scheduler
{
    MembershipTable membership;
    MemberRecord memberRecord;
    OwnershipTable ownership;
    CellState cell;
    RequestTable requests;
    JournalTable journal{.options = {.callIdBase = storeCallBase(StorePart::Journal)}};
    SessionTable sessions{.options = {.callIdBase = storeCallBase(StorePart::Sessions)}};
    ForwardTable forwards;
    RequestDrain requestDrain;
    RequestAudit requestAudit;
    JobTable jobs{.options = {.callIdBase = storeCallBase(StorePart::Jobs)}};
    LostTaskTable lostTasks;
    UnlistedWorkers unlisted;
    TaskUpdateQueue taskUpdates;
    PendingQueue pending;
    OfferTable offers;
    GangTable gangs;
    WorkerRoutes workerRoutes;
    ConfigSpread configSpread;
    ArrivalRates arrivals;
    PreemptionState preemption;
    HealthTable health;
    UsageTable usage;
    Counters counters;
    /// For jitter and sampling; seeded at the start.
    RandomState random;
    /// Operators' settings in force, and their commands under way.
    ConfigTable configTable;
    ConfigCommands configCommands;
    std::vector<InForceWait> inForceWaits;
    std::uint64_t nextStoreCall = 1;
    std::uint64_t nextExchange = 1;
    bool storeReachable = false;
    /// The watch has delivered its first listing.
    bool storeListed = false;
    bool draining = false;
};

/// Decides what to do about an event. No I/O; everything to be done is appended to the actions.
void step(Scheduler &scheduler, const Event &event, const Now &now, Actions &actions);

/// True if this daemon takes requests: it knows the other daemons and is not shutting down.
bool mayTakeRequests(const Scheduler &scheduler);

/// Id for a store call of a part.
std::uint64_t makeStoreCallId(Scheduler &scheduler, StorePart part);
StorePart partOf(std::uint64_t storeCallId);

} // namespace wigeonkeel
