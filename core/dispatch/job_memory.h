#pragma once

#include "core/dispatch/job_table.h"
#include "core/tenants/tenant_table.h"

#include <cstddef>

namespace wigeonkeel::dispatch
{

/// What jobs take of the leader's memory, in bytes by estimate. The records of ended jobs count too.
struct JobMemory
{
    /// Half of it is divided among the tenants by weight, and the other half is for whoever comes first.
    std::size_t limit = std::size_t{64} << 20;
    std::size_t used = 0;
    /// Moving average over the last seconds.
    double releasedPerSecond = 0;
    std::size_t releasedSinceUpdate = 0;
    MonotonicTime updatedAt{};
};

enum class JobFit : std::uint8_t {
    Fits,
    /// Not now: other jobs have to end first.
    Full,
    /// Not even if there was no other job.
    TooLarge,
};

/// Memory of an ended job whose id still counts as used: its entries in both indexes of ended jobs.
inline constexpr std::size_t endedJobBytes = 128;

/// Memory of one occurrence of a job, with all of its tasks.
std::size_t occurrenceBytes(const JobSpec &spec);

/// Memory of a job at its submission, until it has ended and its id counts as unused. `recordSize` is the size of its
/// encoded record, of which there are copies until the store has confirmed it.
std::size_t submittedBytes(const JobRecord &record, std::size_t recordSize);

/// Memory of a job now.
std::size_t currentBytes(const Job &job);

/// Whether a further job, or occurrence, of this tenant can be held.
JobFit findRoom(const JobMemory &memory, const TenantTable &tenants, TenantSlot tenant, std::size_t bytes);

/// When a job that doesn't fit now may be submitted again, by the rate at which memory was released lately.
milliseconds retryAfterRelease(
    const JobMemory &memory, const TenantTable &tenants, TenantSlot tenant, std::size_t bytes);

/// Charges what the job takes now instead of what was charged for it before.
void updateCharge(JobMemory &memory, TenantTable &tenants, Job &job);
/// For a job that is about to be removed.
void releaseCharge(JobMemory &memory, TenantTable &tenants, Job &job);
/// Charge and release the memory of an ended job.
void chargeEnded(JobMemory &memory, TenantTable &tenants, TenantSlot tenant);
void releaseEnded(JobMemory &memory, TenantTable &tenants, TenantSlot tenant);

/// Updates the rate of releases. Call it several times a second.
void updateReleaseRate(JobMemory &memory, MonotonicTime now);

} // namespace wigeonkeel::dispatch
