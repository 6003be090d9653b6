#pragma once

#include "core/protocol/jobs.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Text of a job's record in the store.
std::string encodeJob(const JobRecord &record);
/// Nothing if the text is not a record.
std::optional<JobRecord> decodeJob(std::string_view text);

} // namespace wigeonkeel
