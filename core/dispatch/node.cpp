#include "core/dispatch/node.h"

#include "core/dispatch/configuration_watch.h"
#include "core/dispatch/leadership.h"
#include "core/dispatch/succession.h"
#include "core/log.h"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "node";
constexpr std::string_view memberPrefix = "wk/node/";
/// Time to live of a daemon's entry in the store without a keep-alive.
constexpr milliseconds memberLease{6000};
constexpr milliseconds memberKeepAliveInterval{2000};
constexpr milliseconds memberRetry{500};
constexpr milliseconds memberKeepAliveTimeout{700};
constexpr milliseconds memberListInterval{2000};
constexpr milliseconds memberListRetry{150};
/// Interval at which the leader reads the worker directory. A draining worker must get no start after 2 s.
constexpr milliseconds workerPollInterval{600};
constexpr milliseconds workerPollRetry{150};
constexpr milliseconds presenceInterval{300};
/// An echo of an older presence message proves nothing that is still of use.
constexpr milliseconds presenceSendTimesKept{2000};
/// Two heartbeats and a half.
constexpr milliseconds leaderResponsiveTime{700};
/// After its writes have failed for this long, a leader reports it so that a daemon that reaches the store takes over.
/// Longer than four attempts at a transaction whose replies are lost.
constexpr milliseconds storeFailureReportDelay{650};
/// A daemon that knows no leader dials a randomly chosen seed at this interval.
constexpr milliseconds seedInterval{700};
/// A daemon whose leader is missing tries the leader's endpoint and a seed in turn, for this long each. It covers the
/// round trip between zones several times; a lost packet costs a turn.
constexpr milliseconds leaderSearchTurn{300};
/// A call that could not be sent to any leader is rejected after this. A takeover takes less than a second.
constexpr milliseconds leaderlessCallTimeout{1100};
constexpr milliseconds noLeaderRetryAfter{1000};
/// A call that was forwarded this long ago has arrived: a connection without messages for a second is closed.
constexpr milliseconds forwardTime{2000};
/// Index entries of a call, here and at the front end.
constexpr std::size_t callOverhead = 256;
/// The answer is sent this long before the client's deadline. If the client left little time, the margin is only a
/// fraction of it: a client's last attempt may have a tenth of a second, which is enough to accept a job.
constexpr milliseconds answerMargin{150};
constexpr int shortDeadlineDivisor = 4;
/// Longest wait of a query for the end of its job: people take a longer delay for a stalled service. A wait is also
/// limited to a fraction of the client's time, so that an answer that is lost leaves time for another query.
constexpr milliseconds maxQueryWait{500};
constexpr int queryWaitDivisor = 4;
/// During shutdown, all calls are answered this long before the platform kills the process. The process exits 0.2 s
/// after that, which leaves time to write the answers.
constexpr milliseconds shutdownAnswerMargin{900};
/// After this long without a message from the leader, the daemon is not ready for new connections.
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

/// When the call is answered even if its outcome is unknown.
MonotonicTime answerDue(const Node &node, const EntryCall &entry)
{
    const MonotonicTime until = std::min(entry.deadline, node.callsEndAt);
    const auto margin
        = std::min<MonotonicTime::duration>(answerMargin, (until - entry.receivedAt) / shortDeadlineDivisor);
    return until - std::max(margin, MonotonicTime::duration::zero());
}

std::size_t bytesOf(const ClientCall &call)
{
    return sizeof(EntryCall) + callOverhead + call.queue.size() + call.tenant.size() + call.record.size();
}

/// Whether the call fits into what may be on its way to the leader. The largest call fits alone.
bool takeForwardBudget(Node &node, const ClientCall &call)
{
    const std::size_t bytes = bytesOf(call);
    if (bytes > node.forwardBudget && node.forwardBudget < maxForwardedBytes) {
        return false;
    }
    node.forwardBudget -= std::min(bytes, node.forwardBudget);
    return true;
}

void sendToLeader(Node &node, EntryCall &entry, Now now)
{
    const MonotonicTime due = answerDue(node, entry);
    if (now.monotonic >= due) {
        // The leader's answer would come too late. A call that was never sent to a leader can be rejected instead.
        return;
    }
    if (entry.call.kind == ClientCallKind::Query) {
        const auto fraction = std::chrono::floor<milliseconds>((due - now.monotonic) / queryWaitDivisor);
        entry.call.wait = std::min(maxQueryWait, fraction);
    }
    if (isLeading(node)) {
        entry.sent = true;
        entry.everSent = true;
        handleClientCall(*node.dispatcher, entry.call, now);
    } else if (node.leadership.leaderConnected && takeForwardBudget(node, entry.call)) {
        entry.sent = true;
        entry.sentAt = now.monotonic;
        entry.everSent = true;
        node.outbox.add(SendToNode{.node = node.leadership.leader.node, .body = ForwardedCall{.call = entry.call}});
    }
}

void sendWaitingCalls(Node &node, Now now)
{
    std::size_t forwarded = 0;
    for (const auto &[call, entry] : node.entries) {
        forwarded += entry.sent && now.monotonic - entry.sentAt < forwardTime ? bytesOf(entry.call) : 0;
    }
    node.forwardBudget = maxForwardedBytes - std::min(forwarded, maxForwardedBytes);
    for (auto &[call, entry] : node.entries) {
        if (!entry.sent) {
            sendToLeader(node, entry, now);
        }
    }
}

void finishEntry(Node &node, CallId call, const ClientAnswer &answer)
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
    node.entryBytes -= bytesOf(found->second.call);
    node.abandonedEntries.erase(call);
    node.entries.erase(found);
}

/// Answers the calls of clients that are gone. Those that are on their way to the leader stay, because they count
/// towards what may be.
void dropAbandonedCalls(Node &node)
{
    const std::vector<CallId> abandoned(node.abandonedEntries.begin(), node.abandonedEntries.end());
    for (const CallId call : abandoned) {
        const EntryCall &entry = node.entries.at(call);
        if (entry.sent && !isLeading(node)) {
            continue;
        }
        finishEntry(node, call,
            {.call = call,
                .outcome = entry.everSent ? ClientOutcome::Unknown : ClientOutcome::Refused,
                .retryAfter = noLeaderRetryAfter});
    }
}

bool hasRoomFor(const Node &node, const ClientCall &call)
{
    return node.entryBytes + bytesOf(call) <= node.options.callMemoryBytes;
}

/// Answers calls whose time is up and calls that could not be sent to a leader in time.
void expireEntries(Node &node, Now now)
{
    std::vector<ClientAnswer> expired;
    for (const auto &[call, entry] : node.entries) {
        const bool late = now.monotonic >= answerDue(node, entry);
        const bool leaderless = !entry.everSent && now.monotonic - entry.receivedAt > leaderlessCallTimeout;
        if (late && entry.everSent) {
            expired.push_back({.call = call, .outcome = ClientOutcome::Unknown});
        } else if (late || leaderless) {
            expired.push_back({.call = call, .outcome = ClientOutcome::Refused, .retryAfter = noLeaderRetryAfter});
        }
    }
    for (const ClientAnswer &answer : expired) {
        logCall(node.callLog, CallLine::Unanswered, now.monotonic, logPart,
            "Call answered without a leader's answer. call={} outcome={} leader={} job={}", answer.call,
            answer.outcome == ClientOutcome::Refused ? "refused" : "unknown", node.leadership.leader.node,
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
                StoreOpenLease{.call = newStoreCall(node, StorePurpose::MemberLease), .timeToLive = memberLease});
        } else if (!membership.written) {
            node.outbox.add(StoreTransaction{.call = newStoreCall(node, StorePurpose::MemberWrite),
                .conditions = {},
                .writes = {{.key = fmt::format("{}{}", memberPrefix, node.options.name),
                    .value = fmt::format("{}", node.options.cpuMilli),
                    .lease = membership.lease}},
                .deletes = {},
                .timeout = memberRetry});
        } else {
            node.outbox.add(StoreKeepAlive{.call = newStoreCall(node, StorePurpose::MemberKeepAlive),
                .lease = membership.lease,
                .timeout = memberKeepAliveTimeout});
        }
    }
    if (now.monotonic >= membership.nextList) {
        const bool ranksKnown = areRanksKnown(node, now);
        membership.nextList = now.monotonic + (ranksKnown ? memberListInterval : memberListRetry);
        node.outbox.add(StoreRange{.call = newStoreCall(node, StorePurpose::MemberList),
            .prefix = std::string(memberPrefix),
            .after = {},
            .allowStale = ranksKnown});
    }
}

void handleMemberReply(Node &node, StorePurpose purpose, const StoreReply &reply, Now now)
{
    Membership &membership = node.membership;
    membership.callOpen = false;
    const bool ok = reply.status == CallStatus::Ok;
    if (!ok) {
        logLine(LogLevel::Info, logPart,
            "This daemon's entry in the store could not be written or renewed. purpose={} status={}",
            static_cast<int>(purpose), static_cast<int>(reply.status));
    }
    membership.nextStep
        = now.monotonic + (ok && purpose != StorePurpose::MemberKeepAlive ? milliseconds(0) : memberRetry);
    if (ok && purpose == StorePurpose::MemberLease) {
        membership.lease = reply.lease;
        membership.written = false;
    } else if (ok && purpose == StorePurpose::MemberWrite) {
        membership.written = true;
        membership.nextStep = now.monotonic + memberKeepAliveInterval;
    } else if (ok) {
        membership.nextStep = now.monotonic + memberKeepAliveInterval;
    } else if (reply.status == CallStatus::NotFound) {
        membership.lease = 0;
        membership.written = false;
    }
}

void handleMemberList(Node &node, const StoreReply &reply, Now now)
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
    node.outbox.add(ReadWorkers{
        .call = node.workerPoll.call, .timeout = lengthenTimeout(storeCallTimeout, node.workerPoll.timeouts)});
}

/// Numbers the presence messages that are sent now.
void numberPresence(Node &node, MonotonicTime now)
{
    if (node.presenceNumber == 0) {
        // The numbers of a former process of this name must not look like this one's. The upper half is left free so
        // that the numbers don't wrap.
        node.presenceNumber = nextRandom(node.random) >> 1;
    }
    ++node.presenceNumber;
    std::erase_if(
        node.presencesSent, [now](const PresenceSent &sent) { return now - sent.at > presenceSendTimesKept; });
    node.presencesSent.push_back({.number = node.presenceNumber, .at = now});
}

void sendPresenceTo(Node &node, std::string_view name)
{
    Presence presence = presenceOf(node);
    presence.number = node.presenceNumber;
    const auto peer = node.peers.find(name);
    presence.echo = peer == node.peers.end() ? 0 : peer->second.presenceNumber;
    node.outbox.add(SendToNode{.node = std::string(name), .body = std::move(presence)});
}

void sendPresence(Node &node, Now now)
{
    if (now.monotonic < node.nextPresence) {
        return;
    }
    node.nextPresence = now.monotonic + presenceInterval;
    numberPresence(node, now.monotonic);
    for (const std::string &name : node.connectedNodes) {
        sendPresenceTo(node, name);
    }
}

/// When the leader's writes start or stop failing, its followers are notified at once, as the store may still serve
/// them.
void updateStoreState(Node &node, Now now)
{
    bool failing = false;
    if (isLeading(node)) {
        const StoreHealth &health = node.dispatcher->commits.health;
        failing = health.failing && now.monotonic - health.failingSince > storeFailureReportDelay;
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

/// Age in milliseconds of the daemon's newest report that it can't reach the store, counted from what it echoes; -1 if
/// there is none.
std::int64_t reportAge(const Node &node, std::string_view name, Now now)
{
    const auto peer = node.peers.find(name);
    if (peer == node.peers.end() || !peer->second.storeFailingAfter) {
        return -1;
    }
    return std::chrono::floor<milliseconds>(now.monotonic - *peer->second.storeFailingAfter).count();
}

/// Leases are extended and tasks started only while no successor can be giving orders.
void updateLeaseExtension(Node &node, Now now)
{
    const bool safe = isLeaseExtensionSafe(node, now);
    if (safe != node.dispatcher->canExtendLeases) {
        node.dispatcher->canExtendLeases = safe;
        node.dispatcher->placementDue = true;
        const std::string_view mayLead = daemonThatMayLead(node, now);
        logLine(LogLevel::Info, logPart,
            "Leases are {}. token={} claim_confirmed_ms_ago={} may_lead={} its_report_ms_ago={}",
            safe ? "extended again" : "not extended because another daemon may lead", node.dispatcher->token,
            std::chrono::floor<milliseconds>(now.monotonic - node.dispatcher->claimConfirmedAt).count(), mayLead,
            reportAge(node, mayLead, now));
    }
}

void updateAdviceChannels(Node &node)
{
    if (!node.dispatcher) {
        return;
    }
    std::vector<std::string> names{""};
    names.insert(names.end(), node.connectedNodes.begin(), node.connectedNodes.end());
    setAdviceChannels(node.dispatcher->advisor, names);
}

/// Connects to a random seed other than this daemon, the known leader and the endpoint that was dialled last.
void dialSeed(Node &node)
{
    std::vector<Endpoint> others;
    std::ranges::copy_if(node.options.seeds, std::back_inserter(others), [&node](const Endpoint &seed) {
        return seed != node.options.endpoint && seed != node.dialled && seed != node.leadership.leader.endpoint;
    });
    if (!others.empty()) {
        node.dialled = others[randomBelow(node.random, others.size())];
        node.outbox.add(DialNode{.endpoint = node.dialled});
    }
}

/// Connects to a daemon that knows the leader. A leader that was replaced may still accept connections, and a daemon
/// that can't read the store learns from no one but the other daemons who leads now.
void searchLeader(Node &node, Now now)
{
    Leadership &leadership = node.leadership;
    if (leadership.leader.token == 0) {
        if (now.monotonic >= node.nextSeed) {
            node.nextSeed = now.monotonic + seedInterval;
            dialSeed(node);
        }
        return;
    }
    leadership.leaderMissingSince = std::min(leadership.leaderMissingSince, now.monotonic);
    const auto turn = (now.monotonic - leadership.leaderMissingSince) / leaderSearchTurn;
    if (turn % 2 == 0) {
        dialLeader(node, now);
    } else if (turn != leadership.searchTurn) {
        dialSeed(node);
    }
    leadership.searchTurn = turn;
}

void tickReadiness(Node &node, Now now)
{
    const std::optional<MonotonicTime> &heardAt = node.leadership.lastLeaderMessageAt;
    const bool led = isLeading(node) || (heardAt && now.monotonic - *heardAt < readyWithoutLeader);
    setReady(node, node.hasConfiguration && led && !node.shuttingDown);
}

void recordPeerState(Node &node, std::string_view from, const Presence &presence)
{
    PeerState &peer = node.peers[std::string(from)];
    peer.cpuMilli = presence.cpuMilli;
    peer.storeFailing = presence.storeFailing;
    peer.presenceNumber = presence.number;
    if (!presence.storeFailing) {
        peer.storeReachedNumber = node.presenceNumber;
        peer.storeFailingAfter.reset();
        return;
    }
    const auto sent = std::ranges::find(node.presencesSent, presence.echo, &PresenceSent::number);
    if (sent != node.presencesSent.end() && presence.echo > peer.storeReachedNumber) {
        peer.storeFailingAfter = std::max(peer.storeFailingAfter.value_or(sent->at), sent->at);
    }
}

void handlePresence(Node &node, std::string_view from, const Presence &presence, Now now)
{
    Leadership &leadership = node.leadership;
    recordPeerState(node, from, presence);
    if (from == leadership.leader.node && !isLeading(node)) {
        if (presence.leader.token == 0 && leadership.leaderConnected) {
            // The leader has resigned; its claim is deleted or about to be.
            leadership.leaderConnected = false;
            leadership.claimMissing = true;
            leadership.claimMissingSince = now.monotonic;
        } else {
            leadership.lastLeaderMessageAt = now.monotonic;
            leadership.leaderStoreFailing = presence.storeFailing && presence.leader.token == leadership.leader.token;
        }
    }
    followLeader(node, presence.leader, now);
    handlePeerConfigurationVersion(node, from, presence.configVersion, now);
}

void handleForwardedCall(Node &node, std::string_view from, const ForwardedCall &forwarded, Now now)
{
    const ClientCall &remote = forwarded.call;
    if (!isLeading(node)) {
        node.outbox.add(SendToNode{.node = std::string(from),
            .body = ForwardedAnswer{.answer = {.call = remote.call, .outcome = ClientOutcome::NotLeader}}});
        return;
    }
    ClientCall own = remote;
    own.call = node.outbox.newCall();
    node.forwarded.emplace(own.call, CallOrigin{.node = std::string(from), .remoteCall = remote.call});
    handleClientCall(*node.dispatcher, own, now);
}

/// A former leader's answer is ignored unless it is Ok: the call was also sent to its successor, which may have
/// accepted it.
void handleForwardedAnswer(Node &node, std::string_view from, const ClientAnswer &answer, MonotonicTime now)
{
    if (from != node.leadership.leader.node && answer.outcome != ClientOutcome::Ok) {
        logCall(node.callLog, CallLine::LateAnswer, now, logPart,
            "A former leader's answer is ignored. call={} node={} leader={}", answer.call, from,
            node.leadership.leader.node);
        return;
    }
    finishEntry(node, answer.call, answer);
}

void handleAdviceOrder(Node &node, std::string_view from, const AdviceOrder &order)
{
    RequestAdvice own = order.request;
    own.call = node.outbox.newCall();
    node.adviceOrders.emplace(own.call, CallOrigin{.node = std::string(from), .remoteCall = order.request.call});
    node.outbox.add(std::move(own));
}

} // namespace

CallId newStoreCall(Node &node, StorePurpose purpose)
{
    const CallId call = node.outbox.newCall();
    node.storeCalls.emplace(call, purpose);
    return call;
}

bool isLeading(const Node &node)
{
    return node.dispatcher != nullptr && node.leadership.phase == ClaimPhase::Leading;
}

bool isLeaderResponsive(const Leadership &leadership, Now now)
{
    return leadership.leaderConnected && leadership.lastLeaderMessageAt
        && now.monotonic - *leadership.lastLeaderMessageAt < leaderResponsiveTime;
}

Presence presenceOf(const Node &node)
{
    return {.node = node.options.name,
        .leader = node.leadership.phase == ClaimPhase::Following && isFromThisEndpoint(node, node.leadership.leader)
            ? LeaderInfo{}
            : node.leadership.leader,
        .configVersion = node.configuration.version,
        .cpuMilli = node.options.cpuMilli,
        // The last poll may have failed after this daemon's claim was executed. An attempt to claim therefore counts
        // as reaching the store.
        .storeFailing = isLeading(node) ? node.storeFailing
                                        : node.leadership.pollFailed && node.leadership.phase == ClaimPhase::Following};
}

void handleStoreReply(Node &node, const StoreReply &reply, Now now)
{
    const auto found = node.storeCalls.find(reply.call);
    if (found == node.storeCalls.end()) {
        if (node.dispatcher) {
            handleStoreReply(*node.dispatcher, reply, now);
        }
        return;
    }
    const StorePurpose purpose = found->second;
    node.storeCalls.erase(found);
    if (handleLeadershipReply(node, purpose, reply, now)) {
        return;
    }
    if (purpose == StorePurpose::MemberList) {
        handleMemberList(node, reply, now);
    } else if (purpose != StorePurpose::Ignored) {
        handleMemberReply(node, purpose, reply, now);
    }
}

void handleWorkersReply(Node &node, const WorkersReply &reply, Now now)
{
    if (!node.dispatcher || reply.call != node.workerPoll.call) {
        return;
    }
    node.workerPoll.open = false;
    node.workerPoll.timeouts = reply.status == CallStatus::Unknown ? node.workerPoll.timeouts + 1 : 0;
    if (reply.status != CallStatus::Ok) {
        node.workerPoll.next = now.monotonic + workerPollRetry;
        return;
    }
    node.workerPoll.next = now.monotonic + workerPollInterval;
    updateWorkers(*node.dispatcher, reply.workers, now.monotonic);
    if (node.leadership.phase == ClaimPhase::LoadingWorkers) {
        startLeading(node, now);
        updateAdviceChannels(node);
        sendWaitingCalls(node, now);
    }
}

void handleOrderReply(Node &node, const OrderReply &reply, Now now)
{
    if (node.dispatcher) {
        handleOrderReply(*node.dispatcher, reply, now.monotonic);
    }
}

void handleRenewReply(Node &node, const RenewReply &reply, Now now)
{
    if (node.dispatcher) {
        handleRenewReply(*node.dispatcher, reply, now);
    }
}

void handleAdviceReply(Node &node, const AdviceReply &reply, Now now)
{
    const auto order = node.adviceOrders.find(reply.call);
    if (order != node.adviceOrders.end()) {
        AdviceReply remote = reply;
        remote.call = order->second.remoteCall;
        node.outbox.add(SendToNode{.node = order->second.node, .body = AdviceResult{.reply = std::move(remote)}});
        node.adviceOrders.erase(order);
    } else if (node.dispatcher) {
        handleAdviceReply(*node.dispatcher, reply, now.monotonic);
    }
}

void handleClientCall(Node &node, ClientCall call, milliseconds timeLeft, Now now)
{
    const CallId id = call.call;
    if (!hasRoomFor(node, call)) {
        dropAbandonedCalls(node);
    }
    if (!hasRoomFor(node, call)) {
        ++node.callsRefusedByMemory;
        logCall(node.callLog, CallLine::NoRoomForCall, now.monotonic, logPart,
            "Call refused: calls that wait take too much memory. job={} bytes={} limit={}", formatJobId(call.job),
            node.entryBytes, node.options.callMemoryBytes);
        node.outbox.add(AnswerClient{.kind = call.kind,
            .answer = {.call = id, .outcome = ClientOutcome::Refused, .retryAfter = noLeaderRetryAfter}});
        return;
    }
    node.entryBytes += bytesOf(call);
    EntryCall &entry = node.entries[id];
    entry = {.call = std::move(call), .receivedAt = now.monotonic, .deadline = now.monotonic + timeLeft};
    sendToLeader(node, entry, now);
}

void handleClientGone(Node &node, CallId call)
{
    if (node.entries.contains(call)) {
        node.abandonedEntries.insert(call);
    }
}

void handlePeerMessage(Node &node, std::string_view from, const PeerBody &body, Now now)
{
    if (from == node.leadership.leader.node) {
        node.leadership.lastLeaderMessageAt = now.monotonic;
    }
    if (const auto *presence = std::get_if<Presence>(&body)) {
        handlePresence(node, from, *presence, now);
    } else if (const auto *forwarded = std::get_if<ForwardedCall>(&body)) {
        handleForwardedCall(node, from, *forwarded, now);
    } else if (const auto *answered = std::get_if<ForwardedAnswer>(&body)) {
        handleForwardedAnswer(node, from, answered->answer, now.monotonic);
    } else if (const auto *order = std::get_if<AdviceOrder>(&body)) {
        handleAdviceOrder(node, from, *order);
    } else if (const auto *result = std::get_if<AdviceResult>(&body)) {
        handleAdviceReply(node, result->reply, now);
    } else if (const auto *request = std::get_if<ConfigurationRequest>(&body)) {
        handleConfigurationRequest(node, from, *request);
    } else if (const auto *transfer = std::get_if<ConfigurationTransfer>(&body)) {
        handleConfigurationTransfer(node, from, *transfer, now);
    }
}

void handleNodeConnected(Node &node, std::string_view name, Now now)
{
    if (std::ranges::find(node.connectedNodes, name) == node.connectedNodes.end()) {
        node.connectedNodes.emplace_back(name);
    }
    numberPresence(node, now.monotonic);
    sendPresenceTo(node, name);
    updateAdviceChannels(node);
    if (name == node.leadership.leader.node) {
        node.leadership.leaderConnected = true;
        node.leadership.leaderConnectionRefused = false;
        node.leadership.lastLeaderMessageAt = now.monotonic;
        sendWaitingCalls(node, now);
    }
    logLine(LogLevel::Info, logPart, "Daemon connected. node={} connected={}", name, node.connectedNodes.size());
}

void handleNodeDisconnected(Node &node, std::string_view name, Now now)
{
    std::erase(node.connectedNodes, name);
    keepUnlistedMember(node, name, now);
    if (const auto peer = node.peers.find(name); peer != node.peers.end()) {
        node.peers.erase(peer);
    }
    updateAdviceChannels(node);
    if (name == node.leadership.leader.node) {
        node.leadership.leaderConnected = false;
        node.leadership.nextPoll = std::min(node.leadership.nextPoll, now.monotonic);
        for (auto &[call, entry] : node.entries) {
            entry.sent = false;
        }
    }
    logLine(LogLevel::Info, logPart, "Daemon disconnected. node={} connected={}", name, node.connectedNodes.size());
}

void handleDialFailure(Node &node, const Endpoint &endpoint, bool refused, Now)
{
    node.dialled = {};
    Leadership &leadership = node.leadership;
    if (endpoint == leadership.leader.endpoint && !leadership.leaderConnected) {
        leadership.leaderConnectionRefused = leadership.leaderConnectionRefused || refused;
    }
}

void tick(Node &node, Now now)
{
    while (node.identity == 0) {
        node.identity = nextRandom(node.random);
    }
    node.outbox.link.bytesPerSecond = node.options.linkBytesPerSecond;
    tickConfiguration(node, now);
    tickMembership(node, now);
    tickLeadership(node, now);
    tickWorkers(node, now);
    // Until the takeover has loaded the jobs, the runs in workers' lists would look like unknown runs.
    if (isLeading(node)) {
        updateLeaseExtension(node, now);
        runMaintenance(*node.dispatcher, now);
        if (node.dispatcher->deposed) {
            stepDown(node, StepDownKind::Replaced, "a newer leader's orders or records were seen", now);
        }
    }
    if (isLeading(node) || node.leadership.leaderConnected) {
        node.leadership.leaderMissingSince = MonotonicTime::max();
    } else {
        searchLeader(node, now);
    }
    sendWaitingCalls(node, now);
    expireEntries(node, now);
    updateStoreState(node, now);
    sendPresence(node, now);
    tickReadiness(node, now);
}

void beginShutdown(Node &node, Now now)
{
    logLine(LogLevel::Info, logPart, "Shutdown begins. leads={} open_calls={}", isLeading(node), node.entries.size());
    node.shuttingDown = true;
    node.callsEndAt = now.monotonic + node.options.shutdownGrace - shutdownAnswerMargin;
    if (node.dispatcher) {
        stepDown(node, StepDownKind::Resigned, "shutdown", now);
    }
    if (node.membership.lease != 0) {
        node.outbox.add(
            StoreEndLease{.call = newStoreCall(node, StorePurpose::Ignored), .lease = node.membership.lease});
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
