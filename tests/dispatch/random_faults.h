#pragma once

#include "tests/dispatch/dispatch_world.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonkeel::dispatch
{

/// One fault of a plan. Its target is drawn with `pick` when it begins, because leaders change.
struct Fault
{
    /// Position in faultTypes().
    std::size_t type = 0;
    milliseconds at{0};
    milliseconds length{0};
    std::uint64_t pick = 0;
    /// Faults of daemons hit the leader of that time.
    bool onLeader = false;
};

struct FaultType
{
    std::string_view name;
    /// Begins the fault and schedules its end.
    void (*begin)(World &world, const Fault &fault);
    milliseconds shortest{0};
    milliseconds longest{0};
};

/// Every kind of fault that plans are drawn from.
std::span<const FaultType> faultTypes();

/// Ends all faults: daemons run, workers that are up answer, the store serves everybody.
void endAllFaults(World &world);

struct PlannedJob
{
    milliseconds at{0};
    JobId id = 0;
    JobSpec spec;
    bool urgent = false;
    /// How long after the acceptance copies of the submission arrive.
    std::vector<milliseconds> copies;
    /// How long after the acceptance a client cancels the job; empty if none does.
    std::optional<milliseconds> cancelAfter;
};

/// A load and an overlapping series of faults, drawn from a seed.
struct FaultPlan
{
    std::uint64_t seed = 0;
    std::size_t nodes = 3;
    std::size_t workers = 5;
    std::uint64_t failPercent = 0;
    bool lateOrdersReachNextIncarnation = false;
    /// Two thirds of the jobs belong to two tenants with caps, and clients call with the key of the wrong one too.
    bool hasTenants = false;
    /// Logs the simulated time and the faults between the daemons' own lines.
    bool trace = false;
    std::vector<PlannedJob> jobs;
    std::vector<Fault> faults;
};

/// Which kinds of faults a plan is drawn from, and how many; empty for all kinds.
struct FaultMix
{
    std::string_view name;
    std::vector<std::string_view> types;
    std::uint64_t fewest = 4;
    std::uint64_t most = 14;
    /// Percentage of faults that begin within 2 s of the one before, so that they meet in one takeover or renewal.
    std::uint64_t closePercent = 50;
    /// Each fault begins 1 to 6 s after the one before and hits the leader, instead of the draws above.
    bool leadersInSeries = false;
};

std::span<const FaultMix> faultMixes();

FaultPlan drawPlan(std::uint64_t seed, const FaultMix &mix);
/// What a play came to. The counts show that the load did run.
struct PlayResult
{
    /// The broken rules.
    std::vector<std::string> violations;
    std::size_t starts = 0;
    std::size_t jobsAccepted = 0;
    std::size_t jobsEnded = 0;
    /// Calls about jobs of other tenants that were refused with Forbidden.
    std::size_t foreignRefused = 0;
    /// Revisions at which claims were written.
    std::set<std::uint64_t> claims;
};

/// Plays the load and the faults, then the recovery.
PlayResult playPlan(const FaultPlan &plan);
/// Removes the faults and jobs without which the same rule is still broken.
FaultPlan minimisePlan(FaultPlan plan, std::string_view rule);
std::string describePlan(const FaultPlan &plan);

} // namespace wigeonkeel::dispatch
