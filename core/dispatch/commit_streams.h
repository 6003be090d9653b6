#pragma once

#include "core/dispatch/outbox.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Identifies a commit; returned to the caller once the commit is stored.
enum class CommitKind : std::uint8_t { Accept, Progress, End, Withdraw, Workers, Forget, Retention };

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

/// One chain of transactions. Each requires the chain key to have the revision that the previous transaction wrote. So
/// a transaction whose reply was lost can't take effect after a later one, and a former leader can't write at all.
struct CommitStream
{
    std::string key;
    /// Revision of the chain key; known while no transaction is in flight.
    std::uint64_t revision = 0;
    /// Number of the last transaction sent; written to the chain key.
    std::uint64_t sequence = 0;
    std::vector<Commit> inFlight;
    CallId call = 0;
    MonotonicTime sentAt{};
    MonotonicTime retryAt{};
    std::uint32_t failures = 0;
    /// Attempts at the current transaction that timed out.
    std::uint32_t timeouts = 0;
    /// An attempt at the current transaction got no reply, so it may have taken effect.
    bool uncertain = false;
};

/// With several streams, lost replies block only some of them. The chain keys of all streams and their conditions have
/// to fit into the claim's transaction.
inline constexpr std::size_t commitStreamCount = 6;

/// Whether the store answers, and how fast.
struct StoreHealth
{
    /// Since when calls fail; valid only if `failing`.
    MonotonicTime failingSince{};
    bool failing = false;
    /// Moving average over answered calls.
    double latencyMs = 10.0;
};

struct CommitQueue
{
    /// This leader's fencing token, written to the chain keys.
    std::uint64_t token = 0;
    std::array<CommitStream, commitStreamCount> streams;
    std::deque<Commit> waiting;
    StoreHealth health;
};

enum class CommitResult : std::uint8_t {
    Stored,
    /// Another leader has written to the chain; this one must stop.
    Deposed,
    /// The transaction will be sent again.
    Retry,
};

std::string chainKey(std::size_t stream);

/// The queue of a leader whose claim wrote all chain keys at the revision `token`.
CommitQueue makeCommitQueue(std::uint64_t token);

/// A revision that the store has reached for certain.
std::uint64_t highestRevision(const CommitQueue &queue);

/// Value of a chain key after a transaction.
std::string chainValue(std::uint64_t token, std::uint64_t sequence);

/// Sends waiting commits: at once if the first stream is free, on an additional stream only after a delay.
void sendCommits(CommitQueue &queue, Outbox &outbox, MonotonicTime now);

/// The stream that sent this call, or null.
CommitStream *findStream(CommitQueue &queue, CallId call);

/// Handles the reply to a stream's transaction. If the result is Stored, the tags of the stored commits are appended to
/// `stored`.
CommitResult handleCommitReply(CommitQueue &queue, CommitStream &stream, const StoreReply &reply, MonotonicTime now,
    std::vector<CommitTag> &stored);

/// Removes and returns the acceptances that cannot have reached the store; these jobs may be rejected.
std::vector<CommitTag> removeUnsentAcceptances(CommitQueue &queue);

/// Call when the store answers again after an outage. Repeats at once the transactions that are still waiting for a
/// reply; after an outage without any replies their timeouts would be the longest.
void retryAfterOutage(CommitQueue &queue, MonotonicTime now);

void recordStoreAnswer(StoreHealth &health, milliseconds latency);
void recordStoreFailure(StoreHealth &health, MonotonicTime now);

/// The timeout of a call that has timed out so often in a row. It doubles after every second time, four times at most.
milliseconds lengthenTimeout(milliseconds timeout, std::uint32_t timeouts);

/// How long to wait for the store's reply, given its recent latency and how often this call has timed out.
milliseconds storeTimeout(const StoreHealth &health, std::uint32_t timeouts);

/// Queues a commit: acceptances before ends, ends before the other kinds.
void enqueue(CommitQueue &queue, Commit commit);

} // namespace wigeonkeel::dispatch
