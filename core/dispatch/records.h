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
/// The id at the end of a key with this prefix.
std::optional<JobId> jobOfKey(std::string_view key, std::string_view prefix);

/// Text forms of what the store keeps. Decoding returns nothing and sets `problem` if the text is not one of them.
std::string encodeJobRecord(const JobRecord &record);
std::optional<JobRecord> decodeJobRecord(std::string_view text, std::string &problem);

/// Done tasks, failures, attempts and checkpoints.
std::string encodeProgress(const Job &job);
/// Applies stored progress to a job that was just made from its record.
bool applyProgress(Job &job, std::string_view text, std::string &problem);

/// Workers that a leader has had to do with. The directory may forget workers while the store is away; a new leader
/// has to hear all that may hold runs.
inline constexpr std::string_view workersKey = "wk/ctl/workers";
std::string encodeWorkers(const WorkerTable &table);
/// The worker is in that record: it takes starts, or holds runs or ends that are not stored.
bool isRecorded(const Worker &worker);
std::vector<WorkerEntry> decodeWorkers(std::string_view text, std::string &problem);

/// What is kept of a job after its end.
struct EndRecord
{
    JobState state = JobState::Failed;
    WallTime endedAt{};
};

/// "done", "failed" or "cancelled".
std::string_view stateName(JobState state);
std::string encodeEnd(const EndRecord &record);
/// Nothing if the text is no record of an end.
std::optional<EndRecord> decodeEnd(std::string_view text);

} // namespace wigeonkeel::dispatch
