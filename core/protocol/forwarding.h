#pragma once

#include "core/action.h"
#include "core/answer.h"
#include "core/caller_messages.h"
#include "core/clock.h"
#include "core/peer_messages.h"
#include "core/protocol/kept_memory.h"
#include "core/protocol/requests.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonkeel
{

struct ForwardOptions
{
    /// A forward that the home has not answered after this time is sent again with a raised attempt.
    milliseconds retryAfter{400};
    /// Sends without an answer before the caller is told `unknown`. Three keep an outage answer within 1.9 s.
    std::uint32_t maxSends = 3;
    /// A home that has acknowledged is asked again after this time, in case its answer was lost.
    milliseconds pollInterval{5000};
    /// Daemons that a request may pass. Two views of the membership settle within this.
    std::uint32_t maxHops = 3;
    std::size_t maxEntries = 50000;
    /// Bytes; a larger answer is not collected.
    std::uint64_t maxResultBytes = 16777216;
};

/// Collects an answer whose chunks arrive in any order and repeated.
struct AnswerAssembly
{
    std::uint64_t totalSize = 0;
    /// Chunks received, by their offsets.
    std::map<std::uint64_t, std::string> chunks;
};

enum class ForwardKind : std::uint8_t { Submission, Query, Cancel };

/// A request that was passed on to another daemon.
struct ForwardEntry
{
    ForwardKind kind = ForwardKind::Submission;
    RequestKey key;
    /// Operator and id are set for every kind.
    Submission submission;
    Waiter waiter;
    std::uint32_t hops = 1;
    std::string peer;
    /// Stays the same while it is sent to the same peer, so that a late answer to an earlier send counts.
    std::uint64_t exchange = 0;
    std::uint32_t sends = 0;
    MonotonicTime nextSend{};
    AnswerAssembly assembly;
    /// What the entry is charged with.
    std::size_t bytes = 0;
};

struct ForwardTable
{
    ForwardOptions options;
    std::map<std::uint64_t, ForwardEntry> entries;
    KeptMemory memory{.limit = 256 << 20};
    /// Starts from the daemon's incarnation, so that an answer to its predecessor is not taken for one to itself.
    std::uint64_t nextExchange = 1;
};

/// Passes a request on to a peer. False if the table is full; nothing was sent then.
bool startForward(ForwardTable &table, ForwardEntry entry, std::string_view peer, const Now &now, Actions &actions);

/// Takes note of a chunk. Gives the waiter the whole answer when it is complete and its digest is right.
void onAnswer(ForwardTable &table, const AnswerMessage &message, const Now &now, Actions &actions);

/// Takes out the forwards that are to be sent again or given up: no answer in time, or the peer is not alive.
std::vector<ForwardEntry> takeOverdue(ForwardTable &table, const Now &now,
    bool (*isPeerAlive)(const void *state, std::string_view peer), const void *state);

/// A caller has closed the connection.
void dropCaller(ForwardTable &table, CallerToken caller);

/// Adds a chunk. Returns the result once it is whole; empty if more is to come or the chunk doesn't fit.
std::optional<std::string> addChunk(AnswerAssembly &assembly, const AnswerMessage &message, std::uint64_t maxBytes);

} // namespace wigeonkeel
