#pragma once

#include "core/dispatch/job_table.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel::dispatch
{

inline constexpr std::string_view jobPrefix = "wk/job/";
inline constexpr std::string_view progressPrefix = "wk/prog/";
inline constexpr std::string_view endPrefix = "wk/end/";

std::string jobKey(JobId id);
std::string progressKey(JobId id);
std::string endKey(JobId id);
/// Parses the job id after the prefix. Empty if the key has another form.
std::optional<JobId> jobIdFromKey(std::string_view key, std::string_view prefix);

/// Text encodings of stored records. Decoding returns an empty value and sets `problem` if the text is invalid.
std::string encodeJobRecord(const JobRecord &record);
std::optional<JobRecord> decodeJobRecord(std::string_view text, std::string &problem);

/// Encodes done tasks, failures, attempts and checkpoints.
std::string encodeProgress(const Job &job);
/// Applies stored progress to a job that was just created from its record.
bool applyProgress(Job &job, std::string_view text, std::string &problem);

/// Key of the record of workers that may hold runs. The directory may lose workers while the store is unreachable, but
/// a new leader has to contact every worker that may hold runs.
inline constexpr std::string_view workersKey = "wk/ctl/workers";
/// Names the incarnation of a worker only if its leases are bounded (Worker::boundedIncarnation), and 0 otherwise.
std::string encodeWorkers(const WorkerTable &table);
/// Whether the worker belongs in that record: it accepts starts, or holds runs or ends that are not stored yet.
bool isRecorded(const Worker &worker);
std::vector<WorkerEntry> decodeWorkers(std::string_view text, std::string &problem);

/// What the store keeps of a job after its end.
struct EndRecord
{
    JobState state = JobState::Failed;
    WallTime endedAt{};
    /// Empty for a job without a tenant.
    std::string tenant;
    /// Runs of the job that were being stopped at its end; they count against the tenant's cap.
    Resources stopping;
};

/// "done", "failed", "cancelled" or "withdrawn".
std::string_view stateName(JobState state);
std::string encodeEnd(const EndRecord &record);
/// Empty if the text is not an encoded EndRecord.
std::optional<EndRecord> decodeEnd(std::string_view text);

} // namespace wigeonkeel::dispatch
