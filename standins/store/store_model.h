#pragma once

#include "core/store_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace wigeonkeel
{

struct StoreModelOptions
{
    std::uint64_t writesPerSecond = 300;
    std::uint64_t readsPerSecond = 2000;
    std::size_t maxValueBytes = 1 << 20;
    /// A watch that is further behind than this many changes is answered with the full listing.
    std::size_t historyLimit = 10000;
    std::uint64_t seed = 1;
};

/// Faults that are switched on from outside.
struct StoreFaults
{
    /// Calls are neither executed nor answered.
    bool down = false;
    /// Answers are held back this long. The model only carries the number; its front end waits.
    milliseconds slow{0};
    /// The answers of the next so many writes are lost after the writes took effect.
    std::uint32_t loseNextWrites = 0;
    /// Share of further writes whose answers are lost, in percent.
    std::uint32_t loseWritePercent = 0;
    /// Leases lapse after this share of their time, in percent.
    std::uint32_t leasePercent = 100;
};

/// Calls since the start. A watch counts once, however long it waits.
struct StoreCounters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t throttled = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t lapsedLeases = 0;
};

/// Calls that are allowed at once; refilled with time up to one second's worth.
struct RateBucket
{
    double tokens = -1;
    MonotonicTime filledAt{};
};

struct ModelEntry
{
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
};

struct ModelChange
{
    std::uint64_t revision = 0;
    std::string key;
};

/// A store without I/O; the time is passed in.
struct StoreModel
{
    StoreModelOptions options;
    StoreFaults faults;
    StoreCounters counters;
    std::map<std::string, ModelEntry, std::less<>> entries;
    /// Deadline by lease.
    std::map<std::uint64_t, MonotonicTime> leases;
    std::deque<ModelChange> history;
    std::uint64_t revision = 0;
    /// Revision up to which the history was dropped.
    std::uint64_t droppedRevision = 0;
    std::uint64_t nextLease = 1;
    RateBucket reads;
    RateBucket writes;
    std::mt19937_64 random{1};
};

StoreModel makeStoreModel(const StoreModelOptions &options);

/// Carries out a call. Nothing if the caller gets no answer; the call may have taken effect all the same.
std::optional<StoreReply> callStore(StoreModel &store, const StoreCall &call, MonotonicTime now);

/// Counts a watch that arrives. False if it is refused for its rate.
bool admitWatch(StoreModel &store, MonotonicTime now);

/// What a watch on a prefix is answered; nothing while there is no change after the revision. A revision of 0, of a
/// dropped part of the history or of the future is answered with the full listing.
std::optional<StoreWatchUpdate> watchStore(const StoreModel &store, std::string_view prefix, std::uint64_t after);

/// Removes the entries of lapsed leases. Returns true if something changed.
bool advance(StoreModel &store, MonotonicTime now);

/// When the next lease lapses; MonotonicTime::max() if none.
MonotonicTime nextChange(const StoreModel &store);

/// Drops the history, so that every watch meets a gap.
void dropHistory(StoreModel &store);

} // namespace wigeonkeel
