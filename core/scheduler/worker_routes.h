#pragma once

#include "core/clock.h"
#include "core/event.h"
#include "core/routing/route.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace wigeonkeel
{

struct Scheduler;

/// What was learned about exchanges with workers, and which workers are leaving.
struct WorkerRoutes
{
    std::map<std::string, Route, std::less<>> routes;
    /// Average over the exchanges with all owned workers.
    LatencyAverage latencyOfAll;
    /// Leaving by the VM list of this daemon.
    std::set<std::string, std::less<>> leaving;
    /// Leaving by the last heartbeat of a live peer.
    std::set<std::string, std::less<>> leavingByPeers;
    /// Excluded for failures, but may be given one task as a probe now.
    std::set<std::string, std::less<>> probing;
    /// The owner lease is too short for a start; waits for its renewal.
    std::set<std::string, std::less<>> suspended;
};

/// Sets whether tasks may be placed on an owned worker: it is not leaving by the VM list or a peer's heartbeat, its
/// breaker is closed, it is not far slower than the others, it is not excluded for failing tasks (or may be probed),
/// and its owner lease is long enough for a start. The only place that combines these reasons.
void refreshPlaceable(Scheduler &scheduler, std::string_view worker);

/// Takes note of an exchange that was answered or failed.
void noteExchange(Scheduler &scheduler, const WorkerReport &report);
void noteExchangeFailure(Scheduler &scheduler, const WorkerExchangeFailed &failure, const Now &now);

/// Takes over which workers are leaving, after a VM list or a heartbeat.
void noteVmList(Scheduler &scheduler, const VmListUpdate &update);
void noteLeavingByPeers(Scheduler &scheduler);

} // namespace wigeonkeel
