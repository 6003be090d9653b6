#include "core/dispatch/leadership.h"

#include "core/dispatch/records.h"
#include "core/dispatch/succession.h"
#include "core/log.h"
#include "core/number_text.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "leader";
constexpr std::string_view controlPrefix = "wk/ctl/";
constexpr std::string_view claimKey = "wk/ctl/leader";
/// Written with every claim, but without a lease. Its revision shows whether another daemon has led since, even if that
/// daemon's claim no longer exists. The value also holds the identity of the process that claimed. It is not in the
/// claim because daemons of the previous version reject a claim with a fourth field and would not follow.
constexpr std::string_view termKey = "wk/ctl/term";
/// Keep-alives are sent four times within the duration of the lease, so that single lost replies don't end it.
constexpr milliseconds keepAliveInterval{250};
constexpr milliseconds keepAliveRetry{100};
/// Longest wait for the reply to a keep-alive. It covers a store that is a hundred times as slow as usual.
constexpr milliseconds maxKeepAliveTimeout{700};
constexpr milliseconds minKeepAliveTimeout{250};
constexpr milliseconds claimTimeout{750};
/// Failures of the store that last this long count as an outage, not as a single lost reply.
constexpr milliseconds minOutageDuration{500};
/// Intervals at which followers poll the claim. The last one applies while the leader is healthy. Otherwise the
/// interval lies between the first two, and is shorter the higher the follower's rank.
constexpr milliseconds highestRankPollInterval{150};
constexpr milliseconds lowestRankPollInterval{400};
constexpr milliseconds healthyLeaderPollInterval{1500};
/// An attempt to claim that takes longer is abandoned and starts again.
constexpr milliseconds claimAttemptTimeout{3000};
constexpr milliseconds claimRetry{200};
constexpr milliseconds pauseAfterResigning{4000};
/// Shortest time between two attempts to connect to the same leader. A refused attempt fails within a round trip, so
/// that attempts without a pause would take most of a small VM's processor.
constexpr milliseconds dialInterval{100};
/// Pause before a page of records is read again after a failure. A store that refuses calls does so within a round
/// trip.
constexpr milliseconds loadRetry{50};
/// Largest page of records, by the platform's contract.
constexpr double largestPageBytes = 1 << 20;

void setPhase(Node &node, ClaimPhase phase, MonotonicTime now)
{
    node.leadership.phase = phase;
    node.leadership.phaseSince = now;
}

std::string encodeClaim(const Node &node)
{
    return fmt::format("{} {} {}", node.options.name, node.options.endpoint.ip, node.options.endpoint.port);
}

std::string encodeTerm(const Node &node)
{
    return fmt::format("{} {}", node.options.name, node.identity);
}

/// The identity in a term; 0 if its writer's version did not write one.
std::uint64_t identityInTerm(const StoreItem &term)
{
    const auto space = term.value.find(' ');
    return space == std::string::npos
        ? 0
        : parseInteger<std::uint64_t>(std::string_view(term.value).substr(space + 1)).value_or(0);
}

LeaderInfo decodeClaim(const StoreItem &item)
{
    LeaderInfo leader{.token = item.revision, .node = {}, .endpoint = {}};
    const auto first = item.value.find(' ');
    const auto second = item.value.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        return {};
    }
    leader.node = item.value.substr(0, first);
    leader.endpoint.ip = item.value.substr(first + 1, second - first - 1);
    const auto port = parseInteger<std::uint16_t>(std::string_view(item.value).substr(second + 1));
    if (!port || *port == 0) {
        return {};
    }
    leader.endpoint.port = *port;
    return leader;
}

const StoreItem *findItem(std::span<const StoreItem> items, std::string_view key)
{
    const auto found = std::ranges::find(items, key, &StoreItem::key);
    return found == items.end() || found->revision == 0 ? nullptr : &*found;
}

/// The claim among the control keys, with its writer's identity. The term belongs to it if the same transaction wrote
/// both.
LeaderInfo findClaim(std::span<const StoreItem> items)
{
    const StoreItem *claim = findItem(items, claimKey);
    if (claim == nullptr) {
        return {};
    }
    LeaderInfo leader = decodeClaim(*claim);
    const StoreItem *term = findItem(items, termKey);
    if (term != nullptr && term->revision == claim->revision) {
        leader.identity = identityInTerm(*term);
    }
    return leader;
}

void readControl(Node &node, StorePurpose purpose, bool allowStale)
{
    node.outbox.add(StoreRange{.call = newStoreCall(node, purpose),
        .prefix = std::string(controlPrefix),
        .after = {},
        .allowStale = allowStale});
}

void beginClaim(Node &node, MonotonicTime now)
{
    node.leadership.claimAt = MonotonicTime::max();
    setPhase(node, ClaimPhase::ReadingControl, now);
    readControl(node, StorePurpose::ClaimControl, false);
}

bool isLeadershipPurpose(StorePurpose purpose)
{
    return purpose >= StorePurpose::ClaimControl && purpose <= StorePurpose::ReclaimWrite;
}

void abandonClaim(Node &node, MonotonicTime now)
{
    // A reply that arrives later must not be mistaken for one that belongs to the next attempt.
    absl::erase_if(node.storeCalls, [](const auto &entry) { return isLeadershipPurpose(entry.second); });
    setPhase(node, ClaimPhase::Following, now);
    node.leadership.loadedJobs.clear();
    node.leadership.loadedProgress.clear();
    node.leadership.failedLoad.reset();
    node.leadership.claimAt = MonotonicTime::max();
    node.leadership.formerLease = 0;
    node.leadership.claimFailedAt = now;
    node.leadership.noClaimUntil = now + claimRetry;
    node.leadership.nextPoll = now + claimRetry;
}

void handlePollReply(Node &node, const StoreReply &reply, Now now)
{
    Leadership &leadership = node.leadership;
    leadership.pollOpen = false;
    leadership.pollFailed = reply.status != CallStatus::Ok;
    if (leadership.pollFailed) {
        leadership.storeAnsweringSince = MonotonicTime::max();
        return;
    }
    leadership.polledAt = now.monotonic;
    leadership.storeAnsweringSince = std::min(leadership.storeAnsweringSince, now.monotonic);
    const StoreItem *claim = findItem(reply.items, claimKey);
    if (claim == nullptr) {
        if (!leadership.claimMissing) {
            leadership.claimMissing = true;
            leadership.claimMissingSince = now.monotonic;
        }
        leadership.nextPoll = now.monotonic + claimRetry;
        return;
    }
    leadership.claimMissing = false;
    followLeader(node, findClaim(reply.items), now);
}

void requestLease(Node &node, StorePurpose purpose, MonotonicTime now)
{
    node.leadership.leaseRequestedAt = now;
    node.outbox.add(StoreOpenLease{.call = newStoreCall(node, purpose), .timeToLive = claimLease});
}

/// Ends the lease of a claim before it is replaced. While that lease lasts, its owner's keep-alives succeed even though
/// another claim has been written, and the owner would take its own for confirmed.
void endFormerLease(Node &node, std::uint64_t lease, MonotonicTime now)
{
    if (node.leadership.formerLease == lease) {
        // It was ended already and its keys are still present.
        abandonClaim(node, now);
        return;
    }
    node.leadership.formerLease = lease;
    setPhase(node, ClaimPhase::EndingFormerLease, now);
    node.outbox.add(StoreEndLease{.call = newStoreCall(node, StorePurpose::ClaimEndFormerLease), .lease = lease});
}

void handleFormerLeaseReply(Node &node, const StoreReply &reply, Now now)
{
    if (node.leadership.phase != ClaimPhase::EndingFormerLease) {
        return;
    }
    if (reply.status != CallStatus::Ok && reply.status != CallStatus::NotFound) {
        abandonClaim(node, now.monotonic);
        return;
    }
    beginClaim(node, now.monotonic);
}

/// The control keys were read before a claim. This read is never stale.
void handleClaimControlReply(Node &node, const StoreReply &reply, Now now)
{
    Leadership &leadership = node.leadership;
    if (leadership.phase != ClaimPhase::ReadingControl) {
        return;
    }
    if (reply.status != CallStatus::Ok) {
        abandonClaim(node, now.monotonic);
        return;
    }
    const StoreItem *claim = findItem(reply.items, claimKey);
    if (claim != nullptr) {
        const LeaderInfo present = findClaim(reply.items);
        const bool isGone = (leadership.leaderConnectionRefused || leadership.leaderStoreFailing)
            && present.token == leadership.leader.token;
        if (!isGone && !isFromThisEndpoint(node, present)) {
            abandonClaim(node, now.monotonic);
            leadership.claimMissing = false;
            followLeader(node, present, now);
            return;
        }
    }
    if (claim != nullptr && claim->lease != 0) {
        endFormerLease(node, claim->lease, now.monotonic);
        return;
    }
    leadership.control = reply.items;
    setPhase(node, ClaimPhase::OpeningLease, now.monotonic);
    requestLease(node, StorePurpose::ClaimLease, now.monotonic);
}

std::uint64_t revisionOf(const Leadership &leadership, std::string_view key)
{
    const StoreItem *item = findItem(leadership.control, key);
    return item == nullptr ? 0 : item->revision;
}

/// A transaction that writes the claim under the current lease if claim and term have these revisions (0: the key is
/// absent).
StoreTransaction claimTransaction(
    Node &node, StorePurpose purpose, std::uint64_t claimRevision, std::uint64_t termRevision)
{
    return {.call = newStoreCall(node, purpose),
        .conditions = {{.key = std::string(claimKey), .revision = claimRevision},
            {.key = std::string(termKey), .revision = termRevision}},
        .writes = {{.key = std::string(claimKey), .value = encodeClaim(node), .lease = node.leadership.lease},
            {.key = std::string(termKey), .value = encodeTerm(node)}},
        .deletes = {},
        .timeout = claimTimeout};
}

void handleClaimLeaseReply(Node &node, const StoreReply &reply, Now now)
{
    Leadership &leadership = node.leadership;
    if (leadership.phase != ClaimPhase::OpeningLease) {
        return;
    }
    if (reply.status != CallStatus::Ok) {
        abandonClaim(node, now.monotonic);
        return;
    }
    leadership.lease = reply.lease;
    StoreTransaction claim = claimTransaction(
        node, StorePurpose::ClaimWrite, revisionOf(leadership, claimKey), revisionOf(leadership, termKey));
    for (std::size_t stream = 0; stream < commitStreamCount; ++stream) {
        const std::string key = chainKey(stream);
        claim.conditions.push_back({.key = key, .revision = revisionOf(leadership, key)});
        claim.writes.push_back({.key = key, .value = fmt::format("claim {}", node.options.name)});
    }
    setPhase(node, ClaimPhase::WritingClaim, now.monotonic);
    node.outbox.add(std::move(claim));
}

/// How long to wait for a page of records: it has to cross this daemon's link. A page that is given up too early has to
/// cross the link again, and the takeover would never finish.
milliseconds pageTimeout(const Node &node)
{
    const double rate = node.options.linkBytesPerSecond;
    const std::chrono::duration<double> transfer(rate > 0 ? largestPageBytes / rate : 0.0);
    return lengthenTimeout(storeCallTimeout + std::chrono::ceil<milliseconds>(transfer), node.leadership.loadTimeouts);
}

void loadPage(Node &node, StorePurpose purpose, std::string_view prefix)
{
    node.outbox.add(StoreRange{.call = newStoreCall(node, purpose),
        .prefix = std::string(prefix),
        .after = node.leadership.loadAfter,
        .timeout = pageTimeout(node)});
}

/// Requests the page again after a pause.
void retryLoad(Node &node, StorePurpose purpose, const StoreReply &reply, Now now)
{
    if (reply.status == CallStatus::Unknown) {
        ++node.leadership.loadTimeouts;
        logLine(LogLevel::Info, logPart,
            "A page of records did not arrive in time. after={} attempts={} next_timeout_ms={}",
            node.leadership.loadAfter, node.leadership.loadTimeouts, pageTimeout(node).count());
    }
    node.leadership.failedLoad = purpose;
    node.leadership.failedLoadRetryAt = now.monotonic + loadRetry;
}

std::string_view prefixOf(StorePurpose load)
{
    switch (load) {
    case StorePurpose::LoadJobs:
        return jobPrefix;
    case StorePurpose::LoadProgress:
        return progressPrefix;
    default:
        return endPrefix;
    }
}

void tickLoading(Node &node, Now now)
{
    Leadership &leadership = node.leadership;
    if (leadership.failedLoad && now.monotonic >= leadership.failedLoadRetryAt) {
        const StorePurpose purpose = *std::exchange(leadership.failedLoad, std::nullopt);
        loadPage(node, purpose, prefixOf(purpose));
    }
}

/// Continues the former leader's count of how long the records of ended jobs exist. Its record is the last one: the
/// claim was written on the condition that the keys of the commit streams were unchanged.
EndRetention inheritRetention(const Node &node, std::uint64_t token, MonotonicTime now)
{
    const StoreItem *record = findItem(node.leadership.control, retentionKey);
    std::string problem;
    EndRetention retention = continueRetention(node.options.bounds.keepEnded + keepEndedMargin,
        record == nullptr ? std::string_view() : std::string_view(record->value), token, now, problem);
    if (!problem.empty()) {
        logLine(LogLevel::Error, logPart, "The record of observed revisions can't be read. problem={}", problem);
    }
    return retention;
}

void createDispatcher(Node &node, std::uint64_t token, MonotonicTime now)
{
    // The claim lasts as long as its lease, which the store counts from the arrival of the request. The reply to the
    // claim proves nothing about the present: it may have waited until the lease had ended.
    node.dispatcher = std::make_unique<Dispatcher>(
        node.outbox, token, node.leadership.leaseRequestedAt, inheritRetention(node, token, now));
    // A reply to a request of an earlier term must not complete this takeover.
    node.workerPoll = {};
    Dispatcher &dispatcher = *node.dispatcher;
    dispatcher.bounds = node.options.bounds;
    dispatcher.jobMemory.limit = node.options.jobMemoryBytes;
    dispatcher.callLog.rate = node.callLog.rate;
    setConfiguration(dispatcher, node.configuration);
    // Counted from the reply, which is certain to follow the execution of the claim.
    dispatcher.claimedAt = now;
}

/// Restores the workers that the former leader recorded. The record is its last one, because the claim was written on
/// the condition that the keys of the commit streams were unchanged.
void inheritRecordedWorkers(Node &node)
{
    const StoreItem *record = findItem(node.leadership.control, workersKey);
    if (record == nullptr) {
        return;
    }
    std::string problem;
    const std::vector<WorkerEntry> entries = decodeWorkers(record->value, problem);
    if (!problem.empty()) {
        logLine(LogLevel::Error, logPart, "The record of workers can't be read. problem={}", problem);
    }
    node.dispatcher->formerWorkersKnown = problem.empty();
    inheritWorkers(*node.dispatcher, entries);
}

void handleClaimWriteReply(Node &node, const StoreReply &reply, Now now)
{
    Leadership &leadership = node.leadership;
    if (leadership.phase != ClaimPhase::WritingClaim) {
        return;
    }
    if (reply.status != CallStatus::Ok) {
        logLine(LogLevel::Info, logPart, "Claim failed. status={}", static_cast<int>(reply.status));
        abandonClaim(node, now.monotonic);
        return;
    }
    logLine(LogLevel::Info, logPart, "Claim written. token={} identity={} former={} former_token={} lease_age_ms={}",
        reply.revision, node.identity, leadership.leader.node, leadership.leader.token,
        std::chrono::floor<milliseconds>(now.monotonic - leadership.leaseRequestedAt).count());
    leadership.leader = {.token = reply.revision,
        .node = node.options.name,
        .endpoint = node.options.endpoint,
        .identity = node.identity};
    leadership.term = reply.revision;
    leadership.leaderConnected = false;
    leadership.leaderConnectionRefused = false;
    leadership.leaderStoreFailing = false;
    leadership.claimMissing = false;
    leadership.nextKeepAlive = now.monotonic;
    node.dialled = {};
    node.outbox.add(DialNode{});
    createDispatcher(node, reply.revision, now.monotonic);
    inheritRecordedWorkers(node);
    leadership.loadAfter.clear();
    leadership.loadTimeouts = 0;
    setPhase(node, ClaimPhase::LoadingJobs, now.monotonic);
    loadPage(node, StorePurpose::LoadJobs, jobPrefix);
    node.nextPresence = now.monotonic;
}

void loadWorkers(Node &node, Now now)
{
    setPhase(node, ClaimPhase::LoadingWorkers, now.monotonic);
}

/// Handles one page of jobs or of their progress, and requests the next.
void handlePage(Node &node, const StoreReply &reply, Now now, ClaimPhase phase, StorePurpose purpose,
    std::string_view prefix, void (*loadItem)(Node &node, const StoreItem &item), void (*next)(Node &node, Now now))
{
    if (node.leadership.phase != phase) {
        return;
    }
    if (reply.status != CallStatus::Ok) {
        // Reads the same page again. Whether this daemon still leads depends only on the lease of its claim.
        retryLoad(node, purpose, reply, now);
        return;
    }
    node.leadership.loadTimeouts = 0;
    for (const StoreItem &item : reply.items) {
        loadItem(node, item);
        node.leadership.loadAfter = item.key;
    }
    if (reply.morePages && !reply.items.empty()) {
        loadPage(node, purpose, prefix);
        return;
    }
    node.leadership.loadAfter.clear();
    next(node, now);
}

void loadJobItem(Node &node, const StoreItem &item)
{
    std::string problem;
    auto record = decodeJobRecord(item.value, problem);
    if (!record) {
        logLine(LogLevel::Error, logPart, "A job's record can't be read. key={} problem={}", item.key, problem);
        return;
    }
    node.leadership.loadedJobs[record->id] = std::move(*record);
}

void loadProgressItem(Node &node, const StoreItem &item)
{
    const auto id = jobIdFromKey(item.key, progressPrefix);
    if (id) {
        node.leadership.loadedProgress[*id] = item.value;
    }
}

void loadEndItem(Node &node, const StoreItem &item, MonotonicTime now)
{
    const auto id = jobIdFromKey(item.key, endPrefix);
    const auto record = decodeEnd(item.value);
    if (!id || !record) {
        logLine(LogLevel::Error, logPart, "The record of an ended job can't be read. key={}", item.key);
    }
    if (id) {
        inheritEnd(*node.dispatcher, *id, record, item.revision, now);
    }
}

void handleEndsPage(Node &node, const StoreReply &reply, Now now)
{
    if (!node.dispatcher || node.dispatcher->endsLoaded) {
        return;
    }
    if (reply.status != CallStatus::Ok) {
        retryLoad(node, StorePurpose::LoadEnds, reply, now);
        return;
    }
    node.leadership.loadTimeouts = 0;
    for (const StoreItem &item : reply.items) {
        loadEndItem(node, item, now.monotonic);
        node.leadership.loadAfter = item.key;
    }
    if (reply.morePages && !reply.items.empty()) {
        loadPage(node, StorePurpose::LoadEnds, endPrefix);
        return;
    }
    node.dispatcher->endsLoaded = true;
    const auto &order = node.dispatcher->jobs.endedOrder;
    const auto oldest
        = order.empty() ? milliseconds(0) : std::chrono::floor<milliseconds>(now.monotonic - order.begin()->first);
    logLine(LogLevel::Info, logPart, "Records of ended jobs loaded. jobs={} oldest_ms={} token={}",
        node.dispatcher->jobs.ended.size(), oldest.count(), node.dispatcher->token);
}

void writeClaimAgain(Node &node, std::uint64_t claimRevision)
{
    node.outbox.add(claimTransaction(node, StorePurpose::ReclaimWrite, claimRevision, node.leadership.term));
}

void handleKeepAliveReply(Node &node, const StoreReply &reply, Now now)
{
    Leadership &leadership = node.leadership;
    leadership.keepAliveOpen = false;
    if (!node.dispatcher) {
        return;
    }
    StoreHealth &health = node.dispatcher->commits.health;
    const bool answered = reply.status == CallStatus::Ok || reply.status == CallStatus::NotFound;
    if (answered && health.failing && now.monotonic - health.failingSince > minOutageDuration) {
        retryAfterOutage(node.dispatcher->commits, now.monotonic);
    }
    if (reply.status == CallStatus::Ok) {
        // While a transaction is being retried, its own reply shows whether the store has recovered.
        const bool retrying = std::ranges::any_of(
            node.dispatcher->commits.streams, [](const CommitStream &stream) { return !stream.inFlight.empty(); });
        health.failing = health.failing && retrying;
        leadership.nextKeepAlive = now.monotonic + keepAliveInterval;
        if (!leadership.claimUnwritten) {
            node.dispatcher->claimConfirmedAt = leadership.keepAliveSentAt;
        } else if (!leadership.reclaiming) {
            leadership.reclaiming = true;
            writeClaimAgain(node, 0);
        }
        return;
    }
    if (reply.status != CallStatus::NotFound) {
        recordStoreFailure(health, now.monotonic);
    }
    leadership.nextKeepAlive = now.monotonic + keepAliveRetry;
    if (reply.status == CallStatus::NotFound && !leadership.reclaiming) {
        // The lease expired during an outage of the store, or was revoked. The claim is written again unless another
        // daemon has led since.
        logLine(LogLevel::Warning, logPart,
            "The lease of the leadership claim has expired; the claim is written again. token={}",
            leadership.leader.token);
        leadership.reclaiming = true;
        requestLease(node, StorePurpose::ReclaimLease, now.monotonic);
    }
}

void handleReclaimLeaseReply(Node &node, const StoreReply &reply, Now now)
{
    Leadership &leadership = node.leadership;
    if (!node.dispatcher || !leadership.reclaiming || reply.status != CallStatus::Ok) {
        leadership.reclaiming = false;
        leadership.nextKeepAlive = now.monotonic + keepAliveRetry;
        return;
    }
    leadership.lease = reply.lease;
    leadership.claimUnwritten = true;
    writeClaimAgain(node, 0);
}

/// This daemon's claim was written again and has a new token.
void adoptNewToken(Node &node, std::uint64_t token, Now now)
{
    if (token <= node.leadership.leader.token) {
        return;
    }
    node.leadership.leader.token = token;
    node.leadership.term = token;
    node.leadership.claimUnwritten = false;
    node.dispatcher->token = token;
    node.dispatcher->newTokenDue = false;
    node.nextPresence = now.monotonic;
    // Orders carry the new token from now on. The commit streams keep the old one, which is only compared.
    logLine(LogLevel::Info, logPart, "Claim written again. token={}", token);
}

void handleReclaimWriteReply(Node &node, const StoreReply &reply, Now now)
{
    Leadership &leadership = node.leadership;
    leadership.reclaiming = false;
    if (!node.dispatcher) {
        return;
    }
    leadership.nextKeepAlive = now.monotonic;
    leadership.nextTokenTry = now.monotonic + claimRetry;
    if (reply.status == CallStatus::Ok) {
        adoptNewToken(node, reply.revision, now);
        return;
    }
    if (reply.status != CallStatus::Conflict) {
        return;
    }
    const StoreItem *claim = findItem(reply.items, claimKey);
    const StoreItem *term = findItem(reply.items, termKey);
    const std::uint64_t termRevision = term == nullptr ? 0 : term->revision;
    const LeaderInfo present = findClaim(reply.items);
    if (present.identity == node.identity && present.token == termRevision) {
        // The previous write took effect, but its reply was lost.
        adoptNewToken(node, present.token, now);
        return;
    }
    if (claim == nullptr && term != nullptr && identityInTerm(*term) == node.identity) {
        // This daemon's previous write took effect, but its reply was lost and its lease has expired since.
        leadership.term = termRevision;
    }
    if (termRevision != leadership.term) {
        logLine(LogLevel::Warning, logPart,
            "Another daemon has led since the claim was written. term={} present_term={} present_leader={} "
            "present_identity={} identity={}",
            leadership.term, termRevision, present.node, present.identity, node.identity);
        followLeader(node, present, now);
        if (node.dispatcher) {
            stepDown(node, StepDownKind::Replaced, "another daemon has led since the claim was written", now);
        }
        return;
    }
    // The claim's key was deleted, but its lease still exists.
    leadership.reclaiming = true;
    writeClaimAgain(node, 0);
}

/// Writes the claim again under a higher token if a worker needs one: once the worker has seen it, it rejects orders
/// that were meant for its former incarnation.
void raiseToken(Node &node, Now now)
{
    Leadership &leadership = node.leadership;
    if (!node.dispatcher->newTokenDue || leadership.reclaiming || now.monotonic < leadership.nextTokenTry) {
        return;
    }
    leadership.reclaiming = true;
    writeClaimAgain(node, leadership.leader.token);
}

/// Without both identities only the names can be compared.
bool isSameProcess(const LeaderInfo &claim, const LeaderInfo &other)
{
    const bool known = claim.identity != 0 && other.identity != 0;
    return claim.node == other.node && (!known || claim.identity == other.identity);
}

void tickLeader(Node &node, Now now)
{
    Leadership &leadership = node.leadership;
    if (!leadership.keepAliveOpen && !leadership.reclaiming && now.monotonic >= leadership.nextKeepAlive) {
        leadership.keepAliveOpen = true;
        leadership.keepAliveSentAt = now.monotonic;
        node.outbox.add(StoreKeepAlive{.call = newStoreCall(node, StorePurpose::ClaimKeepAlive),
            .lease = leadership.lease,
            .timeout
            = std::clamp(storeTimeout(node.dispatcher->commits.health, 0), minKeepAliveTimeout, maxKeepAliveTimeout)});
    }
    tickLoading(node, now);
    if (leadership.phase != ClaimPhase::Leading) {
        return;
    }
    raiseToken(node, now);
    const std::string_view reason = reasonToResign(node, now);
    if (!reason.empty()) {
        stepDown(node, StepDownKind::Resigned, reason, now);
    }
}

void tickFollower(Node &node, Now now)
{
    Leadership &leadership = node.leadership;
    const bool leaderHealthy = isLeaderResponsive(leadership, now) && !leadership.leaderStoreFailing;
    if (!leadership.pollOpen && now.monotonic >= leadership.nextPoll) {
        leadership.pollOpen = true;
        leadership.nextPoll = now.monotonic
            + (leaderHealthy ? healthyLeaderPollInterval
                             : std::min(highestRankPollInterval + rankDelay(node), lowestRankPollInterval));
        readControl(node, StorePurpose::ControlPoll, leaderHealthy);
    }
    if (isClaimDue(node, now)) {
        beginClaim(node, now.monotonic);
    }
}

} // namespace

void dialLeader(Node &node, Now now)
{
    const Endpoint &wanted = node.leadership.leader.endpoint;
    if (isLeading(node) || wanted.ip.empty() || wanted == node.options.endpoint || node.dialled == wanted
        || now.monotonic < node.leadership.nextDial) {
        return;
    }
    node.leadership.nextDial = now.monotonic + dialInterval;
    node.dialled = wanted;
    node.outbox.add(DialNode{.endpoint = wanted});
}

bool isFromThisEndpoint(const Node &node, const LeaderInfo &claim)
{
    return claim.node == node.options.name && claim.endpoint == node.options.endpoint;
}

void followLeader(Node &node, const LeaderInfo &leader, Now now)
{
    Leadership &leadership = node.leadership;
    if (leader.token <= leadership.leader.token) {
        return;
    }
    if (isFromThisEndpoint(node, leader) && leadership.phase == ClaimPhase::Following) {
        // The claim was written by this daemon's former process, so it can be replaced.
        leadership.claimMissing = true;
        leadership.claimMissingSince = now.monotonic;
        return;
    }
    logLine(LogLevel::Info, logPart, "Following a new leader. leader={} identity={} token={} before={}", leader.node,
        leader.identity, leader.token, leadership.leader.token);
    if (node.dispatcher || leadership.phase != ClaimPhase::Following) {
        stepDown(node, StepDownKind::Replaced, "another daemon has claimed leadership", now);
    }
    // A leader that wrote its claim again under a new token still has the calls that were forwarded to it. If a call
    // were forwarded twice, one copy could be rejected and the other one run.
    const bool sameProcess = leadership.leaderConnected && isSameProcess(leader, leadership.leader);
    leadership.leader = leader;
    // The connection may be open already, if the leader is a seed or has connected to this daemon itself.
    leadership.leaderConnected = std::ranges::find(node.connectedNodes, leader.node) != node.connectedNodes.end();
    if (leadership.leaderConnected) {
        leadership.lastLeaderMessageAt = now.monotonic;
    }
    leadership.leaderConnectionRefused = false;
    leadership.leaderStoreFailing = false;
    leadership.claimMissing = false;
    leadership.claimAt = MonotonicTime::max();
    for (auto &[call, entry] : node.entries) {
        entry.sent = entry.sent && sameProcess;
    }
    leadership.nextDial = now.monotonic;
    leadership.leaderMissingSince = MonotonicTime::max();
    dialLeader(node, now);
}

void stepDown(Node &node, StepDownKind kind, std::string_view why, Now now)
{
    Leadership &leadership = node.leadership;
    logLine(LogLevel::Warning, logPart, "Stepped down. token={} reason={}", leadership.leader.token, why);
    if (leadership.lease != 0) {
        node.outbox.add(StoreEndLease{.call = newStoreCall(node, StorePurpose::Ignored), .lease = leadership.lease});
        leadership.lease = 0;
    }
    if (node.dispatcher) {
        // Only a daemon that led had them itself. Calls that were forwarded before an abandoned claim are still with
        // the leader, which could reject one copy and accept another.
        for (auto &[call, entry] : node.entries) {
            entry.sent = false;
        }
    }
    node.dispatcher.reset();
    node.forwarded.clear();
    leadership.reclaiming = false;
    leadership.claimUnwritten = false;
    leadership.keepAliveOpen = false;
    abandonClaim(node, now.monotonic);
    if (kind == StepDownKind::Resigned) {
        leadership.noClaimUntil = now.monotonic + pauseAfterResigning;
    }
    node.nextPresence = now.monotonic;
}

void startLeading(Node &node, Now now)
{
    Leadership &leadership = node.leadership;
    const std::size_t inheritedJobs = leadership.loadedJobs.size();
    // What was loaded is released job by job, so that it isn't in memory twice.
    while (!leadership.loadedJobs.empty()) {
        auto loaded = leadership.loadedJobs.extract(leadership.loadedJobs.begin());
        const auto progress = leadership.loadedProgress.extract(loaded.key());
        inheritJob(*node.dispatcher, std::move(loaded.mapped()),
            progress.empty() ? std::string_view() : std::string_view(progress.mapped()), now);
    }
    logLine(LogLevel::Info, logPart,
        "Jobs and workers loaded; this daemon leads. token={} jobs={} workers={} takeover_ms={}",
        leadership.leader.token, inheritedJobs, node.dispatcher->workers.workers.size(),
        std::chrono::floor<milliseconds>(now.monotonic - leadership.leaseRequestedAt).count());
    node.dispatcher->runDiscoveryFinished = inheritedJobs == 0;
    // Calls that were forwarded to the former leader. It may have executed them, so they are still never rejected.
    for (auto &[call, entry] : node.entries) {
        entry.sent = false;
    }
    leadership.loadedProgress.clear();
    leadership.leadingSince = now.monotonic;
    setPhase(node, ClaimPhase::Leading, now.monotonic);
    loadPage(node, StorePurpose::LoadEnds, endPrefix);
}

void tickLeadership(Node &node, Now now)
{
    Leadership &leadership = node.leadership;
    if (leadership.phase >= ClaimPhase::LoadingJobs) {
        tickLeader(node, now);
        return;
    }
    if (leadership.phase == ClaimPhase::Following) {
        tickFollower(node, now);
    } else if (now.monotonic - leadership.phaseSince > claimAttemptTimeout) {
        abandonClaim(node, now.monotonic);
    }
}

bool handleLeadershipReply(Node &node, StorePurpose purpose, const StoreReply &reply, Now now)
{
    switch (purpose) {
    case StorePurpose::ControlPoll:
        handlePollReply(node, reply, now);
        return true;
    case StorePurpose::ClaimControl:
        handleClaimControlReply(node, reply, now);
        return true;
    case StorePurpose::ClaimEndFormerLease:
        handleFormerLeaseReply(node, reply, now);
        return true;
    case StorePurpose::ClaimLease:
        handleClaimLeaseReply(node, reply, now);
        return true;
    case StorePurpose::ClaimWrite:
        handleClaimWriteReply(node, reply, now);
        return true;
    case StorePurpose::LoadJobs:
        handlePage(node, reply, now, ClaimPhase::LoadingJobs, purpose, jobPrefix, loadJobItem, [](Node &owner, Now at) {
            setPhase(owner, ClaimPhase::LoadingProgress, at.monotonic);
            loadPage(owner, StorePurpose::LoadProgress, progressPrefix);
        });
        return true;
    case StorePurpose::LoadProgress:
        handlePage(
            node, reply, now, ClaimPhase::LoadingProgress, purpose, progressPrefix, loadProgressItem, loadWorkers);
        return true;
    case StorePurpose::LoadEnds:
        handleEndsPage(node, reply, now);
        return true;
    case StorePurpose::ClaimKeepAlive:
        handleKeepAliveReply(node, reply, now);
        return true;
    case StorePurpose::ReclaimLease:
        handleReclaimLeaseReply(node, reply, now);
        return true;
    case StorePurpose::ReclaimWrite:
        handleReclaimWriteReply(node, reply, now);
        return true;
    default:
        return false;
    }
}

} // namespace wigeonkeel::dispatch
