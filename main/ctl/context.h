#pragma once

#include "core/clock.h"
#include "core/error.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

/// Exit codes of wigeonkeelctl, see docs/wigeonkeelctl.md.
inline constexpr int exitDone = 0;
inline constexpr int exitRefused = 1;
inline constexpr int exitUsage = 2;
inline constexpr int exitUnknown = 3;
inline constexpr int exitUnreachable = 4;

/// A daemon's address with the ports of its two front ends.
struct DaemonAddress
{
    std::string address;
    std::uint16_t operatorPort = 0;
    std::uint16_t callerPort = 0;
};

/// What the commands of wigeonkeelctl work with.
struct CtlContext
{
    std::vector<DaemonAddress> daemons;
    std::string operatorName;
    std::string key;
    std::string author;
    bool json = false;
    /// Standard error is a terminal.
    bool progress = false;
    milliseconds timeout{0};
    /// What follows the command's name on the command line.
    std::vector<std::string> arguments;
};

/// A command of wigeonkeelctl.
struct CtlCommand
{
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    /// Example invocations, one a line.
    std::string_view examples;
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    /// Flags that the command uses besides the common ones.
    std::vector<std::string_view> flags;
    int (*run)(const CtlContext &context) = nullptr;
};

std::span<const CtlCommand> configCommands();
std::span<const CtlCommand> viewCommands();
std::span<const CtlCommand> workCommands();

/// Script for `complete` of bash.
std::string bashCompletion(std::span<const CtlCommand> commands, std::span<const std::string_view> commonFlags);

} // namespace wigeonkeel
