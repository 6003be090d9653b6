#include "tests/dispatch/dispatch_world.h"

#include "core/dispatch/records.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr milliseconds networkDelay{2};
constexpr milliseconds storeDelay{4};
constexpr milliseconds tickInterval{10};
/// Timeout of calls that get no answer.
constexpr milliseconds callTimeout{700};
constexpr milliseconds workStep{10};
constexpr milliseconds adviceValidity{1500};
/// Part of an advice request's timeout that exceeds the adviser's expected time.
constexpr milliseconds adviceSlack{500};
/// Transfer time of a large configuration over the link of a small VM.
constexpr milliseconds slowTransfer{900};
/// Most ends in one reply to a renewal, by the platform's contract.
constexpr std::size_t maxListedEnds = 500;

Resources totalSize(std::span<const WorldRun> runs)
{
    Resources sum;
    for (const WorldRun &run : runs) {
        sum += run.size;
    }
    return sum;
}

} // namespace

StepSpec stepOf(std::uint32_t count, std::int64_t cpuMilli, milliseconds estimate)
{
    return {.count = count, .size = {.cpuMilli = cpuMilli, .memoryMib = 100}, .estimate = estimate};
}

World::World(std::size_t nodeCount, std::size_t workerCount, std::uint64_t seed)
    : random{.value = seed}
{
    configuration = {.version = 1,
        .queues
        = {{.name = "urgent", .host = "h", .pathPrefix = "/u/", .pool = "pool", .priority = 0, .maxAttempts = 2},
            {.name = "batch", .host = "h", .pathPrefix = "/b/", .pool = "pool", .priority = 2, .maxAttempts = 2}},
        .pools = {{.name = "pool"}}};
    indexQueues(configuration);
    actualRun = [this](const TaskKey &task, std::uint32_t) {
        const Node *leading = leader();
        milliseconds work{300};
        if (leading != nullptr && leading->dispatcher) {
            const auto found = leading->dispatcher->jobs.live.find(task.step.job);
            if (found != leading->dispatcher->jobs.live.end()) {
                work = found->second->record.spec.steps[task.step.step].estimate;
            }
        }
        return WorldRun{.work = work};
    };
    for (std::size_t i = 0; i < workerCount; ++i) {
        WorldWorker worker;
        worker.entry = {.id = fmt::format("w{}", i),
            .endpoint = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(i + 1)},
            .pool = "pool",
            .zone = "z",
            .incarnation = 1,
            .capacity = {.cpuMilli = 4000, .memoryMib = 8000},
            .labels = {"a", fmt::format("r{}", i / 4)},
            .rack = fmt::format("r{}", i / 4)};
        workers.push_back(std::move(worker));
    }
    for (std::size_t i = 0; i < nodeCount; ++i) {
        nodes.emplace_back();
        nodes.back().up = false;
        restart(i);
    }
}

Now World::now() const
{
    return {.monotonic = MonotonicTime(time), .wall = WallTime(time)};
}

void World::after(milliseconds delay, std::function<void()> act)
{
    m_events.push({.at = time + delay, .order = m_order++, .act = std::move(act)});
}

void World::restart(std::size_t node)
{
    WorldNode &target = nodes[node];
    target.up = true;
    target.node = std::make_unique<Node>();
    target.node->options = {.name = fmt::format("n{}", node),
        .endpoint = {.ip = "10.1.0.1", .port = static_cast<std::uint16_t>(node + 1)},
        .cpuMilli = 500,
        .bounds = {}};
    target.node->random.value = nextRandom(random);
    target.node->outbox.nextCall = nextRandom(random) >> 8;
    target.connected = false;
    target.dialled.reset();
}

void World::kill(std::size_t node)
{
    disconnect(node);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (i != node && nodes[i].up && nodes[i].connected && nodes[i].connectedTo == nodes[node].node->options.name) {
            nodes[i].connected = false;
            handleNodeDisconnected(*nodes[i].node, nodes[node].node->options.name, now());
            handleDialFailure(*nodes[i].node, *nodes[i].dialled, true, now());
        }
    }
    nodes[node].up = false;
    nodes[node].node.reset();
}

void World::cutPower(std::size_t node)
{
    nodes[node].up = false;
    nodes[node].node.reset();
}

void World::disconnect(std::size_t node)
{
    WorldNode &from = nodes[node];
    if (!from.connected) {
        return;
    }
    from.connected = false;
    const auto to = nodeAt(*from.dialled);
    // A daemon counts as disconnected with its last connection; the other daemon may have connected too.
    const bool hasOther = to && nodes[*to].connected && nodes[*to].connectedTo == from.node->options.name;
    if (to && nodes[*to].up && !hasOther) {
        handleNodeDisconnected(*nodes[*to].node, from.node->options.name, now());
    }
}

void World::crashWorker(std::size_t worker)
{
    workers[worker].up = false;
    workers[worker].runs.clear();
    workers[worker].ends.clear();
    workers[worker].waitingRenewals.clear();
}

void World::restartWorker(std::size_t worker)
{
    WorldWorker &target = workers[worker];
    const WorkerEntry entry = target.entry;
    target = {};
    target.entry = entry;
    ++target.entry.incarnation;
}

std::optional<std::size_t> World::nodeAt(const Endpoint &endpoint) const
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (nodes[i].up && nodes[i].node->options.endpoint == endpoint) {
            return i;
        }
    }
    return std::nullopt;
}

bool World::isRefused(std::size_t node) const
{
    return store.down || store.refusedNodes.contains(node);
}

std::size_t World::workerIndex(std::string_view id) const
{
    const auto found = std::ranges::find(workers, id, [](const WorldWorker &worker) { return worker.entry.id; });
    return static_cast<std::size_t>(found - workers.begin());
}

Node *World::leader()
{
    const std::size_t index = leaderIndex();
    return index == nodes.size() ? nullptr : nodes[index].node.get();
}

std::size_t World::leaderIndex() const
{
    std::size_t best = nodes.size();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const bool leads = nodes[i].up && isLeading(*nodes[i].node);
        if (leads
            && (best == nodes.size()
                || nodes[i].node->leadership.leader.token > nodes[best].node->leadership.leader.token)) {
            best = i;
        }
    }
    return best;
}

void World::connectNodes(std::size_t from, const Endpoint &endpoint)
{
    disconnect(from);
    nodes[from].dialled = endpoint;
    if (endpoint.ip.empty()) {
        return;
    }
    after(networkDelay, [this, from, endpoint] {
        if (!nodes[from].up || nodes[from].dialled != endpoint) {
            return;
        }
        const auto to = nodeAt(endpoint);
        if (!to) {
            handleDialFailure(*nodes[from].node, endpoint, true, now());
            return;
        }
        nodes[from].connected = true;
        nodes[from].connectedTo = nodes[*to].node->options.name;
        handleNodeConnected(*nodes[from].node, nodes[*to].node->options.name, now());
        handleNodeConnected(*nodes[*to].node, nodes[from].node->options.name, now());
    });
}

void World::reply(std::size_t node, std::function<void(Node &, Now)> handle)
{
    if (!nodes[node].up) {
        return;
    }
    const Node *caller = nodes[node].node.get();
    after(networkDelay, [this, node, caller, handle = std::move(handle)] { deliver(node, caller, handle); });
}

void World::deliver(std::size_t node, const Node *caller, std::function<void(Node &, Now)> handle)
{
    if (!nodes[node].up || nodes[node].node.get() != caller) {
        return;
    }
    if (nodes[node].paused) {
        after(networkDelay, [this, node, caller, handle = std::move(handle)] { deliver(node, caller, handle); });
        return;
    }
    handle(*nodes[node].node, now());
}

StoreReply World::transact(const StoreTransaction &transaction)
{
    StoreReply result{.call = transaction.call, .status = CallStatus::Ok, .items = {}};
    bool holds = true;
    for (const StoreCondition &condition : transaction.conditions) {
        const auto found = store.items.find(condition.key);
        const std::uint64_t present = found == store.items.end() ? 0 : found->second.revision;
        holds = holds && present == condition.revision;
        result.items.push_back(
            {.key = condition.key, .value = present == 0 ? std::string() : found->second.value, .revision = present});
    }
    if (!holds) {
        result.status = CallStatus::Conflict;
        return result;
    }
    result.items.clear();
    const std::size_t entries = transaction.conditions.size() + transaction.writes.size() + transaction.deletes.size();
    if (entries > maxTransactionEntries) {
        violations.push_back("a transaction is too large");
    }
    result.revision = ++store.revision;
    for (const StoreWrite &write : transaction.writes) {
        if (write.lease != 0 && !store.leases.contains(write.lease)) {
            result.status = CallStatus::NotFound;
            return result;
        }
        store.items[write.key] = {.value = write.value, .revision = store.revision, .lease = write.lease};
    }
    for (const std::string &key : transaction.deletes) {
        store.items.erase(key);
    }
    return result;
}

StoreReply World::range(const StoreRange &range) const
{
    StoreReply result{.call = range.call, .status = CallStatus::Ok, .items = {}, .revision = store.revision};
    constexpr std::size_t pageItems = 50;
    for (const auto &[key, item] : store.items) {
        if (!key.starts_with(range.prefix) || key <= range.after) {
            continue;
        }
        if (result.items.size() == pageItems) {
            result.morePages = true;
            break;
        }
        result.items.push_back({.key = key, .value = item.value, .revision = item.revision, .lease = item.lease});
    }
    return result;
}

RenewReply World::listsOf(std::size_t worker, CallId call) const
{
    const WorldWorker &target = workers[worker];
    RenewReply lists{.call = call,
        .status = CallStatus::Ok,
        .incarnation = target.entry.incarnation,
        .clock = WorkerTime(time),
        .running = {},
        .ended = {}};
    const std::size_t shown = std::min(target.ends.size(), maxListedEnds);
    lists.ended.assign(target.ends.begin(), target.ends.begin() + static_cast<std::ptrdiff_t>(shown));
    for (const WorldRun &run : target.runs) {
        const auto percent = run.work.count() == 0 ? 0 : run.done.count() * 100 / run.work.count();
        lists.running.push_back({.task = run.task,
            .attempt = run.attempt,
            .checkpoint = run.checkpoint,
            .percent = static_cast<int>(std::min<std::int64_t>(99, percent))});
    }
    return lists;
}

std::optional<RenewReply> World::renew(std::size_t worker, const RenewWorker &renewal)
{
    WorldWorker &target = workers[worker];
    ++renewals;
    if (renewal.fencingToken < target.token) {
        return RenewReply{.call = renewal.call, .status = CallStatus::Refused, .refusal = StartRefusal::Fenced};
    }
    target.token = renewal.fencingToken;
    target.leaseUntil = std::max(target.leaseUntil, renewal.leaseUntil.time_since_epoch());
    std::erase_if(target.ends, [&](const EndedTask &ended) { return ended.number <= renewal.acknowledged; });
    if (renewal.wait.count() > 0 && target.ends.empty()) {
        return std::nullopt;
    }
    return listsOf(worker, renewal.call);
}

bool World::needsTicket(JobId id)
{
    Node *leading = leader();
    const Job *job = leading == nullptr ? nullptr : findJob(leading->dispatcher->jobs, id);
    return job == nullptr || job->record.queue.advice.has_value();
}

OrderReply World::start(const StartRun &order)
{
    WorldWorker &target = workers[workerIndex(order.worker.id)];
    const auto refuse = [&order](StartRefusal refusal) {
        return OrderReply{.call = order.call, .status = CallStatus::Refused, .refusal = refusal};
    };
    // Orders name only the worker's id, which a new incarnation may keep.
    if (order.fencingToken < target.token) {
        return refuse(StartRefusal::Fenced);
    }
    target.token = order.fencingToken;
    const auto same = std::ranges::find(target.runs, order.task, &WorldRun::task);
    if (same != target.runs.end() && same->attempt == order.attempt) {
        return {.call = order.call, .status = CallStatus::Ok};
    }
    const auto stopped = target.stoppedAttempts.find(order.task);
    if (stopped != target.stoppedAttempts.end() && order.attempt <= stopped->second) {
        return refuse(StartRefusal::OldAttempt);
    }
    if (adviceTakesTime && needsTicket(order.task.step.job) && ticketEnds[order.ticket] < time) {
        return refuse(StartRefusal::Ticket);
    }
    if (order.leaseUntil.time_since_epoch() < time) {
        return refuse(StartRefusal::Late);
    }
    WorldRun run = actualRun(order.task, order.attempt);
    run.task = order.task;
    run.attempt = order.attempt;
    run.checkpoint = order.checkpoint;
    const Node *leading = leader();
    if (leading != nullptr) {
        const auto job = leading->dispatcher->jobs.live.find(order.task.step.job);
        if (job != leading->dispatcher->jobs.live.end()) {
            run.size = chargedSize(job->second->record.spec.steps[order.task.step.step]);
        }
    }
    for (const WorldWorker &other : workers) {
        if (std::ranges::find(other.runs, order.task, &WorldRun::task) != other.runs.end()) {
            violations.push_back(fmt::format("{} runs twice at {} ms", formatTaskKey(order.task), time.count()));
        }
    }
    if (doneTasks.contains(order.task)) {
        violations.push_back(
            fmt::format("{} starts after it was done at {} ms", formatTaskKey(order.task), time.count()));
    }
    if (failedRuns[order.task] >= 2) {
        violations.push_back(fmt::format("{} starts after two failed runs", formatTaskKey(order.task)));
    }
    target.leaseUntil = std::max(target.leaseUntil, order.leaseUntil.time_since_epoch());
    target.runs.push_back(run);
    ++starts;
    if (!fits(totalSize(target.runs), target.entry.capacity)) {
        violations.push_back(fmt::format("{} is over its capacity at {} ms", target.entry.id, time.count()));
    }
    return {.call = order.call, .status = CallStatus::Ok};
}

OrderReply World::stop(const StopRun &order)
{
    const std::size_t index = workerIndex(order.worker.id);
    WorldWorker &target = workers[index];
    if (order.fencingToken < target.token) {
        return {.call = order.call, .status = CallStatus::Refused, .refusal = StartRefusal::Fenced};
    }
    target.token = order.fencingToken;
    target.stoppedAttempts[order.task] = std::max(target.stoppedAttempts[order.task], order.attempt);
    after(target.stopTime, [this, index, order] {
        WorldWorker &worker = workers[index];
        for (std::size_t i = 0; i < worker.runs.size(); ++i) {
            if (worker.runs[i].task == order.task && worker.runs[i].attempt == order.attempt) {
                endRun(index, i, RunEnd::Stopped);
                return;
            }
        }
    });
    return {.call = order.call, .status = CallStatus::Ok};
}

AdviceReply World::advise(const RequestAdvice &ask)
{
    AdviceReply result{.call = ask.call, .status = CallStatus::Ok, .allowed = {}, .validity = adviceValidity};
    for (const std::string &worker : ask.workers) {
        const std::uint64_t hash = std::hash<std::string>{}(formatStepKey(ask.step) + worker);
        if (hash % 100 < allowedPercent) {
            const std::string ticket = fmt::format("{}/{}/{}", formatStepKey(ask.step), worker, time.count());
            result.allowed.push_back({.worker = worker, .ticket = ticket});
            ticketEnds[ticket] = time + adviceValidity;
        }
    }
    return result;
}

void World::endRun(std::size_t worker, std::size_t run, RunEnd end)
{
    WorldWorker &target = workers[worker];
    const WorldRun ended = target.runs[run];
    target.runs.erase(target.runs.begin() + static_cast<std::ptrdiff_t>(run));
    target.stoppedAttempts[ended.task] = std::max(target.stoppedAttempts[ended.task], ended.attempt);
    target.ends.push_back({.number = ++target.lastNumber,
        .task = ended.task,
        .attempt = ended.attempt,
        .end = end,
        .checkpoint = ended.checkpoint});
    if (end == RunEnd::Done) {
        doneTasks.insert(ended.task);
    }
    failedRuns[ended.task] += end == RunEnd::Failed ? 1 : 0;
    answerRenewals(worker);
}

void World::answerRenewals(std::size_t worker)
{
    for (const auto &[node, renewal] : std::exchange(workers[worker].waitingRenewals, {})) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i].up && nodes[i].node->options.name == node && !workers[worker].unresponsive) {
                reply(i, [lists = listsOf(worker, renewal.call)](Node &owner, Now at) {
                    handleRenewReply(owner, lists, at);
                });
            }
        }
    }
}

void World::carryOut(std::size_t node, const Action &action)
{
    const auto storeReply = [this, node](auto make, milliseconds timeout) {
        after(storeDelay, [this, node, make, timeout, caller = nodes[node].node.get()] {
            ++store.calls;
            const bool unresponsive = store.unresponsive;
            after(unresponsive ? timeout : milliseconds(0), [this, node, make, unresponsive, caller] {
                if (nodes[node].up && nodes[node].node.get() == caller) {
                    const CallStatus answered = isRefused(node) ? CallStatus::Refused : CallStatus::Ok;
                    reply(node, make(unresponsive ? CallStatus::Unknown : answered));
                }
            });
        });
    };
    if (const auto *transaction = std::get_if<StoreTransaction>(&action)) {
        // Carried out even if the daemon stops meanwhile.
        after(storeDelay, [this, node, transaction = *transaction] {
            ++store.calls;
            StoreReply result{.call = transaction.call, .status = CallStatus::Refused, .items = {}};
            if (store.unresponsive || (!isRefused(node) && !store.refusedWriters.contains(node))) {
                if (!store.unresponsive) {
                    result = transact(transaction);
                }
                if (store.unresponsive || randomBelow(random, 100) < store.lostReplyPercent) {
                    after(transaction.timeout, [this, node, id = transaction.call] {
                        reply(node, [id](Node &owner, Now at) {
                            handleStoreReply(owner, {.call = id, .status = CallStatus::Unknown, .items = {}}, at);
                        });
                    });
                    return;
                }
            }
            if (nodes[node].up) {
                reply(node, [result](Node &owner, Now at) { handleStoreReply(owner, result, at); });
            }
        });
    } else if (const auto *rangeRequest = std::get_if<StoreRange>(&action)) {
        const auto make = [this, rangeRequest = *rangeRequest](CallStatus status) {
            StoreReply result = range(rangeRequest);
            result.status = status;
            return [result](Node &owner, Now at) { handleStoreReply(owner, result, at); };
        };
        storeReply(make, callTimeout);
    } else if (const auto *open = std::get_if<StoreOpenLease>(&action)) {
        const auto make = [this, open = *open](CallStatus status) {
            const std::uint64_t lease = 1000 + ++m_order;
            store.leases[lease] = {time + open.timeToLive, open.timeToLive};
            const StoreReply result{
                .call = open.call, .status = status, .items = {}, .lease = lease, .timeToLive = open.timeToLive};
            return [result](Node &owner, Now at) { handleStoreReply(owner, result, at); };
        };
        storeReply(make, callTimeout);
    } else if (const auto *keep = std::get_if<StoreKeepAlive>(&action)) {
        const auto make = [this, keep = *keep](CallStatus status) {
            const auto found = store.leases.find(keep.lease);
            StoreReply result{.call = keep.call, .status = status, .items = {}};
            if (status == CallStatus::Ok && found == store.leases.end()) {
                result.status = CallStatus::NotFound;
            } else if (status == CallStatus::Ok) {
                found->second.first = time + found->second.second;
            }
            return [result](Node &owner, Now at) { handleStoreReply(owner, result, at); };
        };
        storeReply(make, keep->timeout);
    } else if (const auto *end = std::get_if<StoreEndLease>(&action)) {
        const auto make = [this, end = *end](CallStatus status) {
            const auto found = store.leases.find(end.lease);
            StoreReply result{.call = end.call, .status = status, .items = {}};
            if (status == CallStatus::Ok && found == store.leases.end()) {
                result.status = CallStatus::NotFound;
            } else if (status == CallStatus::Ok) {
                found->second.first = time;
                expireLeases();
            }
            return [result](Node &owner, Now at) { handleStoreReply(owner, result, at); };
        };
        storeReply(make, callTimeout);
    } else if (const auto *read = std::get_if<ReadConfiguration>(&action)) {
        ++store.configurationReads;
        after(store.slowLinks.contains(node) ? slowTransfer : milliseconds(0), [this, node, id = read->call] {
            ConfigurationReply result{.call = id, .status = CallStatus::Refused, .configuration = {}};
            if (!isRefused(node)) {
                result = {
                    .call = id, .status = CallStatus::Ok, .configuration = configuration, .revision = store.revision};
            }
            reply(node, [result](Node &owner, Now at) { handleConfigurationReply(owner, result, at); });
        });
    } else if (const auto *watch = std::get_if<WatchConfiguration>(&action)) {
        const milliseconds transfer = store.slowLinks.contains(node) ? slowTransfer : milliseconds(0);
        after(watch->wait + transfer, [this, node, id = watch->call] {
            ConfigurationReply result{.call = id, .status = CallStatus::Refused, .configuration = {}};
            if (!isRefused(node)) {
                result.status = CallStatus::Ok;
                result.revision = store.revision;
                const bool changed = nodes[node].up && configuration.version > nodes[node].node->configuration.version;
                result.configuration = changed ? std::optional(configuration) : std::nullopt;
            }
            reply(node, [result](Node &owner, Now at) { handleConfigurationReply(owner, result, at); });
        });
    } else if (const auto *directory = std::get_if<ReadWorkers>(&action)) {
        const auto make = [this, id = directory->call](CallStatus status) {
            WorkersReply result{.call = id, .status = status, .workers = {}};
            for (const WorldWorker &worker : workers) {
                if (worker.up && !worker.unlisted) {
                    result.workers.push_back(worker.entry);
                }
            }
            return [result](Node &owner, Now at) { handleWorkersReply(owner, result, at); };
        };
        storeReply(make, callTimeout);
    } else if (const auto *started = std::get_if<StartRun>(&action)) {
        if (startDelay > started->timeout) {
            after(started->timeout, [this, node, id = started->call] {
                reply(node, [id](Node &owner, Now at) {
                    handleOrderReply(owner, {.call = id, .status = CallStatus::Unknown}, at);
                });
            });
        }
        after(networkDelay + startDelay, [this, node, started = *started] {
            const WorldWorker &target = workers[workerIndex(started.worker.id)];
            OrderReply result{.call = started.call, .status = CallStatus::Unknown};
            if (target.up && !target.unresponsive && !target.unreachableFrom.contains(node)) {
                result = start(started);
            }
            reply(node, [result](Node &owner, Now at) { handleOrderReply(owner, result, at); });
        });
    } else if (const auto *stopped = std::get_if<StopRun>(&action)) {
        after(networkDelay, [this, node, stopped = *stopped] {
            const WorldWorker &target = workers[workerIndex(stopped.worker.id)];
            OrderReply result{.call = stopped.call, .status = CallStatus::Unknown};
            if (target.up && !target.unresponsive && !target.unreachableFrom.contains(node)) {
                result = stop(stopped);
            }
            reply(node, [result](Node &owner, Now at) { handleOrderReply(owner, result, at); });
        });
    } else if (const auto *renewal = std::get_if<RenewWorker>(&action)) {
        const bool late = renewalDelay.count() > 0 && workerIndex(renewal->worker.id) == delayedWorker;
        if (late) {
            after(renewalDelay, [this, renewal = *renewal] { renew(workerIndex(renewal.worker.id), renewal); });
        }
        after(networkDelay, [this, node, late, renewal = *renewal] {
            const std::size_t worker = workerIndex(renewal.worker.id);
            if (late || !workers[worker].up || workers[worker].unresponsive || workers[worker].dropsReplies
                || workers[worker].unreachableFrom.contains(node)) {
                if (workers[worker].dropsReplies && !late) {
                    renew(worker, renewal);
                }
                after(renewal.timeout, [this, node, id = renewal.call] {
                    reply(node, [id](Node &owner, Now at) {
                        handleRenewReply(
                            owner, {.call = id, .status = CallStatus::Unknown, .running = {}, .ended = {}}, at);
                    });
                });
                return;
            }
            const auto lists = renew(worker, renewal);
            if (lists) {
                reply(node, [lists = *lists](Node &owner, Now at) { handleRenewReply(owner, lists, at); });
                return;
            }
            workers[worker].waitingRenewals.emplace_back(nodes[node].up ? nodes[node].node->options.name : "", renewal);
            after(renewal.wait, [this, worker] { answerRenewals(worker); });
            // Sent in case the worker has stopped answering or crashed meanwhile. The daemon ignores it after a real
            // reply.
            after(renewal.timeout, [this, node, id = renewal.call] {
                if (nodes[node].up) {
                    reply(node, [id](Node &owner, Now at) {
                        handleRenewReply(
                            owner, {.call = id, .status = CallStatus::Unknown, .running = {}, .ended = {}}, at);
                    });
                }
            });
        });
    } else if (const auto *request = std::get_if<RequestAdvice>(&action)) {
        adviceCalls.push_back(*request);
        const milliseconds takes = adviceTakesTime ? request->timeout - adviceSlack : milliseconds(0);
        after(takes, [this, node, request = *request] {
            reply(node, [result = advise(request)](Node &owner, Now at) { handleAdviceReply(owner, result, at); });
        });
    } else if (const auto *answered = std::get_if<AnswerClient>(&action)) {
        answers[answered->answer.call] = answered->answer;
    } else if (const auto *message = std::get_if<SendToNode>(&action)) {
        const std::string from = nodes[node].node->options.name;
        after(networkDelay, [this, from, message = *message] {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (nodes[i].up && !nodes[i].dropsPeerMessages && nodes[i].node->options.name == message.node) {
                    deliver(i, nodes[i].node.get(),
                        [from, body = message.body](Node &owner, Now at) { handlePeerMessage(owner, from, body, at); });
                }
            }
        });
    } else if (const auto *dialled = std::get_if<DialNode>(&action)) {
        connectNodes(node, dialled->endpoint);
    }
}

void World::flush(std::size_t node)
{
    if (!nodes[node].up || nodes[node].paused) {
        return;
    }
    tick(*nodes[node].node, now());
    for (const Action &action : takeActions(*nodes[node].node)) {
        carryOut(node, action);
    }
}

void World::advanceWorkers(milliseconds step)
{
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        WorldWorker &target = workers[worker];
        if (!target.runs.empty() && target.leaseUntil < time) {
            while (!target.runs.empty()) {
                endRun(worker, 0, RunEnd::LeaseExpired);
            }
        }
        for (std::size_t i = target.runs.size(); i-- > 0;) {
            WorldRun &run = target.runs[i];
            run.done += target.stalled ? milliseconds(0) : step;
            if (run.done >= run.work) {
                endRun(worker, i, run.willFail || target.failsAll ? RunEnd::Failed : RunEnd::Done);
            }
        }
    }
}

void World::expireLeases()
{
    for (auto lease = store.leases.begin(); lease != store.leases.end();) {
        if (lease->second.first > time || store.down) {
            ++lease;
            continue;
        }
        std::erase_if(store.items, [&](const auto &item) { return item.second.lease == lease->first; });
        lease = store.leases.erase(lease);
    }
}

void World::run(milliseconds duration)
{
    const milliseconds until = time + duration;
    while (time < until) {
        time += milliseconds(1);
        while (!m_events.empty() && m_events.top().at <= time) {
            const Event event = m_events.top();
            m_events.pop();
            event.act();
        }
        if (time.count() % workStep.count() == 0) {
            advanceWorkers(workStep);
            expireLeases();
        }
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (time.count() % tickInterval.count() == 0 || (nodes[i].up && !nodes[i].node->outbox.actions.empty())) {
                flush(i);
            }
        }
    }
}

bool World::runUntil(const std::function<bool()> &condition, milliseconds limit)
{
    const milliseconds until = time + limit;
    while (!condition()) {
        if (time >= until) {
            return false;
        }
        run(milliseconds(10));
    }
    return true;
}

CallId World::submit(std::size_t at, JobId id, const JobSpec &spec, std::string_view queue, milliseconds timeLeft)
{
    Node &node = *nodes[at].node;
    const CallId call = node.outbox.newCall();
    const JobRecord record{.id = id,
        .queue = *findQueueByName(configuration, std::string(queue)),
        .submittedAt = WallTime(time),
        .spec = spec};
    submittedAt.try_emplace(id, time);
    handleClientCall(node,
        {.call = call,
            .kind = ClientCallKind::Submit,
            .queue = std::string(queue),
            .job = id,
            .record = encodeJobRecord(record)},
        timeLeft, now());
    return call;
}

CallId World::call(std::size_t at, ClientCallKind kind, JobId id, std::string_view queue)
{
    Node &node = *nodes[at].node;
    const CallId call = node.outbox.newCall();
    handleClientCall(node, {.call = call, .kind = kind, .queue = std::string(queue), .job = id, .record = {}},
        milliseconds(3000), now());
    return call;
}

std::optional<ClientAnswer> World::answerTo(CallId call) const
{
    const auto found = answers.find(call);
    return found == answers.end() ? std::nullopt : std::optional(found->second);
}

std::optional<ClientAnswer> World::ask(std::size_t at, ClientCallKind kind, JobId id)
{
    const CallId callId = call(at, kind, id, "batch");
    runUntil([&] { return answerTo(callId).has_value(); }, milliseconds(4000));
    return answerTo(callId);
}

} // namespace wigeonkeel::dispatch
