#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace wigeonkeel
{

struct Scheduler;
struct RequestEntry;

/// Workers that left the VM list, and when. Requests may run on them until their leases end.
struct UnlistedWorkers
{
    std::map<std::string, MonotonicTime, std::less<>> leftAt;
};

/// A worker is not in the VM list any more.
void noteWorkerUnlisted(Scheduler &scheduler, std::string_view worker, const Now &now);

/// Forgets the workers that are listed again, and those whose requests have surely ended.
void forgetUnlisted(Scheduler &scheduler, const Now &now);

/// Sum of the hashes of the names of the workers that this daemon holds and has rebuilt. Sums of several daemons add up
/// to that of the VM list only if each worker is held by one of them.
std::uint64_t heldWorkers(const Scheduler &scheduler, const Now &now);

/// True if this daemon and those that answered the entry's lookups hold every worker of the VM list, and no worker with
/// requests may have left it.
bool areAllWorkersHeld(const Scheduler &scheduler, const RequestEntry &entry, const Now &now);

/// True if this daemon has held some worker since then without a gap. Peers can't have found all workers held without
/// asking this daemon in that time.
bool holdsWorkerSince(const Scheduler &scheduler, MonotonicTime since, const Now &now);

} // namespace wigeonkeel
