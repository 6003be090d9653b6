#include "core/dispatch/job_memory.h"

#include <algorithm>
#include <cmath>

namespace wigeonkeel::dispatch
{

namespace
{

/// Share of the limit that is divided among the tenants.
constexpr std::size_t ownShare = 2;
/// Copies of an encoded record until it is stored: the client's call, the commit, the transaction and its body.
constexpr std::size_t acceptanceCopies = 4;
/// Allocator overhead and index entries of a job, and of a step with its entries in the lists of a placement pass.
constexpr std::size_t jobOverhead = 512;
constexpr std::size_t stepOverhead = 192;
constexpr std::chrono::duration<double> rateMemory{5.0};
constexpr milliseconds minRetryAfter{1000};
/// A client that came back later would miss room that is free again.
constexpr milliseconds maxRetryAfter{10000};

std::size_t stepBytes(const StepSpec &step)
{
    return sizeof(StepSpec) + stepOverhead + step.after.size() * sizeof(std::uint32_t) + step.requiredLabel.size()
        + step.dataRack.size() + step.image.size();
}

std::size_t recordBytes(const JobRecord &record)
{
    std::size_t bytes = sizeof(Job) + jobOverhead + record.spec.payload.size() + record.queue.name.size()
        + record.queue.pool.size() + record.tenant.size();
    for (const StepSpec &step : record.spec.steps) {
        bytes += stepBytes(step);
    }
    return bytes;
}

/// Weights of the tenants in force together; 0 if there are none.
double totalWeight(const TenantTable &tenants)
{
    double weights = 0;
    for (const TenantState &row : tenants.rows) {
        weights += row.isConfigured ? row.weight : 0.0;
    }
    return weights;
}

/// Part of the limit that other tenants can't use up. Without tenants in force, it belongs to the jobs without one.
std::size_t ownPart(const JobMemory &memory, const TenantTable &tenants, TenantSlot tenant, double weights)
{
    const std::size_t divided = memory.limit / ownShare;
    const TenantState &row = tenants.rows[tenant];
    if (weights <= 0) {
        return tenant == noTenant ? divided : 0;
    }
    return row.isConfigured ? static_cast<std::size_t>(static_cast<double>(divided) * (row.weight / weights)) : 0;
}

/// What would be missing in the common half with these bytes more for the tenant; 0 if nothing.
std::size_t missingBytes(const JobMemory &memory, const TenantTable &tenants, TenantSlot tenant, std::size_t bytes)
{
    const std::size_t common = memory.limit - memory.limit / ownShare;
    if (memory.used + bytes <= common) {
        return 0;
    }
    const double weights = totalWeight(tenants);
    std::size_t beyondParts = 0;
    for (TenantSlot slot = 0; slot < tenants.rows.size(); ++slot) {
        const std::size_t used = tenants.rows[slot].jobBytes + (slot == tenant ? bytes : 0);
        const std::size_t part = ownPart(memory, tenants, slot, weights);
        const std::size_t beyond = used > part ? used - part : 0;
        if (slot == tenant && beyond == 0) {
            return 0;
        }
        beyondParts += beyond;
    }
    return beyondParts > common ? beyondParts - common : 0;
}

void charge(JobMemory &memory, TenantState &tenant, std::size_t bytes)
{
    memory.used += bytes;
    tenant.jobBytes += bytes;
}

void release(JobMemory &memory, TenantState &tenant, std::size_t bytes)
{
    memory.used -= bytes;
    memory.releasedSinceUpdate += bytes;
    tenant.jobBytes -= bytes;
}

} // namespace

std::size_t occurrenceBytes(const JobSpec &spec)
{
    std::size_t bytes = sizeof(Occurrence);
    for (const StepSpec &step : spec.steps) {
        bytes += sizeof(StepRun) + step.count * sizeof(Task);
    }
    return bytes;
}

std::size_t submittedBytes(const JobRecord &record, std::size_t recordSize)
{
    return recordBytes(record) + occurrenceBytes(record.spec) + acceptanceCopies * recordSize + endedJobBytes;
}

std::size_t currentBytes(const Job &job)
{
    const std::size_t copies = job.accepted ? 0 : acceptanceCopies * job.recordSize;
    return recordBytes(job.record) + job.occurrences.size() * occurrenceBytes(job.record.spec) + copies + endedJobBytes;
}

JobFit findRoom(const JobMemory &memory, const TenantTable &tenants, TenantSlot tenant, std::size_t bytes)
{
    if (missingBytes(memory, tenants, tenant, bytes) == 0) {
        return JobFit::Fits;
    }
    const std::size_t most
        = ownPart(memory, tenants, tenant, totalWeight(tenants)) + memory.limit - memory.limit / ownShare;
    return bytes > most ? JobFit::TooLarge : JobFit::Full;
}

milliseconds retryAfterRelease(
    const JobMemory &memory, const TenantTable &tenants, TenantSlot tenant, std::size_t bytes)
{
    const auto missing = static_cast<double>(missingBytes(memory, tenants, tenant, bytes));
    const double longest = std::chrono::duration<double>(maxRetryAfter).count();
    if (missing >= memory.releasedPerSecond * longest) {
        return maxRetryAfter;
    }
    const std::chrono::duration<double> wait(missing / memory.releasedPerSecond);
    return std::max(minRetryAfter, std::chrono::ceil<milliseconds>(wait));
}

void updateCharge(JobMemory &memory, TenantTable &tenants, Job &job)
{
    TenantState &tenant = tenants.rows[job.tenant];
    const std::size_t bytes = currentBytes(job);
    if (bytes >= job.chargedBytes) {
        charge(memory, tenant, bytes - job.chargedBytes);
    } else {
        release(memory, tenant, job.chargedBytes - bytes);
    }
    job.chargedBytes = bytes;
}

void releaseCharge(JobMemory &memory, TenantTable &tenants, Job &job)
{
    release(memory, tenants.rows[job.tenant], job.chargedBytes);
    job.chargedBytes = 0;
}

void chargeEnded(JobMemory &memory, TenantTable &tenants, TenantSlot tenant)
{
    charge(memory, tenants.rows[tenant], endedJobBytes);
}

void releaseEnded(JobMemory &memory, TenantTable &tenants, TenantSlot tenant)
{
    release(memory, tenants.rows[tenant], endedJobBytes);
}

void updateReleaseRate(JobMemory &memory, MonotonicTime now)
{
    const std::chrono::duration<double> passed = now - memory.updatedAt;
    if (passed.count() <= 0) {
        return;
    }
    const double present = static_cast<double>(memory.releasedSinceUpdate) / passed.count();
    memory.releasedPerSecond += (present - memory.releasedPerSecond) * (1.0 - std::exp(-passed / rateMemory));
    memory.releasedSinceUpdate = 0;
    memory.updatedAt = now;
}

} // namespace wigeonkeel::dispatch
