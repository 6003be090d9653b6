#include "core/dispatch/commit_streams.h"
#include "core/routing/random.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

/// New jobs are rejected after the store has failed for this long, so an accepted job has to be stored within it.
constexpr milliseconds storeOutageLimit{500};
constexpr milliseconds storeLatency{12};

/// A store that replies after `storeLatency`, or applies the change and sends no reply.
struct LossyStore
{
    RandomState random{.value = 7};
    std::uint64_t lostPercent = 0;
    std::map<std::string, std::pair<std::string, std::uint64_t>> items;
    std::uint64_t revision = 100;
    std::multimap<MonotonicTime, StoreReply> replies;

    void handle(const StoreTransaction &transaction, MonotonicTime now)
    {
        const StoreCondition &chain = transaction.conditions.front();
        StoreReply reply{.call = transaction.call, .status = CallStatus::Ok, .items = {}};
        auto &present = items[chain.key];
        if (present.second != chain.revision) {
            reply.status = CallStatus::Conflict;
            reply.items = {{.key = chain.key, .value = present.first, .revision = present.second}};
        } else {
            present = {transaction.writes.front().value, ++revision};
            reply.revision = revision;
        }
        if (randomBelow(random, 100) < lostPercent) {
            replies.emplace(now + transaction.timeout,
                StoreReply{.call = transaction.call, .status = CallStatus::Unknown, .items = {}});
        } else {
            replies.emplace(now + storeLatency, reply);
        }
    }
};

CommitQueue freshQueue(LossyStore &store)
{
    CommitQueue queue{.token = 100};
    for (std::size_t i = 0; i < commitStreamCount; ++i) {
        queue.streams.at(i).key = chainKey(i);
        queue.streams.at(i).revision = 100;
        store.items[chainKey(i)] = {"claim", 100};
    }
    return queue;
}

Commit commitOf(CommitKind kind, JobId job, MonotonicTime now)
{
    return {.tag = {.kind = kind, .job = job}, .writes = {{.key = "k", .value = "v"}}, .deletes = {}, .queuedAt = now};
}

} // namespace

TEST_GROUP(CommitStreams){};

// Guards against streams that wait so long for lost replies that changes pile up and acceptances take seconds. A third
// of the store's replies is lost while 600 changes per second are queued.
TEST(CommitStreams, ChangesDoNotPileUpWhenRepliesAreLost)
{
    LossyStore store{.lostPercent = 35};
    CommitQueue queue = freshQueue(store);
    Outbox outbox;
    std::map<JobId, MonotonicTime> acceptedAt;
    std::vector<milliseconds> waits;
    for (MonotonicTime now{}; now < MonotonicTime(milliseconds(10000)); now += milliseconds(1)) {
        const auto number = static_cast<JobId>(now.time_since_epoch() / milliseconds(1));
        if (number % 5 < 3) {
            const CommitKind kind = number % 5 == 0 ? CommitKind::Accept : CommitKind::Progress;
            enqueue(queue, commitOf(kind, number, now));
            if (kind == CommitKind::Accept) {
                acceptedAt[number] = now;
            }
        }
        sendCommits(queue, outbox, now);
        for (const Action &action : std::exchange(outbox.actions, {})) {
            store.handle(std::get<StoreTransaction>(action), now);
        }
        while (!store.replies.empty() && store.replies.begin()->first <= now) {
            const StoreReply reply = store.replies.begin()->second;
            store.replies.erase(store.replies.begin());
            std::vector<CommitTag> stored;
            CommitStream *stream = findStream(queue, reply.call);
            CHECK(stream != nullptr);
            CHECK(handleCommitReply(queue, *stream, reply, now, stored) != CommitResult::Deposed);
            for (const CommitTag &tag : stored) {
                if (tag.kind == CommitKind::Accept) {
                    waits.push_back(std::chrono::floor<milliseconds>(now - acceptedAt.at(tag.job)));
                }
            }
        }
    }
    CHECK(waits.size() > 1900);
    std::ranges::sort(waits);
    CHECK(waits[waits.size() * 95 / 100] < storeOutageLimit);
    CHECK(queue.waiting.size() < 300);
}

// Guards against acceptances, which clients wait for, being queued behind progress records.
TEST(CommitStreams, AcceptancesAreQueuedBeforeEndsAndProgress)
{
    CommitQueue queue;
    const MonotonicTime now{};
    enqueue(queue, commitOf(CommitKind::Progress, 1, now));
    enqueue(queue, commitOf(CommitKind::End, 2, now));
    enqueue(queue, commitOf(CommitKind::Accept, 3, now));
    enqueue(queue, commitOf(CommitKind::Accept, 4, now));
    std::vector<JobId> order;
    for (const Commit &commit : queue.waiting) {
        order.push_back(commit.tag.job);
    }
    CHECK((order == std::vector<JobId>{3, 4, 2, 1}));
}

// Guards against timeouts that stay shorter than the latency of a store that has become slow.
TEST(CommitStreams, TimeoutExceedsTheLatencyOfASlowStoreAfterAFewTries)
{
    StoreHealth health;
    const milliseconds slow{300};
    std::uint32_t timeouts = 0;
    while (storeTimeout(health, timeouts) < slow) {
        ++timeouts;
        CHECK(timeouts < 6);
    }
    recordStoreAnswer(health, slow);
    recordStoreAnswer(health, slow);
    CHECK(storeTimeout(health, 0) > slow);
}
