#include "core/dispatch/commit_streams.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

/// Each transaction holds the condition on the chain key and the write to it.
constexpr std::size_t overheadEntries = 2;
/// Commits that waited longer than this are sent on an additional stream.
constexpr milliseconds additionalStreamDelay{25};
/// Bounds of the wait for a reply that may be lost; across zones, replies arrive within about 12 ms. The stream is
/// blocked while it waits, so the first timeouts are short. They double after every `timeoutsPerDoubling` timeouts,
/// because the store may have become slow.
constexpr milliseconds shortestTimeout{100};
constexpr milliseconds longestTimeout{1500};
constexpr std::uint32_t timeoutsPerDoubling = 2;
constexpr std::uint32_t maxDoublings = 4;
constexpr double timeoutPerLatency = 4.0;
/// Weights of the moving average of the latency: it follows an increase faster than a decrease.
constexpr double slowerWeight = 0.5;
constexpr double fasterWeight = 0.2;
constexpr milliseconds firstRetryDelay{50};
constexpr milliseconds longestRetryDelay{400};

int queueRank(CommitKind kind)
{
    switch (kind) {
    case CommitKind::Accept:
        return 0;
    case CommitKind::End:
    case CommitKind::Withdraw:
        return 1;
    case CommitKind::Progress:
    case CommitKind::Workers:
    case CommitKind::Forget:
    case CommitKind::Retention:
        return 2;
    }
    return 2;
}

void fill(CommitQueue &queue, CommitStream &stream)
{
    std::size_t room = maxTransactionEntries - overheadEntries;
    while (!queue.waiting.empty() && queue.waiting.front().entries() <= room) {
        room -= queue.waiting.front().entries();
        stream.inFlight.push_back(std::move(queue.waiting.front()));
        queue.waiting.pop_front();
    }
    ++stream.sequence;
    stream.uncertain = false;
}

void send(CommitQueue &queue, CommitStream &stream, Outbox &outbox, MonotonicTime now)
{
    StoreTransaction transaction{.call = outbox.newCall(),
        .conditions = {{.key = stream.key, .revision = stream.revision}},
        .writes = {{.key = stream.key, .value = chainValue(queue.token, stream.sequence)}},
        .deletes = {},
        .timeout = storeTimeout(queue.health, stream.timeouts)};
    for (const Commit &commit : stream.inFlight) {
        transaction.writes.insert(transaction.writes.end(), commit.writes.begin(), commit.writes.end());
        transaction.deletes.insert(transaction.deletes.end(), commit.deletes.begin(), commit.deletes.end());
    }
    stream.call = transaction.call;
    stream.sentAt = now;
    outbox.add(std::move(transaction));
}

CommitResult finish(CommitStream &stream, std::uint64_t revision, std::vector<CommitTag> &stored)
{
    stream.revision = revision;
    stream.failures = 0;
    stream.timeouts = 0;
    for (const Commit &commit : stream.inFlight) {
        stored.push_back(commit.tag);
    }
    stream.inFlight.clear();
    return CommitResult::Stored;
}

CommitResult retryAtOnce(CommitStream &stream, MonotonicTime now)
{
    ++stream.timeouts;
    stream.retryAt = now;
    return CommitResult::Retry;
}

CommitResult retryLater(CommitStream &stream, MonotonicTime now)
{
    const milliseconds delay = std::min(firstRetryDelay * (1 << std::min(stream.failures, 4U)), longestRetryDelay);
    ++stream.failures;
    stream.retryAt = now + delay;
    return CommitResult::Retry;
}

} // namespace

std::string chainKey(std::size_t stream)
{
    return fmt::format("wk/ctl/chain{}", stream);
}

CommitQueue makeCommitQueue(std::uint64_t token)
{
    CommitQueue queue{.token = token};
    for (std::size_t stream = 0; stream < commitStreamCount; ++stream) {
        queue.streams.at(stream).key = chainKey(stream);
        queue.streams.at(stream).revision = token;
    }
    return queue;
}

std::uint64_t highestRevision(const CommitQueue &queue)
{
    return std::ranges::max(queue.streams, {}, &CommitStream::revision).revision;
}

std::string chainValue(std::uint64_t token, std::uint64_t sequence)
{
    return fmt::format("{}:{}", token, sequence);
}

milliseconds lengthenTimeout(milliseconds timeout, std::uint32_t timeouts)
{
    return timeout * (1 << std::min(timeouts / timeoutsPerDoubling, maxDoublings));
}

milliseconds storeTimeout(const StoreHealth &health, std::uint32_t timeouts)
{
    const auto fromLatency = milliseconds(static_cast<std::int64_t>(health.latencyMs * timeoutPerLatency));
    return std::min(lengthenTimeout(std::max(fromLatency, shortestTimeout), timeouts), longestTimeout);
}

void recordStoreAnswer(StoreHealth &health, milliseconds latency)
{
    health.failing = false;
    const double difference = static_cast<double>(latency.count()) - health.latencyMs;
    health.latencyMs += difference * (difference > 0 ? slowerWeight : fasterWeight);
}

void recordStoreFailure(StoreHealth &health, MonotonicTime now)
{
    if (!health.failing) {
        health.failing = true;
        health.failingSince = now;
    }
}

void enqueue(CommitQueue &queue, Commit commit)
{
    // Clients wait for acceptances, then for ends; progress serves only a later leader. The order matters when lost
    // replies delay the queue. It can't reorder commits of the same job, which are queued one at a time.
    const auto place = std::ranges::upper_bound(
        queue.waiting, queueRank(commit.tag.kind), {}, [](const Commit &each) { return queueRank(each.tag.kind); });
    queue.waiting.insert(place, std::move(commit));
}

void sendCommits(CommitQueue &queue, Outbox &outbox, MonotonicTime now)
{
    bool first = true;
    for (CommitStream &stream : queue.streams) {
        if (stream.call != 0) {
            first = false;
            continue;
        }
        if (!stream.inFlight.empty()) {
            if (stream.retryAt <= now) {
                send(queue, stream, outbox, now);
            }
            first = false;
            continue;
        }
        if (queue.waiting.empty() || (!first && now - queue.waiting.front().queuedAt < additionalStreamDelay)) {
            // A later stream may have a transaction to retry.
            first = false;
            continue;
        }
        fill(queue, stream);
        send(queue, stream, outbox, now);
        first = false;
    }
}

CommitStream *findStream(CommitQueue &queue, CallId call)
{
    const auto found = std::ranges::find(queue.streams, call, &CommitStream::call);
    return call == 0 || found == queue.streams.end() ? nullptr : &*found;
}

CommitResult handleCommitReply(CommitQueue &queue, CommitStream &stream, const StoreReply &reply, MonotonicTime now,
    std::vector<CommitTag> &stored)
{
    stream.call = 0;
    switch (reply.status) {
    case CallStatus::Ok:
        recordStoreAnswer(queue.health, std::chrono::floor<milliseconds>(now - stream.sentAt));
        return finish(stream, reply.revision, stored);
    case CallStatus::Conflict: {
        recordStoreAnswer(queue.health, std::chrono::floor<milliseconds>(now - stream.sentAt));
        const auto chain = std::ranges::find(reply.items, stream.key, &StoreItem::key);
        if (chain != reply.items.end() && chain->value == chainValue(queue.token, stream.sequence)) {
            return finish(stream, chain->revision, stored);
        }
        return CommitResult::Deposed;
    }
    case CallStatus::Unknown: {
        stream.uncertain = true;
        recordStoreFailure(queue.health, now);
        // After a timeout the retry needs no further delay; it does if the connection broke at once.
        const bool waited = now - stream.sentAt >= shortestTimeout;
        return waited ? retryAtOnce(stream, now) : retryLater(stream, now);
    }
    case CallStatus::NotFound:
    case CallStatus::Refused:
    case CallStatus::Unreachable:
        recordStoreFailure(queue.health, now);
        return retryLater(stream, now);
    }
    return CommitResult::Retry;
}

void retryAfterOutage(CommitQueue &queue, MonotonicTime now)
{
    for (CommitStream &stream : queue.streams) {
        if (stream.call != 0 && now - stream.sentAt > shortestTimeout) {
            // The earlier attempt may still be executed; the chain's condition lets only one of them take effect.
            stream.call = 0;
            stream.uncertain = true;
        }
        if (stream.call == 0) {
            stream.retryAt = std::min(stream.retryAt, now);
            stream.failures = 0;
            stream.timeouts = 0;
        }
    }
}

std::vector<CommitTag> removeUnsentAcceptances(CommitQueue &queue)
{
    std::vector<CommitTag> removed;
    const auto isAcceptance = [&removed](const Commit &commit) {
        if (commit.tag.kind == CommitKind::Accept) {
            removed.push_back(commit.tag);
        }
        return commit.tag.kind == CommitKind::Accept;
    };
    std::erase_if(queue.waiting, isAcceptance);
    for (CommitStream &stream : queue.streams) {
        if (stream.call == 0 && !stream.uncertain) {
            std::erase_if(stream.inFlight, isAcceptance);
        }
    }
    return removed;
}

} // namespace wigeonkeel::dispatch
