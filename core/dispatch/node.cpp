#include "core/dispatch/node.h"

#include "core/dispatch/configuration_watch.h"
#include "core/dispatch/leadership.h"
#include "core/dispatch/succession.h"
#include "core/log.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "node";
constexpr std::string_view memberPrefix = "wk/node/";
/// Entries of daemons in the store live this long without a renewal.
constexpr milliseconds memberLease{6000};
constexpr milliseconds memberKeepInterval{2000};
constexpr milliseconds memberRetry{500};
constexpr milliseconds memberKeepTimeout{700};
constexpr milliseconds memberListInterval{2000};
constexpr milliseconds memberListRetry{150};
/// The leader reads the worker directory at this interval; a draining worker must get no start after 2 s.
constexpr milliseconds workerPollInterval{600};
constexpr milliseconds workerPollRetry{150};
constexpr milliseconds presenceInterval{300};
/// Two heartbeats and a half.
constexpr milliseconds heardRecently{700};
/// A leader whose writes fail for this long lets a daemon that reaches the store take over. Longer than four tries of a
/// transaction whose answers are lost.
constexpr milliseconds storeHandover{650};
/// A daemon that knows no leader asks another seed after this.
constexpr milliseconds seedInterval{700};
/// A call that no leader could be given is refused after this: a takeover takes less than a second.
constexpr milliseconds leaderPatience{1100};
constexpr milliseconds noLeaderRetryAfter{1000};
/// The answer leaves this long before the client gives up; earlier by a part of the time that is left, if that is
/// short: the last try of a client may have a tenth of a second, which is enough for an acceptance.
constexpr milliseconds answerMargin{150};
constexpr int shortTimePart = 4;
/// A process that shuts down has answered all calls this long before the platform kills it. It ends by itself 0.2 s
/// later, which is the time to write the answers.
constexpr milliseconds callsEndMargin{900};
/// Without word from the leader for this long, the daemon is not ready for new connections.
constexpr milliseconds readyWithoutLeader{3000};

void setReady(Node &node, bool ready)
{
    if (node.ready != ready) {
        node.ready = ready;
        node.outbox.add(ReadinessChanged{.ready = ready});
        logLine(LogLevel::Info, logPart, "Readiness changed. ready={} config_version={} leader={}", ready,
            node.configuration.version, node.leadership.leader.node);
    }
}

/// When the call is answered although its outcome is not known.
MonotonicTime answerDue(const Node &node, const EntryCall &entry)
{
    const MonotonicTime until = std::min(entry.deadline, node.callsEndAt);
    const auto margin = std::min<MonotonicTime::duration>(answerMargin, (until - entry.takenAt) / shortTimePart);
    return until - std::max(margin, MonotonicTime::duration::zero());
}

void giveToLeader(Node &node, EntryCall &entry, Now now)
{
    if (now.monotonic >= answerDue(node, entry)) {
        // The leader's answer would come too late. A call that no leader was given can be refused instead.
        return;
    }
    if (isLeading(node)) {
        entry.sent = true;
        entry.everSent = true;
        takeClientCall(*node.dispatcher, entry.call, now);
    } else if (node.leadership.leaderConnected) {
        entry.sent = true;
        entry.everSent = true;
        node.outbox.add(SendToNode{.node = node.leadership.leader.node, .body = ForwardedCall{.call = entry.call}});
    }
}

void giveWaitingCalls(Node &node, Now now)
{
    for (auto &[call, entry] : node.entries) {
        if (!entry.sent) {
            giveToLeader(node, entry, now);
        }
    }
}

void finishEntry(Node &node, CallId call, ClientAnswer answer)
{
    const auto found = node.entries.find(call);
    if (found == node.entries.end()) {
        return;
    }
    if (answer.outcome == ClientOutcome::NotLeader) {
        found->second.sent = false;
        return;
    }
    node.outbox.add(AnswerClient{.kind = found->second.call.kind, .answer = answer});
    node.entries.erase(found);
}

/// Answers calls whose time is up, or that no leader can take.
void expireEntries(Node &node, Now now)
{
    std::vector<ClientAnswer> expired;
    for (const auto &[call, entry] : node.entries) {
        const bool late = now.monotonic >= answerDue(node, entry);
        const bool leaderless = !entry.everSent && now.monotonic - entry.takenAt > leaderPatience;
        if (late && entry.everSent) {
            expired.push_back({.call = call, .outcome = ClientOutcome::Unknown});
        } else if (late || leaderless) {
            expired.push_back({.call = call, .outcome = ClientOutcome::Refused, .retryAfter = noLeaderRetryAfter});
        }
    }
    for (const ClientAnswer &answer : expired) {
        logLine(LogLevel::Info, logPart, "Call ends without the leader. call={} outcome={} leader={} job={}",
            answer.call, answer.outcome == ClientOutcome::Refused ? "refused" : "unknown", node.leadership.leader.node,
            formatJobId(node.entries.at(answer.call).call.job));
        finishEntry(node, answer.call, answer);
    }
}

void tickMembership(Node &node, Now now)
{
    Membership &membership = node.membership;
    if (!membership.callOpen && now.monotonic >= membership.nextStep) {
        membership.callOpen = true;
        if (membership.lease == 0) {
            node.outbox.add(
                StoreOpenLease{.call = storeCall(node, StorePurpose::MemberLease), .timeToLive = memberLease});
        } else if (!membership.written) {
            node.outbox.add(StoreTransaction{.call = storeCall(node, StorePurpose::MemberWrite),
                .conditions = {},
                .writes = {{.key = fmt::format("{}{}", memberPrefix, node.options.name),
                    .value = fmt::format("{}", node.options.cpuMilli),
                    .lease = membership.lease}},
                .deletes = {},
                .timeout = memberRetry});
        } else {
            node.outbox.add(StoreKeepLease{.call = storeCall(node, StorePurpose::MemberKeep),
                .lease = membership.lease,
                .timeout = memberKeepTimeout});
        }
    }
    if (now.monotonic >= membership.nextList) {
        const bool settled = areRanksKnown(node, now);
        membership.nextList = now.monotonic + (settled ? memberListInterval : memberListRetry);
        node.outbox.add(StoreRange{.call = storeCall(node, StorePurpose::MemberList),
            .prefix = std::string(memberPrefix),
            .after = {},
            .mayBeStale = settled});
    }
}

void takeMemberReply(Node &node, StorePurpose purpose, const StoreReply &reply, Now now)
{
    Membership &membership = node.membership;
    membership.callOpen = false;
    const bool ok = reply.status == CallStatus::Ok;
    if (!ok) {
        logLine(LogLevel::Info, logPart, "The daemon's entry could not be kept. purpose={} status={}",
            static_cast<int>(purpose), static_cast<int>(reply.status));
    }
    membership.nextStep = now.monotonic + (ok && purpose != StorePurpose::MemberKeep ? milliseconds(0) : memberRetry);
    if (ok && purpose == StorePurpose::MemberLease) {
        membership.lease = reply.lease;
        membership.written = false;
    } else if (ok && purpose == StorePurpose::MemberWrite) {
        membership.written = true;
        membership.nextStep = now.monotonic + memberKeepInterval;
    } else if (ok) {
        membership.nextStep = now.monotonic + memberKeepInterval;
    } else if (reply.status == CallStatus::NotFound) {
        membership.lease = 0;
        membership.written = false;
    }
}

void takeMemberList(Node &node, const StoreReply &reply, Now now)
{
    if (reply.status != CallStatus::Ok) {
        return;
    }
    updateMembers(node, reply.items, memberPrefix, now);
    if (node.membership.written) {
        node.membership.knownSince = std::min(node.membership.knownSince, now.monotonic);
    }
}

void tickWorkers(Node &node, Now now)
{
    if (!node.dispatcher || node.leadership.phase < ClaimPhase::LoadingWorkers || node.workerPoll.open
        || now.monotonic < node.workerPoll.next) {
        return;
    }
    node.workerPoll.open = true;
    node.workerPoll.call = node.outbox.newCall();
    node.outbox.add(ReadWorkers{.call = node.workerPoll.call});
}

void sendPresence(Node &node, Now now)
{
    if (now.monotonic < node.nextPresence) {
        return;
    }
    node.nextPresence = now.monotonic + presenceInterval;
    const Presence presence = presenceOf(node);
    for (const std::string &name : node.connectedNodes) {
        node.outbox.add(SendToNode{.node = name, .body = presence});
    }
}

/// A leader that the store turns away tells its followers at once; the store may serve them.
void noteStoreState(Node &node, Now now)
{
    bool failing = false;
    if (isLeading(node)) {
        const StoreHealth &health = node.dispatcher->commits.health;
        failing = health.failing && now.monotonic - health.failingSince > storeHandover;
    }
    if (failing != node.storeFailing) {
        node.storeFailing = failing;
        node.nextPresence = now.monotonic;
        if (isLeading(node)) {
            logLine(
                LogLevel::Info, logPart, "The leader's writes to the store {}.", failing ? "fail" : "succeed again");
        }
    }
}

/// Leases are extended and tasks started only while that can't collide with a successor's orders.
void noteClaimState(Node &node, Now now)
{
    const bool sure = isLeaseExtensionSafe(node, now);
    if (sure != node.dispatcher->mayExtend) {
        node.dispatcher->mayExtend = sure;
        node.dispatcher->placementDue = true;
        logLine(LogLevel::Info, logPart, "Leases are {}. token={} claim_confirmed_ms_ago={}",
            sure ? "extended again" : "not extended, another daemon may lead", node.dispatcher->token,
            std::chrono::floor<milliseconds>(now.monotonic - node.dispatcher->claimConfirmedAt).count());
    }
}

void refreshAdviceLines(Node &node)
{
    if (!node.dispatcher) {
        return;
    }
    std::vector<std::string> lines{""};
    lines.insert(lines.end(), node.connectedNodes.begin(), node.connectedNodes.end());
    setAdviceLines(node.dispatcher->advisor, lines);
}

void dialSeed(Node &node, Now now)
{
    if (node.options.seeds.empty() || now.monotonic < node.nextSeed) {
        return;
    }
    node.nextSeed = now.monotonic + seedInterval;
    const Endpoint &seed = node.options.seeds[randomBelow(node.random, node.options.seeds.size())];
    if (!(seed == node.options.endpoint) && !(seed == node.dialled)) {
        node.dialled = seed;
        node.outbox.add(DialNode{.endpoint = seed});
    }
}

void tickReadiness(Node &node, Now now)
{
    const bool led = isLeading(node) || now.monotonic - node.leadership.leaderHeardAt < readyWithoutLeader;
    setReady(node, node.hasConfiguration && led && !node.shuttingDown);
}

void takePresence(Node &node, std::string_view from, const Presence &presence, Now now)
{
    Leadership &leadership = node.leadership;
    node.peers[std::string(from)]
        = {.cpuMilli = presence.cpuMilli, .storeFailing = presence.storeFailing, .heardAt = now.monotonic};
    if (from == leadership.leader.node && !isLeading(node)) {
        if (presence.leader.token == 0 && leadership.leaderConnected) {
            // The leader has resigned; its claim is gone or about to be.
            leadership.leaderConnected = false;
            leadership.claimMissing = true;
            leadership.claimMissingSince = now.monotonic;
        } else {
            leadership.leaderHeardAt = now.monotonic;
            leadership.leaderStoreFailing = presence.storeFailing && presence.leader.token == leadership.leader.token;
        }
    }
    followLeader(node, presence.leader, now);
    handlePeerConfigurationVersion(node, from, presence.configVersion, now);
}

void takeForwarded(Node &node, std::string_view from, const ForwardedCall &forwarded, Now now)
{
    const ClientCall &remote = forwarded.call;
    if (!isLeading(node)) {
        node.outbox.add(SendToNode{.node = std::string(from),
            .body = ForwardedAnswer{.answer = {.call = remote.call, .outcome = ClientOutcome::NotLeader}}});
        return;
    }
    ClientCall own = remote;
    own.call = node.outbox.newCall();
    node.forwarded.emplace(own.call, ForwardedFrom{.node = std::string(from), .remoteCall = remote.call});
    takeClientCall(*node.dispatcher, own, now);
}

/// A former leader's refusal doesn't count: the call was given to its successor, which may have accepted it.
void takeForwardedAnswer(Node &node, std::string_view from, const ClientAnswer &answer)
{
    if (from != node.leadership.leader.node && answer.outcome != ClientOutcome::Ok) {
        logLine(LogLevel::Info, logPart, "A former leader's answer is passed over. call={} node={} leader={}",
            answer.call, from, node.leadership.leader.node);
        return;
    }
    finishEntry(node, answer.call, answer);
}

void takeAdviceOrder(Node &node, std::string_view from, const AdviceOrder &order)
{
    AskAdvice own = order.ask;
    own.call = node.outbox.newCall();
    node.adviceOrders.emplace(own.call, ForwardedFrom{.node = std::string(from), .remoteCall = order.ask.call});
    node.outbox.add(std::move(own));
}

} // namespace

CallId storeCall(Node &node, StorePurpose purpose)
{
    const CallId call = node.outbox.newCall();
    node.storeCalls.emplace(call, purpose);
    return call;
}

bool isLeading(const Node &node)
{
    return node.dispatcher != nullptr && node.leadership.phase == ClaimPhase::Leading;
}

bool isLeaderHeard(const Leadership &leadership, Now now)
{
    return leadership.leaderConnected && now.monotonic - leadership.leaderHeardAt < heardRecently;
}

Presence presenceOf(const Node &node)
{
    return {.node = node.options.name,
        .leader = node.leadership.phase == ClaimPhase::Following && node.leadership.leader.node == node.options.name
            ? LeaderInfo{}
            : node.leadership.leader,
        .configVersion = node.configuration.version,
        .cpuMilli = node.options.cpuMilli,
        .storeFailing = isLeading(node) ? node.storeFailing : node.leadership.pollFailed};
}

void takeStoreReply(Node &node, const StoreReply &reply, Now now)
{
    const auto found = node.storeCalls.find(reply.call);
    if (found == node.storeCalls.end()) {
        if (node.dispatcher) {
            takeStoreReply(*node.dispatcher, reply, now.monotonic);
        }
        return;
    }
    const StorePurpose purpose = found->second;
    node.storeCalls.erase(found);
    if (handleLeadershipReply(node, purpose, reply, now)) {
        return;
    }
    if (purpose == StorePurpose::MemberList) {
        takeMemberList(node, reply, now);
    } else if (purpose != StorePurpose::Ignored) {
        takeMemberReply(node, purpose, reply, now);
    }
}

void takeWorkers(Node &node, const WorkersReply &reply, Now now)
{
    if (!node.dispatcher || reply.call != node.workerPoll.call) {
        return;
    }
    node.workerPoll.open = false;
    if (reply.status != CallStatus::Ok) {
        node.workerPoll.next = now.monotonic + workerPollRetry;
        return;
    }
    node.workerPoll.next = now.monotonic + workerPollInterval;
    updateWorkers(*node.dispatcher, reply.workers, now.monotonic);
    if (node.leadership.phase == ClaimPhase::LoadingWorkers) {
        finishTakeover(node, now);
        refreshAdviceLines(node);
        giveWaitingCalls(node, now);
    }
}

void takeOrderReply(Node &node, const OrderReply &reply, Now now)
{
    if (node.dispatcher) {
        takeOrderReply(*node.dispatcher, reply, now.monotonic);
    }
}

void takeRenewReply(Node &node, const RenewReply &reply, Now now)
{
    if (node.dispatcher) {
        takeRenewReply(*node.dispatcher, reply, now.monotonic);
    }
}

void takeAdviceReply(Node &node, const AdviceReply &reply, Now now)
{
    const auto order = node.adviceOrders.find(reply.call);
    if (order != node.adviceOrders.end()) {
        AdviceReply remote = reply;
        remote.call = order->second.remoteCall;
        node.outbox.add(SendToNode{.node = order->second.node, .body = AdviceResult{.reply = std::move(remote)}});
        node.adviceOrders.erase(order);
    } else if (node.dispatcher) {
        takeAdvice(*node.dispatcher, reply, now.monotonic);
    }
}

void takeClient(Node &node, ClientCall call, milliseconds timeLeft, Now now)
{
    const CallId id = call.call;
    EntryCall &entry = node.entries[id];
    entry = {.call = std::move(call), .takenAt = now.monotonic, .deadline = now.monotonic + timeLeft};
    giveToLeader(node, entry, now);
}

void takePeerMessage(Node &node, std::string_view from, const PeerBody &body, Now now)
{
    if (from == node.leadership.leader.node) {
        node.leadership.leaderHeardAt = now.monotonic;
    }
    if (const auto *presence = std::get_if<Presence>(&body)) {
        takePresence(node, from, *presence, now);
    } else if (const auto *forwarded = std::get_if<ForwardedCall>(&body)) {
        takeForwarded(node, from, *forwarded, now);
    } else if (const auto *answered = std::get_if<ForwardedAnswer>(&body)) {
        takeForwardedAnswer(node, from, answered->answer);
    } else if (const auto *order = std::get_if<AdviceOrder>(&body)) {
        takeAdviceOrder(node, from, *order);
    } else if (const auto *result = std::get_if<AdviceResult>(&body)) {
        takeAdviceReply(node, result->reply, now);
    } else if (const auto *request = std::get_if<ConfigurationRequest>(&body)) {
        handleConfigurationRequest(node, from, *request);
    } else if (const auto *transfer = std::get_if<ConfigurationTransfer>(&body)) {
        handleConfigurationTransfer(node, from, *transfer, now);
    }
}

void nodeConnected(Node &node, std::string_view name, Now now)
{
    if (std::ranges::find(node.connectedNodes, name) == node.connectedNodes.end()) {
        node.connectedNodes.emplace_back(name);
    }
    node.outbox.add(SendToNode{.node = std::string(name), .body = presenceOf(node)});
    refreshAdviceLines(node);
    if (name == node.leadership.leader.node) {
        node.leadership.leaderConnected = true;
        node.leadership.leaderRefused = false;
        node.leadership.leaderHeardAt = now.monotonic;
        giveWaitingCalls(node, now);
    }
    logLine(LogLevel::Info, logPart, "Daemon connected. node={} connected={}", name, node.connectedNodes.size());
}

void nodeDisconnected(Node &node, std::string_view name, Now now)
{
    std::erase(node.connectedNodes, name);
    if (const auto peer = node.peers.find(name); peer != node.peers.end()) {
        node.peers.erase(peer);
    }
    refreshAdviceLines(node);
    if (name == node.leadership.leader.node) {
        node.leadership.leaderConnected = false;
        node.leadership.nextPoll = std::min(node.leadership.nextPoll, now.monotonic);
        for (auto &[call, entry] : node.entries) {
            entry.sent = false;
        }
    }
    logLine(LogLevel::Info, logPart, "Daemon lost. node={} connected={}", name, node.connectedNodes.size());
}

void dialFailed(Node &node, const Endpoint &endpoint, bool refused, Now)
{
    node.dialled = {};
    Leadership &leadership = node.leadership;
    if (endpoint == leadership.leader.endpoint && !leadership.leaderConnected) {
        leadership.leaderRefused = leadership.leaderRefused || refused;
    }
}

void tick(Node &node, Now now)
{
    tickConfiguration(node, now);
    tickMembership(node, now);
    tickLeadership(node, now);
    tickWorkers(node, now);
    // Before the jobs are inherited, the workers' lists would be taken for those of unknown jobs.
    if (isLeading(node)) {
        noteClaimState(node, now);
        doUpkeep(*node.dispatcher, now);
        if (node.dispatcher->deposed) {
            stepDown(node, StepDownKind::Replaced, "a newer leader's orders or records were seen", now);
        }
    }
    if (!isLeading(node) && !node.leadership.leaderConnected) {
        if (node.leadership.leader.token == 0) {
            dialSeed(node, now);
        } else {
            dialLeader(node);
        }
    }
    giveWaitingCalls(node, now);
    expireEntries(node, now);
    noteStoreState(node, now);
    sendPresence(node, now);
    tickReadiness(node, now);
}

void beginShutdown(Node &node, Now now)
{
    logLine(LogLevel::Info, logPart, "Shutdown begins. leads={} open_calls={}", isLeading(node), node.entries.size());
    node.shuttingDown = true;
    node.callsEndAt = now.monotonic + node.options.shutdownGrace - callsEndMargin;
    if (node.dispatcher) {
        stepDown(node, StepDownKind::Resigned, "shutdown", now);
    }
    if (node.membership.lease != 0) {
        node.outbox.add(StoreEndLease{.call = storeCall(node, StorePurpose::Ignored), .lease = node.membership.lease});
    }
    tickReadiness(node, now);
    sendPresence(node, now);
}

std::vector<Action> takeActions(Node &node)
{
    std::vector<Action> actions;
    for (Action &action : std::exchange(node.outbox.actions, {})) {
        const auto *answered = std::get_if<LeaderAnswer>(&action);
        if (answered == nullptr) {
            actions.push_back(std::move(action));
            continue;
        }
        ClientAnswer answer = answered->answer;
        const auto forwarded = node.forwarded.find(answer.call);
        if (forwarded == node.forwarded.end()) {
            finishEntry(node, answer.call, answer);
            continue;
        }
        answer.call = forwarded->second.remoteCall;
        actions.emplace_back(SendToNode{.node = forwarded->second.node, .body = ForwardedAnswer{.answer = answer}});
        node.forwarded.erase(forwarded);
    }
    std::ranges::move(std::exchange(node.outbox.actions, {}), std::back_inserter(actions));
    return actions;
}

} // namespace wigeonkeel::dispatch
