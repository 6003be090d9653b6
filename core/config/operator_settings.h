#pragma once

#include "core/clock.h"
#include "core/resources.h"
#include "core/task.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace wigeonkeel
{

/// A team of an operator; shares the operator's part of the cell with the other teams.
struct TeamSettings
{
    std::string name;
    /// Most that the team's tasks may hold at one time; amounts of 0 are not limited.
    Resources quota;
    /// Share of idle capacity in relation to other teams.
    std::uint32_t weight = 1;
};

/// A kind of work that callers submit by name.
struct WorkloadSettings
{
    std::string name;
    std::string team;
    TaskKind kind = TaskKind::Batch;
    /// 0 to 9, larger is more urgent.
    std::uint8_t urgency = 0;
    bool idempotent = true;
    /// Size of one task, unless the caller names another.
    Resources size{.cpuMilli = 100, .memoryMib = 64, .accelerators = 0, .slots = 0};
    std::uint32_t tasks = 1;
    milliseconds runTime{0};
    /// The start is of no use to the caller later than this after the submission; 0 for no limit.
    milliseconds startWithin{0};
    /// Limits; 0 for none.
    std::uint32_t maxRunning = 0;
    std::uint32_t maxQueued = 0;
    std::uint32_t maxPerSecond = 0;
    /// Starts of one task before it is given up.
    std::uint32_t maxAttempts = 3;
};

/// What an operator has declared; the parsed form of their INI text.
struct OperatorSettings
{
    std::string name;
    /// For people; not used by the scheduler.
    std::string description;
    std::map<std::string, TeamSettings, std::less<>> teams;
    std::map<std::string, WorkloadSettings, std::less<>> workloads;
    /// Name of the placement policy for each kind; empty for the default.
    std::array<std::string, taskKindCount> policies;
};

} // namespace wigeonkeel
