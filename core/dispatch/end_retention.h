#pragma once

#include "core/clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace wigeonkeel::dispatch
{

/// Key of the record of observed revisions.
inline constexpr std::string_view retentionKey = "wk/ctl/retention";

/// A leader knew at this time that the store had reached the revision, so whatever was written at this revision or a
/// lower one is at least that old.
struct ObservedRevision
{
    std::uint64_t revision = 0;
    MonotonicTime at{};
};

/// Proves how long records have been in the store. Times of day differ between VMs and jump, so each leader counts by
/// its monotonic clock, stores what it and its predecessors counted, and continues from there. The time between two
/// leaders is not counted: records are kept longer, never shorter.
struct EndRetention
{
    explicit EndRetention(milliseconds keptFor)
        : kept(keptFor)
    {
    }

    /// For how long a record has to be proven to exist before it may be removed.
    milliseconds kept;
    /// In ascending order of revisions and times.
    std::deque<ObservedRevision> observed;
    MonotonicTime nextObservation{};
    /// The record of the observations is being stored.
    bool commitOpen = false;
};

/// Continues a former leader's record; `stored` is empty if there is none. `revision` is the store's revision when this
/// leader claimed. A record that can't be read sets `problem`; then records count from now on.
EndRetention continueRetention(
    milliseconds kept, std::string_view stored, std::uint64_t revision, MonotonicTime now, std::string &problem);

/// Notes that the store has reached the revision, at most once in an interval. Returns true if it noted it, so that the
/// observations are due to be stored.
bool observeRevision(EndRetention &retention, std::uint64_t revision, MonotonicTime now);

/// The time since which a record that was written at this revision is proven to exist; `now` if nothing proves an
/// earlier time.
MonotonicTime provenSince(const EndRetention &retention, std::uint64_t revision, MonotonicTime now);

/// The observations as "REVISION:AGE_MS", separated by blanks.
std::string encodeRetention(const EndRetention &retention, MonotonicTime now);

} // namespace wigeonkeel::dispatch
