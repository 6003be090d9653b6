#include "core/config/config_commands.h"

#include "core/config/config_record_json.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

std::string keyOf(const ConfigCommand &command)
{
    return fmt::format("{}{}", configKeyPrefix, command.event.operatorName);
}

bool isQuestion(OperatorCommandKind kind)
{
    return kind == OperatorCommandKind::Show || kind == OperatorCommandKind::History;
}

ConfigResult fail(const OperatorEvent &event, Errc code, std::string detail)
{
    return {.reply = {.token = event.token,
                .error = {.code = code,
                    .step = fmt::format("{} settings", toString(event.kind)),
                    .peer = event.operatorName,
                    .detail = std::move(detail)}}};
}

ConfigResult failUnsettled(const ConfigCommand &command)
{
    if (command.writeOpen) {
        return fail(command.event, Errc::OutcomeUnknown,
            fmt::format("the store's answer to the write was lost; ask again with the same write id '{}'",
                command.event.writeId));
    }
    return fail(command.event, Errc::Unavailable, "the store did not answer in time; nothing was changed");
}

void sendCall(ConfigCommands &commands, ConfigCommand command, std::uint64_t callId, Actions &actions)
{
    StoreCall call{.id = callId, .kind = StoreCallKind::Get, .key = keyOf(command)};
    if (command.phase == CommandPhase::Writing) {
        call.kind = StoreCallKind::Put;
        call.value = encodeOperatorRecord(command.decision.next);
        call.expectedVersion = command.versionBefore;
    }
    actions.push_back(std::move(call));
    commands.byCall.insert_or_assign(callId, std::move(command));
}

void sendLater(ConfigCommands &commands, ConfigCommand command, const Now &now)
{
    commands.retries.push_back({.command = std::move(command), .at = now.monotonic + commands.options.retryInterval});
}

ConfigResult answerQuestion(const ConfigCommand &command)
{
    const OperatorRecord &record = command.before;
    ConfigResult result{.reply = {.token = command.event.token,
                            .generation = record.generation,
                            .cancelled = record.cancelled,
                            .settings = record.settings,
                            .revision = command.versionBefore}};
    if (command.event.kind == OperatorCommandKind::History) {
        result.reply.history = record.audit;
        return result;
    }
    if (record.generation == 0) {
        result.reply.error = fail(command.event, Errc::NotFound, "nothing was applied yet").reply.error;
    }
    return result;
}

/// The answer that the decision calls for, after it was recorded at `revision`.
ConfigResult answerDecision(const ConfigCommand &command, std::uint64_t revision)
{
    const ConfigDecision &decision = command.decision;
    return {.reply = {.token = command.event.token,
                .error = decision.refusal,
                .generation = decision.generation,
                .cancelled = decision.next.cancelled,
                .problems = decision.problems,
                .history = decision.changesSince,
                .revision = revision},
        .waitFor = decision.refusal ? milliseconds(0) : command.event.waitFor};
}

/// Decides on the record that was read, and writes the result.
std::optional<ConfigResult> decideAndWrite(
    ConfigCommands &commands, ConfigCommand command, std::uint64_t callId, const Now &now, Actions &actions)
{
    if (isQuestion(command.event.kind)) {
        return answerQuestion(command);
    }
    command.decision = decideChange(command.before, command.event, now.wall, commands.options.policyNames);
    command.writeOpen = false;
    if (command.decision.recorded) {
        return answerDecision(command, command.versionBefore);
    }
    if (++command.rounds > commands.options.maxRounds) {
        // A refusal stands also when it could not be recorded.
        return command.decision.refusal
            ? answerDecision(command, command.versionBefore)
            : fail(command.event, Errc::Overloaded, "the record changes too often; nothing was changed");
    }
    command.phase = CommandPhase::Writing;
    sendCall(commands, std::move(command), callId, actions);
    return std::nullopt;
}

std::optional<ConfigResult> onRead(ConfigCommands &commands, ConfigCommand command, const StoreReply &reply,
    std::uint64_t callId, const Now &now, Actions &actions)
{
    if (reply.status == StoreStatus::Throttled) {
        return fail(command.event, Errc::Overloaded, "the store refused the call for its rate; nothing was changed");
    }
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        return fail(command.event, Errc::Unavailable, "the store does not answer; nothing was changed");
    }
    command.before = {};
    command.versionBefore = 0;
    if (reply.status == StoreStatus::Ok && !reply.entries.empty()) {
        std::string problem;
        auto record = decodeOperatorRecord(reply.entries.front().value, problem);
        if (!record) {
            return fail(command.event, Errc::Malformed, fmt::format("the record in the store: {}", problem));
        }
        command.before = std::move(*record);
        command.versionBefore = reply.entries.front().version;
    }
    return decideAndWrite(commands, std::move(command), callId, now, actions);
}

std::optional<ConfigResult> onWritten(ConfigCommands &commands, ConfigCommand command, const StoreReply &reply,
    std::uint64_t callId, const Now &now, Actions &actions)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        return answerDecision(command, reply.entries.empty() ? reply.revision : reply.entries.front().version);
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
        // Another write came first, perhaps this command's own whose answer was lost. The record tells.
        command.phase = command.writeOpen ? CommandPhase::Settling : CommandPhase::Reading;
        sendCall(commands, std::move(command), callId, actions);
        return std::nullopt;
    case StoreStatus::Ambiguous:
        command.writeOpen = true;
        command.phase = CommandPhase::Settling;
        sendCall(commands, std::move(command), callId, actions);
        return std::nullopt;
    case StoreStatus::Throttled:
    case StoreStatus::Unavailable:
        break;
    }
    if (command.writeOpen) {
        // This write did nothing, but an earlier one may have.
        command.phase = CommandPhase::Settling;
        sendLater(commands, std::move(command), now);
        return std::nullopt;
    }
    if (command.decision.refusal) {
        return answerDecision(command, command.versionBefore);
    }
    return reply.status == StoreStatus::Throttled
        ? fail(command.event, Errc::Overloaded, "the store refused the write for its rate; nothing was changed")
        : fail(command.event, Errc::Unavailable, "the store does not answer; nothing was changed");
}

std::optional<ConfigResult> onReadBack(ConfigCommands &commands, ConfigCommand command, const StoreReply &reply,
    std::uint64_t callId, const Now &now, Actions &actions)
{
    OperatorRecord present;
    std::uint64_t version = 0;
    if (reply.status == StoreStatus::Ok && !reply.entries.empty()) {
        std::string problem;
        auto record = decodeOperatorRecord(reply.entries.front().value, problem);
        if (!record) {
            return failUnsettled(command);
        }
        present = std::move(*record);
        version = reply.entries.front().version;
    } else if (reply.status != StoreStatus::NotFound) {
        sendLater(commands, std::move(command), now);
        return std::nullopt;
    }
    switch (fateOfWrite(command.before, command.versionBefore, present, version, command.event.writeId)) {
    case WriteFate::Took: {
        // The same change may have been sent to another daemon, which decided otherwise; what is recorded counts.
        ConfigDecision recorded = decideChange(present, command.event, now.wall, commands.options.policyNames);
        if (!recorded.refusal || !command.decision.refusal) {
            command.decision = std::move(recorded);
        }
        return answerDecision(command, version);
    }
    case WriteFate::Open:
        // Compare-and-swap lets at most one of the two equal writes through.
        command.phase = CommandPhase::Writing;
        sendLater(commands, std::move(command), now);
        return std::nullopt;
    case WriteFate::Lost:
        command.before = std::move(present);
        command.versionBefore = version;
        return decideAndWrite(commands, std::move(command), callId, now, actions);
    case WriteFate::Unknown:
        break;
    }
    return failUnsettled(command);
}

} // namespace

std::optional<ConfigResult> beginCommand(
    ConfigCommands &commands, const OperatorEvent &event, std::uint64_t callId, const Now &now, Actions &actions)
{
    if (commands.byCall.size() + commands.retries.size() >= commands.options.maxCommands) {
        return fail(event, Errc::Overloaded, "too many commands are under way at this daemon; nothing was changed");
    }
    ConfigCommand command{.event = event, .deadline = now.monotonic + commands.options.timeout};
    sendCall(commands, std::move(command), callId, actions);
    return std::nullopt;
}

std::optional<ConfigResult> continueCommand(
    ConfigCommands &commands, const StoreReply &reply, std::uint64_t nextCallId, const Now &now, Actions &actions)
{
    auto found = commands.byCall.extract(reply.id);
    if (found.empty()) {
        return std::nullopt; // Past its deadline and answered.
    }
    ConfigCommand command = std::move(found.mapped());
    switch (command.phase) {
    case CommandPhase::Reading:
        return onRead(commands, std::move(command), reply, nextCallId, now, actions);
    case CommandPhase::Writing:
        return onWritten(commands, std::move(command), reply, nextCallId, now, actions);
    case CommandPhase::Settling:
        return onReadBack(commands, std::move(command), reply, nextCallId, now, actions);
    }
    return std::nullopt;
}

bool retryCommand(ConfigCommands &commands, std::uint64_t callId, const Now &now, Actions &actions)
{
    const auto due = std::ranges::find_if(
        commands.retries, [&now](const ConfigRetry &retry) { return retry.at <= now.monotonic; });
    if (due == commands.retries.end()) {
        return false;
    }
    ConfigCommand command = std::move(due->command);
    commands.retries.erase(due);
    sendCall(commands, std::move(command), callId, actions);
    return true;
}

std::vector<ConfigResult> expireCommands(ConfigCommands &commands, const Now &now)
{
    std::vector<ConfigResult> results;
    const auto expire = [&](const ConfigCommand &command) {
        if (command.deadline > now.monotonic) {
            return false;
        }
        // A write that is under way may still take effect.
        ConfigCommand ended = command;
        ended.writeOpen = ended.writeOpen || ended.phase == CommandPhase::Writing;
        results.push_back(failUnsettled(ended));
        return true;
    };
    std::erase_if(commands.byCall, [&](const auto &item) { return expire(item.second); });
    std::erase_if(commands.retries, [&](const ConfigRetry &retry) { return expire(retry.command); });
    return results;
}

} // namespace wigeonkeel
