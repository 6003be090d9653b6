#include "core/protocol/ownership.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "ownership";
constexpr std::uint32_t driftPerMille = 10;
constexpr milliseconds maxRetryDelay{2000};
/// Several tries fit into one lease, so that a lost renewal ends nothing.
constexpr int renewalsPerLease = 4;
constexpr std::array<std::string_view, 5> stateNames = {"unowned", "acquiring", "rebuilding", "owned", "releasing"};

bool holdsLease(const OwnedWorker &worker)
{
    return worker.state == OwnershipState::Rebuilding || worker.state == OwnershipState::Owned
        || worker.state == OwnershipState::Releasing;
}

void log(Actions &actions, LogLevel level, std::string text)
{
    actions.push_back(LogAction{.level = level, .part = logPart, .text = std::move(text)});
}

void endHold(OwnedWorker &worker, std::string_view why, Actions &actions)
{
    log(actions, LogLevel::Info, fmt::format("worker {} is no longer held: {}", worker.vm.name, why));
    worker.state = OwnershipState::Unowned;
    worker.fullReportNeeded = true;
    worker.queue.clear();
}

WorkerCommand makeOwnerCommand(
    const OwnershipTable &table, CommandKind kind, const OwnedWorker &worker, MonotonicTime now)
{
    return {.kind = kind,
        .task = ownerTaskId,
        .leaseUntil = workerClockEstimate(worker, now) + table.options.lease,
        .holder = table.options.holder,
        .label = {},
        .size = {},
        .payload = {}};
}

WorkerCommand makeRenewAll(const OwnershipTable &table, TaskKind kind, WorkerTime leaseUntil)
{
    WorkerCommand command{.kind = CommandKind::RenewAll, .leaseUntil = leaseUntil, .holder = table.options.holder};
    command.label.kind = kind;
    return command;
}

void addRenewals(const OwnershipTable &table, OwnedWorker &worker, const Now &now, std::vector<WorkerCommand> &commands)
{
    commands.push_back(makeOwnerCommand(table, CommandKind::Renew, worker, now.monotonic));
    // A start without an answer may take effect after any of the renewals.
    const bool unsettled = workerClockLowerBound(worker, now.monotonic) <= worker.unsettledUntil;
    if (unsettled || now.monotonic >= worker.nextRequestRenewal) {
        const milliseconds lease = table.options.lease + table.options.requestLease;
        commands.push_back(makeRenewAll(table, TaskKind::Request, workerClockEstimate(worker, now.monotonic) + lease));
        worker.nextRequestRenewal = now.monotonic + table.options.requestLease / renewalsPerLease;
    }
    if (unsettled || now.monotonic >= worker.nextLongRenewal) {
        const milliseconds lease = table.options.taskLease;
        commands.push_back(makeRenewAll(table, TaskKind::Batch, workerClockEstimate(worker, now.monotonic) + lease));
        worker.nextLongRenewal = now.monotonic + lease / renewalsPerLease;
    }
}

/// A start has a short lease and comes after the renewals of its exchange; the next exchange must lengthen it.
void renewAfterStarts(OwnedWorker &worker)
{
    for (const WorkerCommand &command : worker.queue) {
        if (command.kind == CommandKind::Start) {
            const bool isRequest = command.label.kind == TaskKind::Request;
            (isRequest ? worker.nextRequestRenewal : worker.nextLongRenewal) = {};
        }
    }
}

/// A start that was sent and not answered counts as outstanding until its lease has passed: the next owner must not
/// rebuild its account before that.
bool hasOutstandingWork(const OwnedWorker &worker, MonotonicTime now)
{
    return worker.exchangeUnderWay || !worker.queue.empty()
        || workerClockLowerBound(worker, now) <= worker.unsettledUntil;
}

void sendExchange(OwnershipTable &table, OwnedWorker &worker, const Now &now, Actions &actions)
{
    SendToWorker exchange{.worker = worker.vm.name, .address = worker.vm.address, .port = worker.vm.port};
    if (worker.clockKnown) {
        if (holdsLease(worker)) {
            addRenewals(table, worker, now, exchange.commands);
        } else if (worker.preferred && !table.draining) {
            exchange.commands.push_back(makeOwnerCommand(table, CommandKind::Start, worker, now.monotonic));
            worker.state = OwnershipState::Acquiring;
        }
    }
    renewAfterStarts(worker);
    std::ranges::move(worker.queue, std::back_inserter(exchange.commands));
    worker.queue.clear();
    if (now.monotonic >= worker.nextFullReport) {
        worker.fullReportNeeded = true;
        worker.nextFullReport = now.monotonic + table.options.fullReportInterval;
    }
    exchange.fullReport = worker.fullReportNeeded;
    worker.exchangeUnderWay = true;
    worker.nextExchange = now.monotonic + table.options.heartbeat;
    actions.push_back(std::move(exchange));
}

void sendRelease(OwnershipTable &table, OwnedWorker &worker, const Now &now, Actions &actions)
{
    SendToWorker exchange{.worker = worker.vm.name, .address = worker.vm.address, .port = worker.vm.port};
    exchange.commands.push_back(makeOwnerCommand(table, CommandKind::Stop, worker, now.monotonic));
    worker.exchangeUnderWay = true;
    actions.push_back(std::move(exchange));
    endHold(worker, "released", actions);
}

/// Handles the results that concern the owner task; other results belong to the cell.
void applyOwnerResult(OwnershipTable &table, OwnedWorker &worker, const CommandResult &result,
    const WorkerReport &report, Actions &actions)
{
    const bool mine = result.holder == table.options.holder;
    if (result.status == CommandStatus::NotHolder || (result.status == CommandStatus::Exists && !mine)) {
        worker.otherHolder = result.holder;
        if (holdsLease(worker)) {
            endHold(worker, fmt::format("held by {}", result.holder), actions);
        }
        worker.state = OwnershipState::Unowned;
        return;
    }
    if (result.status == CommandStatus::NotFound || result.status == CommandStatus::Late) {
        if (holdsLease(worker)) {
            endHold(worker, "the owner lease has lapsed", actions);
        }
        worker.state = OwnershipState::Unowned;
        return;
    }
    if (result.status == CommandStatus::Renewed && holdsLease(worker)) {
        worker.confirmedUntil = std::max(worker.confirmedUntil, result.leaseUntil);
        return;
    }
    const bool started = result.status == CommandStatus::Started || (result.status == CommandStatus::Exists && mine);
    if (started && worker.state == OwnershipState::Acquiring) {
        worker.state = OwnershipState::Rebuilding;
        worker.confirmedUntil = result.leaseUntil;
        worker.acquiredAt = report.clock;
        worker.fullReportNeeded = true;
        worker.otherHolder.clear();
        worker.nextRequestRenewal = {};
        worker.nextLongRenewal = {};
    }
}

} // namespace

std::string_view toString(OwnershipState state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

WorkerTime workerClockEstimate(const OwnedWorker &worker, MonotonicTime now)
{
    return worker.clockSample + std::chrono::duration_cast<milliseconds>(now - worker.sampledAt);
}

WorkerTime workerClockLowerBound(const OwnedWorker &worker, MonotonicTime now)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - worker.sampledAt);
    return worker.clockSample + elapsed - elapsed * driftPerMille / 1000;
}

std::vector<OwnedWorker> updateVmList(OwnershipTable &table, std::span<const VmEntry> vms, Actions &actions)
{
    std::map<std::string_view, const VmEntry *> listed;
    for (const VmEntry &vm : vms) {
        listed.emplace(vm.name, &vm);
        auto [worker, added] = table.workers.try_emplace(vm.name);
        worker->second.vm = vm;
    }
    std::vector<OwnedWorker> removed;
    for (auto worker = table.workers.begin(); worker != table.workers.end();) {
        if (listed.contains(worker->first)) {
            ++worker;
            continue;
        }
        actions.push_back(ForgetWorker{.worker = worker->first});
        removed.push_back(std::move(worker->second));
        worker = table.workers.erase(worker);
    }
    return removed;
}

void setPreferred(OwnershipTable &table, std::string_view worker, bool preferred)
{
    const auto found = table.workers.find(worker);
    if (found != table.workers.end()) {
        found->second.preferred = preferred;
    }
}

namespace
{

/// A restart of the worker ends the owner lease before its time, so that starts which this daemon sent before and that
/// got no answer may still take effect under its next lease. No such start has a lease beyond one from now.
bool areStartsSettled(const OwnershipTable &table, const OwnedWorker &worker, WorkerTime clock)
{
    return clock > worker.unsettledUntil || clock > worker.acquiredAt + table.options.lease;
}

OwnershipChange applyReport(
    OwnershipTable &table, OwnedWorker &worker, const WorkerReport &report, const Now &now, Actions &actions)
{
    const bool wasOwned = worker.state == OwnershipState::Owned || worker.state == OwnershipState::Releasing;
    worker.failures = 0;
    if (worker.clockKnown && report.boot != worker.boot) {
        if (holdsLease(worker)) {
            endHold(worker, "the worker was restarted", actions);
        }
        worker.state = OwnershipState::Unowned;
        worker.lastSequence = 0;
    }
    const bool firstReport = !worker.clockKnown;
    if (firstReport || report.boot != worker.boot || report.clock > worker.clockSample) {
        worker.clockSample = report.clock;
        worker.sampledAt = report.receivedAt;
    }
    // Notices of changes and answers to exchanges come on two connections. What an older report says of tasks may be
    // outdated, and the newer one is not repeated; a full report settles it.
    const bool outdated = !firstReport && report.boot == worker.boot && report.sequence < worker.lastSequence;
    worker.lastReportOutdated = outdated;
    worker.boot = report.boot;
    worker.clockKnown = true;
    worker.lastSequence = std::max(worker.lastSequence, report.sequence);
    if (report.answersExchange) {
        worker.exchangeUnderWay = false;
    }
    for (const CommandResult &result : report.results) {
        if (result.task == ownerTaskId) {
            applyOwnerResult(table, worker, result, report, actions);
        }
    }
    if (firstReport && worker.preferred) {
        worker.nextExchange = now.monotonic;
    }
    const bool fresh
        = report.clock >= worker.acquiredAt && report.full && areStartsSettled(table, worker, report.clock);
    if (worker.state == OwnershipState::Rebuilding && (fresh || !table.options.rules.rebuildBeforePlace)) {
        worker.state = OwnershipState::Owned;
        worker.heldSince = now.monotonic;
        worker.fullReportNeeded = outdated;
        log(actions, LogLevel::Info, fmt::format("worker {} is held", worker.vm.name));
        return OwnershipChange::Acquired;
    }
    if (wasOwned && worker.state == OwnershipState::Unowned) {
        return OwnershipChange::Lost;
    }
    if (outdated) {
        worker.fullReportNeeded = true;
    } else if (worker.state == OwnershipState::Owned && report.full) {
        // A start without an answer is settled only by a full report made after its lease.
        worker.fullReportNeeded = report.clock <= worker.unsettledUntil;
    }
    return OwnershipChange::None;
}

} // namespace

OwnershipChange onReport(OwnershipTable &table, const WorkerReport &report, const Now &now, Actions &actions)
{
    const auto found = table.workers.find(report.worker);
    if (found == table.workers.end()) {
        return OwnershipChange::None;
    }
    OwnedWorker &worker = found->second;
    const OwnershipChange change = applyReport(table, worker, report, now, actions);
    const bool rebuilds
        = worker.state == OwnershipState::Rebuilding && areStartsSettled(table, worker, worker.clockSample);
    const bool waiting = !worker.queue.empty() || rebuilds;
    if (report.answersExchange && waiting && !worker.exchangeUnderWay) {
        sendExchange(table, worker, now, actions);
    }
    return change;
}

OwnershipChange onExchangeFailed(OwnershipTable &table, const WorkerExchangeFailed &failure, const Now &now, Actions &)
{
    const auto found = table.workers.find(failure.worker);
    if (found == table.workers.end()) {
        return OwnershipChange::None;
    }
    OwnedWorker &worker = found->second;
    worker.exchangeUnderWay = false;
    worker.fullReportNeeded = true;
    // The renewals of the exchange may be lost with it.
    worker.nextRequestRenewal = {};
    worker.nextLongRenewal = {};
    ++worker.failures;
    for (const WorkerCommand &command : failure.commands) {
        if (command.kind == CommandKind::Start && command.task != ownerTaskId) {
            worker.unsettledUntil = std::max(worker.unsettledUntil, command.leaseUntil);
        }
    }
    const auto delay = std::min<milliseconds>(table.options.heartbeat * worker.failures / 4, maxRetryDelay);
    worker.nextExchange = now.monotonic + delay;
    if (worker.state == OwnershipState::Acquiring) {
        // The start may have taken effect; the next attempt is then answered Exists with this daemon as holder.
        worker.state = OwnershipState::Unowned;
    }
    return OwnershipChange::None;
}

std::vector<std::string> tickOwnership(OwnershipTable &table, const Now &now, Actions &actions)
{
    std::vector<std::string> lost;
    for (auto &[name, worker] : table.workers) {
        if (holdsLease(worker) && workerClockEstimate(worker, now.monotonic) >= worker.confirmedUntil) {
            if (worker.state != OwnershipState::Rebuilding) {
                lost.push_back(name);
            }
            endHold(worker, "the owner lease was not renewed in time", actions);
        }
        const bool unwanted = !worker.preferred || table.draining;
        if (unwanted && (worker.state == OwnershipState::Owned || worker.state == OwnershipState::Rebuilding)) {
            worker.state = OwnershipState::Releasing;
        }
        if (worker.state == OwnershipState::Releasing
            && (!hasOutstandingWork(worker, now.monotonic) || !table.options.rules.releaseAfterDrain)) {
            lost.push_back(name);
            sendRelease(table, worker, now, actions);
            continue;
        }
        const bool interested = worker.preferred || holdsLease(worker) || !worker.queue.empty();
        if (interested && !worker.exchangeUnderWay && now.monotonic >= worker.nextExchange) {
            sendExchange(table, worker, now, actions);
        }
    }
    return lost;
}

bool mayStart(const OwnershipTable &table, std::string_view worker, const Now &now)
{
    const auto found = table.workers.find(worker);
    if (found == table.workers.end() || found->second.state != OwnershipState::Owned
        || found->second.vm.state == VmState::Leaving) {
        return false;
    }
    const OwnedWorker &entry = found->second;
    return workerClockEstimate(entry, now.monotonic) + table.options.startMargin < entry.confirmedUntil;
}

std::uint64_t sendCommand(
    OwnershipTable &table, std::string_view worker, WorkerCommand command, const Now &now, Actions &actions)
{
    const auto found = table.workers.find(worker);
    if (found == table.workers.end()) {
        return 0;
    }
    OwnedWorker &entry = found->second;
    if (command.kind == CommandKind::Start) {
        if (!mayStart(table, worker, now)) {
            return 0;
        }
        command.leaseUntil = table.options.rules.leaseBoundsStart
            ? entry.confirmedUntil
            : workerClockEstimate(entry, now.monotonic) + table.options.taskLease;
    }
    command.sequence = table.nextSequence++;
    command.holder = table.options.holder;
    const std::uint64_t sequence = command.sequence;
    entry.queue.push_back(std::move(command));
    if (!entry.exchangeUnderWay) {
        sendExchange(table, entry, now, actions);
    }
    return sequence;
}

std::uint32_t ownedCount(const OwnershipTable &table)
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        table.workers, [](const auto &entry) { return entry.second.state == OwnershipState::Owned; }));
}

} // namespace wigeonkeel
