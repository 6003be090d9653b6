#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/worker_messages.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// How far this daemon is in holding a worker.
enum class OwnershipState : std::uint8_t {
    Unowned,
    /// The start of the owner task was sent and not answered.
    Acquiring,
    /// The owner task is held; waits for a full report.
    Rebuilding,
    /// Capacity of the worker may be committed.
    Owned,
    /// No new starts; the owner task is stopped when no command is outstanding.
    Releasing,
};

std::string_view toString(OwnershipState state);

/// Rules of the ownership protocol that tests switch off to show that a checker finds what they prevent.
struct OwnershipRules
{
    /// The lease of a start ends no later than the confirmed owner lease.
    bool leaseBoundsStart = true;
    /// Nothing is placed before a full report made under this lease was read.
    bool rebuildBeforePlace = true;
    /// The owner task is released only when no command is outstanding.
    bool releaseAfterDrain = true;
};

struct OwnershipOptions
{
    /// Daemon name and incarnation, as stored with the owner task.
    std::string holder;
    milliseconds lease{4000};
    milliseconds heartbeat{1000};
    /// Time of a request's lease beyond the owner lease.
    milliseconds requestLease{30000};
    /// Lease of services, batch and gang tasks; longer than a store outage.
    milliseconds taskLease{7200000};
    /// A start is not sent with less time than this left on the owner lease. Two heartbeats: the start's lease ends
    /// with the owner lease, and one renewal of the task may be lost.
    milliseconds startMargin{2000};
    /// Every worker is asked for a full report at least this often: a notice of a task's end can be lost with a change
    /// of owner, and the task would stay charged for ever.
    milliseconds fullReportInterval{20000};
    OwnershipRules rules;
};

/// What this daemon knows of one worker.
struct OwnedWorker
{
    VmEntry vm;
    OwnershipState state = OwnershipState::Unowned;
    /// This daemon should hold the worker, by rendezvous hashing over the live daemons.
    bool preferred = false;
    bool clockKnown = false;
    WorkerTime clockSample{};
    MonotonicTime sampledAt{};
    std::uint64_t boot = 0;
    std::uint64_t lastSequence = 0;
    /// The last report was made before one that arrived earlier; a task that it doesn't list may have started since.
    bool lastReportOutdated = false;
    /// End of the owner lease as the worker confirmed it.
    WorkerTime confirmedUntil{};
    /// The worker's clock in the report that confirmed the acquisition; an older full report is not used.
    WorkerTime acquiredAt{};
    /// Since when this daemon has the worker without a gap.
    MonotonicTime heldSince{};
    MonotonicTime nextExchange{};
    /// When the leases of requests, and those of all other tasks, are renewed next; the epoch for the next exchange.
    MonotonicTime nextRequestRenewal{};
    MonotonicTime nextLongRenewal{};
    bool exchangeUnderWay = false;
    bool fullReportNeeded = true;
    MonotonicTime nextFullReport{};
    /// Starts whose exchange failed may still take effect until the worker's clock shows this.
    WorkerTime unsettledUntil{};
    /// Present holder as the worker last named it, if not this daemon.
    std::string otherHolder;
    /// Commands for the next exchange.
    std::vector<WorkerCommand> queue;
    std::uint32_t failures = 0;
};

struct OwnershipTable
{
    OwnershipOptions options;
    std::map<std::string, OwnedWorker, std::less<>> workers;
    std::uint64_t nextSequence = 1;
    bool draining = false;
};

/// A change that the caller must carry to the cell.
enum class OwnershipChange : std::uint8_t { None, Acquired, Lost };

/// Takes over the rows of the VM list. Returns workers that are no longer listed and were taken out.
std::vector<OwnedWorker> updateVmList(OwnershipTable &table, std::span<const VmEntry> vms, Actions &actions);

/// Says whether this daemon should hold the worker.
void setPreferred(OwnershipTable &table, std::string_view worker, bool preferred);

/// Takes note of a report. Acquired: the report is full and the cell must be rebuilt from it.
OwnershipChange onReport(OwnershipTable &table, const WorkerReport &report, const Now &now, Actions &actions);

/// Takes note of an exchange without answer. Queued commands stay queued; the failed ones are not sent again.
OwnershipChange onExchangeFailed(
    OwnershipTable &table, const WorkerExchangeFailed &failure, const Now &now, Actions &actions);

/// Sends due exchanges and ends leases that have run out. Returns the workers whose hold ended.
std::vector<std::string> tickOwnership(OwnershipTable &table, const Now &now, Actions &actions);

/// True if a start may be sent to the worker now.
bool mayStart(const OwnershipTable &table, std::string_view worker, const Now &now);

/// Queues a command and sends it unless an exchange is under way. Returns its sequence, or 0 if the worker is unknown
/// or (for a start) may not be given work. The lease of a start is set here.
std::uint64_t sendCommand(
    OwnershipTable &table, std::string_view worker, WorkerCommand command, const Now &now, Actions &actions);

/// What the worker's clock shows now, by the last sample.
WorkerTime workerClockEstimate(const OwnedWorker &worker, MonotonicTime now);
/// A time that the worker's clock has surely reached, with 1% allowed for drift.
WorkerTime workerClockLowerBound(const OwnedWorker &worker, MonotonicTime now);

/// Number of workers in the state Owned.
std::uint32_t ownedCount(const OwnershipTable &table);

} // namespace wigeonkeel
