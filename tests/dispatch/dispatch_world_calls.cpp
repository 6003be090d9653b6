#include "tests/dispatch/dispatch_world.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr milliseconds storeDelay{4};
/// Timeout of calls that get no answer.
constexpr milliseconds callTimeout{700};
/// Part of an advice request's timeout that exceeds the adviser's expected time.
constexpr milliseconds adviceSlack{500};
/// Transfer time of a large configuration over the link of a small VM.
constexpr milliseconds slowTransfer{900};
/// When late orders and late writes are carried out.
constexpr milliseconds earliestLateOrder{2000};
constexpr std::uint64_t lateOrderSpreadMs = 10000;
constexpr milliseconds earliestLateWrite{1000};
constexpr std::uint64_t lateWriteSpreadMs = 5000;

auto storeReplyHandler(StoreReply result)
{
    return [result = std::move(result)](Node &owner, Now at) { handleStoreReply(owner, result, at); };
}

milliseconds drawDelay(RandomState &random, milliseconds least, std::uint64_t spreadMs)
{
    return least + milliseconds(randomBelow(random, spreadMs));
}

} // namespace

bool World::isReplyLost(std::size_t node, bool isWrite)
{
    return store.unansweredNodes.contains(node) || (isWrite && randomBelow(random, 100) < store.lostReplyPercent);
}

void World::callStore(
    std::size_t node, milliseconds timeout, bool isWrite, const StoreHandler &make, milliseconds transfer)
{
    // Carried out even if the daemon stops meanwhile.
    after(storeDelay, [this, node, timeout, isWrite, make, transfer, caller = nodes[node].node.get()] {
        ++store.calls;
        const bool silent = isSilent(node);
        auto handle = silent ? make(CallStatus::Unknown) : make(isRefused(node) ? CallStatus::Refused : CallStatus::Ok);
        milliseconds delay = nodes[node].storeLatency + transfer;
        if (silent || (!isRefused(node) && isReplyLost(node, isWrite)) || delay > timeout) {
            handle = make(CallStatus::Unknown);
            delay = timeout;
        }
        after(delay, [this, node, handle, caller] {
            if (nodes[node].up && nodes[node].node.get() == caller) {
                reply(node, handle);
            }
        });
    });
}

void World::carryOut(std::size_t node, const StoreTransaction &transaction)
{
    const bool reachesStore = !isSilent(node) && !isRefused(node);
    if (reachesStore && rules.lateWritePercent > 0 && randomBelow(random, 100) < rules.lateWritePercent) {
        after(drawDelay(random, earliestLateWrite, lateWriteSpreadMs), [this, transaction] {
            if (!store.down) {
                transact(transaction);
            }
        });
        after(transaction.timeout, [this, node, caller = nodes[node].node.get(), id = transaction.call] {
            deliver(node, caller, storeReplyHandler({.call = id, .status = CallStatus::Unknown, .items = {}}));
        });
        return;
    }
    callStore(node, transaction.timeout, true, [this, node, transaction](CallStatus status) {
        if (status == CallStatus::Ok && store.refusedWriters.contains(node)) {
            status = CallStatus::Refused;
        }
        StoreReply result{.call = transaction.call, .status = status, .items = {}};
        if (status == CallStatus::Ok) {
            result = transact(transaction);
            if (nodes[node].pauseAfterWrite.count() > 0 && nodes[node].up && !nodes[node].paused) {
                pause(node, std::exchange(nodes[node].pauseAfterWrite, milliseconds(0)));
            }
        }
        return storeReplyHandler(std::move(result));
    });
}

milliseconds World::transferTime(std::size_t node, const StoreReply &page) const
{
    const std::int64_t rate = nodes[node].pageBytesPerSecond;
    std::int64_t bytes = 0;
    for (const StoreItem &item : page.items) {
        bytes += static_cast<std::int64_t>(item.value.size());
    }
    return milliseconds(rate > 0 ? bytes * 1000 / rate : 0);
}

void World::carryOut(std::size_t node, const StoreRange &request)
{
    const milliseconds transfer = transferTime(node, range(request));
    const bool arrives = transfer <= request.timeout;
    callStore(
        node, request.timeout, false,
        [this, request, arrives](CallStatus status) {
            if (status == CallStatus::Ok && !arrives) {
                status = CallStatus::Unknown;
            }
            StoreReply result
                = status == CallStatus::Ok ? range(request) : StoreReply{.call = request.call, .items = {}};
            result.status = status;
            return storeReplyHandler(std::move(result));
        },
        std::min(transfer, request.timeout));
}

void World::carryOut(std::size_t node, const StoreOpenLease &open)
{
    callStore(node, callTimeout, false, [this, node, open](CallStatus status) {
        StoreReply result{.call = open.call, .status = status, .items = {}, .timeToLive = open.timeToLive};
        if (status == CallStatus::Ok) {
            result.lease = 1000 + ++m_order;
            store.leases[result.lease] = {time + open.timeToLive, open.timeToLive};
            store.leaseOwners[result.lease] = node;
        }
        return storeReplyHandler(std::move(result));
    });
}

void World::carryOut(std::size_t node, const StoreKeepAlive &keep)
{
    if (store.unansweredKeepAlives.contains(node)) {
        after(keep.timeout, [this, node, caller = nodes[node].node.get(), id = keep.call] {
            deliver(node, caller, storeReplyHandler({.call = id, .status = CallStatus::Unknown, .items = {}}));
        });
        return;
    }
    callStore(node, keep.timeout, false, [this, keep](CallStatus status) {
        const auto found = store.leases.find(keep.lease);
        StoreReply result{.call = keep.call, .status = status, .items = {}};
        if (status == CallStatus::Ok && found == store.leases.end()) {
            result.status = CallStatus::NotFound;
        } else if (status == CallStatus::Ok) {
            found->second.first = time + found->second.second;
        }
        return storeReplyHandler(std::move(result));
    });
}

void World::carryOut(std::size_t node, const StoreEndLease &end)
{
    callStore(node, callTimeout, false, [this, end](CallStatus status) {
        const auto found = store.leases.find(end.lease);
        StoreReply result{.call = end.call, .status = status, .items = {}};
        if (status == CallStatus::Ok && found == store.leases.end()) {
            result.status = CallStatus::NotFound;
        } else if (status == CallStatus::Ok) {
            found->second.first = time;
            expireLeases();
        }
        return storeReplyHandler(std::move(result));
    });
}

void World::carryOut(std::size_t node, const ReadConfiguration &read)
{
    ++store.configurationReads;
    after(store.slowLinks.contains(node) ? slowTransfer : milliseconds(0), [this, node, id = read.call] {
        ConfigurationReply result{.call = id, .status = CallStatus::Refused, .configuration = {}};
        if (!isRefused(node)) {
            result = {.call = id, .status = CallStatus::Ok, .configuration = configuration, .revision = store.revision};
        }
        reply(node, [result](Node &owner, Now at) { handleConfigurationReply(owner, result, at); });
    });
}

void World::carryOut(std::size_t node, const WatchConfiguration &watch)
{
    const milliseconds transfer = store.slowLinks.contains(node) ? slowTransfer : milliseconds(0);
    after(watch.wait + transfer, [this, node, id = watch.call] {
        ConfigurationReply result{.call = id, .status = CallStatus::Refused, .configuration = {}};
        if (!isRefused(node)) {
            result.status = CallStatus::Ok;
            result.revision = store.revision;
            const bool changed = nodes[node].up && configuration.version > nodes[node].node->configuration.version;
            result.configuration = changed ? std::optional(configuration) : std::nullopt;
        }
        reply(node, [result](Node &owner, Now at) { handleConfigurationReply(owner, result, at); });
    });
}

void World::carryOut(std::size_t node, const ReadWorkers &directory)
{
    callStore(node, callTimeout, false, [this, id = directory.call](CallStatus status) {
        WorkersReply result{.call = id, .status = status, .workers = {}};
        for (const WorldWorker &worker : workers) {
            const bool listed = worker.up || time - worker.downSince < rules.directoryDelay;
            if (listed && !worker.unlisted) {
                result.workers.push_back(worker.entry);
            }
        }
        return [result](Node &owner, Now at) { handleWorkersReply(owner, result, at); };
    });
}

World::Link World::linkTo(std::size_t node, const WorldWorker &worker) const
{
    if (worker.refusesFrom.contains(node) || (!worker.up && worker.refusesWhileDown)) {
        return Link::Refused;
    }
    return worker.up && !worker.unresponsive && !worker.unreachableFrom.contains(node) ? Link::Open : Link::Cut;
}

void World::replyToOrder(std::size_t node, milliseconds delay, OrderReply result)
{
    after(delay,
        [this, node, result] { reply(node, [result](Node &owner, Now at) { handleOrderReply(owner, result, at); }); });
}

bool World::isOrderLate()
{
    return rules.lateOrderPercent > 0 && randomBelow(random, 100) < rules.lateOrderPercent;
}

void World::carryOutLate(const WorkerTarget &target, std::function<void()> act)
{
    const std::size_t worker = workerIndex(target.id);
    const WorkerLife life = lifeOf(workers[worker]);
    const milliseconds delay = drawDelay(random, earliestLateOrder, lateOrderSpreadMs);
    after(delay, [this, worker, life, act = std::move(act)] {
        const bool reached = lifeOf(workers[worker]) == life || rules.lateOrdersReachNextIncarnation;
        if (workers[worker].up && reached) {
            m_isOrderLate = true;
            act();
            m_isOrderLate = false;
        }
    });
}

milliseconds World::drawLatency(const WorldWorker &worker)
{
    const auto most = static_cast<std::uint64_t>(worker.latency.count());
    return milliseconds(most == 0 ? 0 : randomBelow(random, most));
}

World::Link World::linkAtArrival(std::size_t node, std::size_t worker, const WorkerLife &life, milliseconds delay) const
{
    const bool restarted = delay.count() > 0 && lifeOf(workers[worker]) != life;
    return restarted && !rules.lateOrdersReachNextIncarnation ? Link::Cut : linkTo(node, workers[worker]);
}

void World::carryOutOrder(std::size_t node, const WorkerTarget &target, milliseconds delay, milliseconds timeout,
    CallId call, std::function<OrderReply()> act)
{
    const std::size_t worker = workerIndex(target.id);
    OrderReply unanswered{.call = call, .status = CallStatus::Unknown};
    if (linkTo(node, workers[worker]) == Link::Open && isOrderLate()) {
        carryOutLate(target, [act = std::move(act)] { act(); });
        replyToOrder(node, timeout, unanswered);
        return;
    }
    const milliseconds there = drawLatency(workers[worker]);
    const milliseconds back = drawLatency(workers[worker]);
    if (delay + there + back > timeout) {
        replyToOrder(node, timeout, unanswered);
    }
    const WorkerLife life = lifeOf(workers[worker]);
    after(networkDelay + delay + there, [=, this]() mutable {
        const Link link = linkAtArrival(node, worker, life, there);
        if (link == Link::Refused) {
            unanswered.status = CallStatus::Unreachable;
        }
        const bool timesOut = link == Link::Cut && rules.ownClocks;
        OrderReply result = unanswered;
        if (link == Link::Open) {
            result = act();
            result.clock = clockOf(workers[worker]);
        }
        replyToOrder(node, timesOut ? timeout : back, result);
    });
}

void World::carryOut(std::size_t node, const StartRun &order)
{
    milliseconds &linkFreeAt = nodes[node].linkFreeAt;
    linkFreeAt = std::max(linkFreeAt, time) + startTransfer;
    const milliseconds delay = startDelay + linkFreeAt - time;
    carryOutOrder(node, order.worker, delay, order.timeout, order.call, [this, order] { return start(order); });
}

void World::carryOut(std::size_t node, const StopRun &order)
{
    carryOutOrder(
        node, order.worker, milliseconds(0), order.timeout, order.call, [this, order] { return stop(order); });
}

void World::failRenewal(std::size_t node, milliseconds delay, CallId call, CallStatus status)
{
    after(delay, [this, node, call, status] {
        reply(node, [call, status](Node &owner, Now at) {
            handleRenewReply(owner, {.call = call, .status = status, .running = {}, .ended = {}}, at);
        });
    });
}

void World::carryOut(std::size_t node, const RenewWorker &renewal)
{
    const std::size_t worker = workerIndex(renewal.worker.id);
    const bool delayed = renewalDelay.count() > 0 && worker == delayedWorker;
    if (delayed) {
        after(renewalDelay, [this, worker, renewal] { renew(worker, renewal); });
    }
    const bool late = !delayed && linkTo(node, workers[worker]) == Link::Open && isOrderLate();
    if (late) {
        carryOutLate(renewal.worker, [this, worker, renewal] { renew(worker, renewal); });
    }
    const milliseconds there = drawLatency(workers[worker]);
    const milliseconds back = drawLatency(workers[worker]);
    if (there + back > renewal.timeout) {
        failRenewal(node, renewal.timeout, renewal.call, CallStatus::Unknown);
    }
    const WorkerLife life = lifeOf(workers[worker]);
    after(networkDelay + there, [this, node, worker, life, there, back, lost = late || delayed, renewal] {
        const Link link = linkAtArrival(node, worker, life, there);
        if (link == Link::Refused && !lost) {
            failRenewal(node, milliseconds(0), renewal.call, CallStatus::Unreachable);
            return;
        }
        const bool dropsReplies = workers[worker].dropsReplies;
        if (dropsReplies && !lost && workers[worker].up) {
            renew(worker, renewal);
        }
        if (lost || dropsReplies || link == Link::Cut) {
            failRenewal(node, renewal.timeout, renewal.call, CallStatus::Unknown);
            return;
        }
        const auto lists = renew(worker, renewal);
        if (lists) {
            after(back, [this, node, lists = *lists] {
                reply(node, [lists](Node &owner, Now at) { handleRenewReply(owner, lists, at); });
            });
            return;
        }
        workers[worker].waitingRenewals.emplace_back(nodes[node].up ? nodes[node].node->options.name : "", renewal);
        after(renewal.wait, [this, worker] { answerRenewals(worker); });
        // Sent in case the worker has stopped answering or crashed meanwhile. The daemon ignores it after a real reply.
        failRenewal(node, renewal.timeout, renewal.call, CallStatus::Unknown);
    });
}

void World::carryOut(std::size_t node, const RequestAdvice &request)
{
    adviceCalls.push_back(request);
    const milliseconds takes = adviceTakesTime ? request.timeout - adviceSlack : milliseconds(0);
    after(takes, [this, node, request] {
        reply(node, [result = advise(request)](Node &owner, Now at) { handleAdviceReply(owner, result, at); });
    });
}

void World::carryOut(std::size_t node, const AnswerClient &answered)
{
    answers[answered.answer.call] = answered.answer;
    const auto sent = m_sentCalls.find(answered.answer.call);
    if (rules.acknowledgedEndsCount && sent != m_sentCalls.end()) {
        recordAnswer(sent->second, answered.answer, nodes[node].node->options.name);
    }
}

void World::recordAnswer(const SentCall &sent, const ClientAnswer &answer, std::string_view node)
{
    const std::string where = fmt::format("by {} at {} ms", node, time.count());
    const CallTimes times{.sentAt = sent.sentAt, .answeredAt = time};
    const bool ok = answer.outcome == ClientOutcome::Ok;
    const std::string tenant = tenantOf(sent.job);
    if (!tenant.empty() && sent.tenant != tenant) {
        if (ok) {
            violations.push_back(fmt::format("FOREIGN: a call of {} about job {} of {} was served {}", sent.tenant,
                formatJobId(sent.job), tenant, where));
        }
        return;
    }
    if (sent.kind == ClientCallKind::Submit && ok) {
        recordAccepted(history, sent.job, time);
    } else if (sent.kind == ClientCallKind::Cancel && (ok || answer.outcome == ClientOutcome::NoSuchJob)) {
        recordCancelled(history, sent.job, time);
    } else if (sent.kind == ClientCallKind::Query && ok) {
        report(recordShownState(history, sent.job, answer.state, times, where));
        if (answer.state == JobState::Done) {
            report(recordShownDone(history, sent.job, specs[sent.job], where));
        }
    } else if (sent.kind == ClientCallKind::Query && answer.outcome == ClientOutcome::NoSuchJob) {
        report(checkNoSuchJob(history, sent.job, times, DispatchBounds{}.keepEnded, where));
    }
}

void World::carryOut(std::size_t node, const SendToNode &message)
{
    const std::string from = nodes[node].node->options.name;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (!nodes[i].up || nodes[i].node->options.name != message.node) {
            continue;
        }
        const bool isConnected = (nodes[node].connected && nodes[node].connectedTo == message.node)
            || (nodes[i].connected && nodes[i].connectedTo == from);
        if (rules.messagesNeedConnections && !isConnected) {
            continue;
        }
        milliseconds &arrival = nodes[i].peerArrivals[from];
        arrival = std::max(arrival, time + networkDelay + std::max(nodes[i].peerLatency, nodes[node].peerLatency));
        after(arrival - time, [this, i, from, receiver = nodes[i].node.get(), body = message.body] {
            if (!nodes[i].dropsPeerMessages) {
                deliver(i, receiver, [from, body](Node &owner, Now at) { handlePeerMessage(owner, from, body, at); });
            }
        });
    }
}

void World::carryOut(std::size_t node, const DialNode &dialled)
{
    connectNodes(node, dialled.endpoint);
}

} // namespace wigeonkeel::dispatch
