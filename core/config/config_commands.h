#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/config/config_decision.h"
#include "core/config/config_record.h"
#include "core/operator_messages.h"
#include "core/store_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonkeel
{

struct ConfigCommandOptions
{
    /// Commands under way at one time; more are refused as overloaded.
    std::size_t maxCommands = 256;
    /// A command without a settled result is answered after this time.
    milliseconds timeout{15000};
    /// Pause before a store call is made again.
    milliseconds retryInterval{200};
    /// Reads and writes of one command that may lose against other writers.
    unsigned maxRounds = 16;
    /// Placement policies that settings may name; empty if that is not checked.
    std::vector<std::string> policyNames;
};

/// Step of a command that waits for the store.
enum class CommandPhase : std::uint8_t {
    /// The record is being read.
    Reading,
    /// The changed record is being written.
    Writing,
    /// The answer to a write was lost; the record is being read back.
    Settling,
};

/// An operator's command on its way through the store.
struct ConfigCommand
{
    OperatorEvent event;
    CommandPhase phase = CommandPhase::Reading;
    OperatorRecord before;
    /// Store version of `before`; 0 if there is no record.
    std::uint64_t versionBefore = 0;
    ConfigDecision decision;
    /// A write was sent whose fate is not known.
    bool writeOpen = false;
    unsigned rounds = 0;
    MonotonicTime deadline{};
};

struct ConfigRetry
{
    ConfigCommand command;
    MonotonicTime at{};
};

/// Commands of operators that this daemon carries out.
struct ConfigCommands
{
    ConfigCommandOptions options;
    /// By the id of the store call that is under way.
    std::map<std::uint64_t, ConfigCommand> byCall;
    std::vector<ConfigRetry> retries;
};

/// The end of a command.
struct ConfigResult
{
    OperatorReply reply;
    /// How long the operator waits for the change to be in force everywhere.
    milliseconds waitFor{0};
};

/// Begins a command with a read of its record; `callId` names the store call.
std::optional<ConfigResult> beginCommand(
    ConfigCommands &commands, const OperatorEvent &event, std::uint64_t callId, const Now &now, Actions &actions);

/// Carries a command on after the store's answer; `nextCallId` is used if another call is needed.
std::optional<ConfigResult> continueCommand(
    ConfigCommands &commands, const StoreReply &reply, std::uint64_t nextCallId, const Now &now, Actions &actions);

/// Makes the store call of one command that is due again. False if there is none.
bool retryCommand(ConfigCommands &commands, std::uint64_t callId, const Now &now, Actions &actions);

/// Ends commands that are past their deadline.
std::vector<ConfigResult> expireCommands(ConfigCommands &commands, const Now &now);

} // namespace wigeonkeel
