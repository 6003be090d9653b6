#pragma once

#include "core/caller_messages.h"
#include "core/config/config_table.h"

#include <string>

namespace wigeonkeel
{

/// Fills in what the caller did not give from the workload that the submission names. Returns why the operator's
/// settings forbid the submission; empty if they allow it. An operator without settings is free to submit anything.
std::string applySettings(const ConfigTable &table, const GivenFields &given, Submission &submission);

} // namespace wigeonkeel
