#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonkeel
{

enum class StoreCallKind : std::uint8_t {
    Get,
    /// All entries with a prefix.
    List,
    /// Compare-and-swap: written only if the entry's version is `expectedVersion` (0: absent).
    Put,
    /// Compare-and-delete.
    Remove,
    OpenLease,
    RenewLease,
};

/// A call to the platform's store. The id comes back in the reply.
struct StoreCall
{
    std::uint64_t id = 0;
    StoreCallKind kind = StoreCallKind::Get;
    std::string key;
    std::string value;
    std::uint64_t expectedVersion = 0;
    /// Entry is removed when this lease lapses; 0 for none. Also the lease to renew.
    std::uint64_t lease = 0;
    milliseconds leaseTime{0};
};

struct StoreEntry
{
    std::string key;
    std::string value;
    /// Store-wide revision at which the entry was written last.
    std::uint64_t version = 0;
};

enum class StoreStatus : std::uint8_t {
    Ok,
    /// The entry's version was not the expected one; `entries` holds the present entry, if any.
    Conflict,
    NotFound,
    /// Refused for its rate; nothing was done.
    Throttled,
    /// Surely not executed: no connection could be made.
    Unavailable,
    /// May have been executed: the answer was lost.
    Ambiguous,
};

struct StoreReply
{
    std::uint64_t id = 0;
    StoreStatus status = StoreStatus::Unavailable;
    /// Store-wide revision at the time of the call.
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
    std::vector<StoreEntry> entries;
    std::string detail;
};

/// Changes below the watched prefix, in the order of their revisions.
struct StoreWatchUpdate
{
    std::uint64_t revision = 0;
    std::vector<StoreEntry> changed;
    std::vector<std::string> removed;
    /// True if `changed` lists everything below the prefix (after a start or a gap).
    bool full = false;
};

/// The watch's connection state changed.
struct StoreHealthChanged
{
    bool reachable = false;
};

} // namespace wigeonkeel
