#pragma once

#include "core/config/operator_settings.h"
#include "core/settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// Limits that every kind of workload has; 0 for none.
struct LimitOptions
{
    std::uint32_t maxRunning = 0;
    std::uint32_t maxQueued = 0;
    /// Submissions a second.
    std::uint32_t maxPerSecond = 0;
};

/// Urgent, short work of one task.
struct RequestDeclaration
{
    std::string name;
    std::string team;
    /// 0 to 9, larger is more urgent.
    std::uint8_t urgency = 5;
    /// False: runs at most once, also when an answer is lost.
    bool idempotent = false;
    Resources size{.cpuMilli = 100, .memoryMib = 64, .accelerators = 0, .slots = 1};
    milliseconds runTime{0};
    /// A later start is of no use; 0 for no limit.
    milliseconds startWithin{0};
    LimitOptions limits;
};

/// Work that may wait and may be pre-empted.
struct BatchDeclaration
{
    std::string name;
    std::string team;
    std::uint8_t urgency = 0;
    Resources size{.cpuMilli = 1000, .memoryMib = 1024, .accelerators = 0, .slots = 0};
    std::uint32_t tasks = 1;
    milliseconds runTime{0};
    /// Starts of one task before it is given up.
    std::uint32_t maxAttempts = 3;
    LimitOptions limits;
};

/// Tasks that start all together or not at all.
struct GangDeclaration
{
    std::string name;
    std::string team;
    std::uint8_t urgency = 3;
    Resources size{.cpuMilli = 1000, .memoryMib = 1024, .accelerators = 0, .slots = 0};
    std::uint32_t tasks = 2;
    milliseconds runTime{0};
    milliseconds startWithin{0};
    std::uint32_t maxAttempts = 3;
    LimitOptions limits;
};

/// Tasks that run until they are cancelled.
struct ServiceDeclaration
{
    std::string name;
    std::string team;
    std::uint8_t urgency = 4;
    Resources size{.cpuMilli = 1000, .memoryMib = 1024, .accelerators = 0, .slots = 0};
    std::uint32_t tasks = 1;
    std::uint32_t maxAttempts = 1000;
    LimitOptions limits;
};

/// Another placement policy than the default for a kind.
struct PolicyOptions
{
    TaskKind kind = TaskKind::Batch;
    std::string name;
};

/// All that an operator declares.
struct OperatorDeclaration
{
    std::string name;
    std::string description;
    std::vector<TeamSettings> teams;
    std::vector<RequestDeclaration> requests;
    std::vector<BatchDeclaration> batches;
    std::vector<GangDeclaration> gangs;
    std::vector<ServiceDeclaration> services;
    std::vector<PolicyOptions> policies;
};

/// What is wrong with a declaration; empty if a daemon would take it. The line numbers are those of the INI text.
std::vector<SettingProblem> check(const OperatorDeclaration &declaration);

/// INI text for `wigeonkeelctl apply`. It parses to the declared settings if check() finds nothing.
std::string printIni(const OperatorDeclaration &declaration);

/// For the main function of an operator's program: prints the INI text on standard output, or what is wrong on standard
/// error. Returns the exit code, 0 or 1.
int printOrExplain(const OperatorDeclaration &declaration);

} // namespace wigeonkeel
