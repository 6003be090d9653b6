#pragma once

#include "core/dispatch/outbox.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace wigeonkeel::dispatch
{

/// What a commit was for; given back when it is stored.
enum class CommitKind : std::uint8_t { Accept, Progress, End, Workers, Forget };

struct CommitTag
{
    CommitKind kind = CommitKind::Accept;
    JobId job = 0;
};

/// Changes of one job's keys, stored together.
struct Commit
{
    CommitTag tag;
    std::vector<StoreWrite> writes;
    std::vector<std::string> deletes;
    MonotonicTime queuedAt{};

    std::size_t entries() const { return writes.size() + deletes.size(); }
};

/// One chain of transactions. Each transaction requires the chain key's revision that the one before left, so a
/// transaction whose answer was lost can't take effect after a later one, and a deposed leader can't write at all.
struct CommitStream
{
    std::string key;
    /// Revision of the chain key; known while no transaction is under way.
    std::uint64_t revision = 0;
    /// Number of the last transaction that was sent; written to the chain key.
    std::uint64_t sequence = 0;
    std::vector<Commit> inFlight;
    CallId call = 0;
    MonotonicTime sentAt{};
    MonotonicTime retryAt{};
    std::uint32_t failures = 0;
    /// Tries of the present transaction that had no answer in time.
    std::uint32_t timeouts = 0;
    /// A try of the present transaction had no answer, so it may have taken effect.
    bool uncertain = false;
};

/// Enough that lost answers hold up only some of them; all of them and their conditions fit into the claim's
/// transaction.
inline constexpr std::size_t commitStreamCount = 6;

/// How acknowledgements to the store go: whether it answers, and how fast.
struct StoreHealth
{
    /// Since when calls fail; only meaningful if `failing`.
    MonotonicTime failingSince{};
    bool failing = false;
    /// Moving average of answered calls.
    double latencyMs = 10.0;
};

struct CommitQueue
{
    /// Token of this leader, written into the chain keys.
    std::uint64_t token = 0;
    std::array<CommitStream, commitStreamCount> streams;
    std::deque<Commit> waiting;
    StoreHealth health;
};

enum class CommitResult : std::uint8_t {
    Stored,
    /// Another leader has written; this one must stop.
    Deposed,
    /// Will be tried again.
    Retry,
};

/// Key of a chain.
std::string chainKey(std::size_t stream);

/// Value of a chain key after a transaction.
std::string chainValue(std::uint64_t token, std::uint64_t sequence);

/// Sends waiting commits: at once if the first stream is free, on a further stream only if they have waited for long.
void sendCommits(CommitQueue &queue, Outbox &outbox, MonotonicTime now);

/// The stream that this call belongs to; null if it is none.
CommitStream *findStream(CommitQueue &queue, CallId call);

/// Takes a reply. With Stored, `stored` gets the tags of what is now in the store.
CommitResult takeCommitReply(CommitQueue &queue, CommitStream &stream, const StoreReply &reply, MonotonicTime now,
    std::vector<CommitTag> &stored);

/// Takes back the acceptances that surely have not reached the store; they may be refused.
std::vector<CommitTag> takeUnsentAcceptances(CommitQueue &queue);

/// The store answers again after an outage: calls that hang since then are repeated now. Pattern: the end of a silent
/// outage, whose last calls would be waited for longest.
void retryAfterOutage(CommitQueue &queue, MonotonicTime now);

void noteStoreAnswer(StoreHealth &health, milliseconds latency);
void noteStoreFailure(StoreHealth &health, MonotonicTime now);

/// How long to wait for an answer of the store, from what it took lately and how often this call had none.
milliseconds storeTimeout(const StoreHealth &health, std::uint32_t timeouts);

/// Queues a commit: acceptances before ends, ends before progress.
void enqueue(CommitQueue &queue, Commit commit);

} // namespace wigeonkeel::dispatch
