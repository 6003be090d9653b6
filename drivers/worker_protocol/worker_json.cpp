#include "drivers/worker_protocol/worker_json.h"

#include "core/json_text.h"

#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

constexpr std::array<std::string_view, 7> commandNames
    = {"start", "renew", "renew_all", "stop", "checkpoint", "throttle", "acknowledge"};

/// Leaves out a number of 0 and an empty text: they are the defaults, and most fields of most messages hold them.
template <typename Value>
void put(Json &json, const char *name, const Value &value)
{
    if (value != Value{}) {
        json[name] = value;
    }
}

Json toJson(const Resources &amount)
{
    Json json = Json::object();
    put(json, "cpu_milli", amount.cpuMilli);
    put(json, "memory_mib", amount.memoryMib);
    put(json, "accelerators", amount.accelerators);
    put(json, "slots", amount.slots);
    return json;
}

Resources resourcesFrom(const Json &json)
{
    return {.cpuMilli = json.value("cpu_milli", std::int64_t{0}),
        .memoryMib = json.value("memory_mib", std::int64_t{0}),
        .accelerators = json.value("accelerators", std::int64_t{0}),
        .slots = json.value("slots", std::int64_t{0})};
}

Json toJson(const TaskLabel &label)
{
    Json json = {{"kind", toString(label.kind)}, {"idempotent", label.idempotent}};
    put(json, "operator", label.operatorName);
    put(json, "home", label.home);
    put(json, "team", label.team);
    put(json, "workload", label.workload);
    put(json, "urgency", label.urgency);
    return json;
}

TaskLabel labelFrom(const Json &json)
{
    return {.operatorName = json.value("operator", ""),
        .team = json.value("team", ""),
        .workload = json.value("workload", ""),
        .home = json.value("home", ""),
        .kind = parseTaskKind(json.value("kind", "batch")).value_or(TaskKind::Batch),
        .urgency = json.value("urgency", std::uint8_t{0}),
        .idempotent = json.value("idempotent", true)};
}

WorkerTime timeFrom(const Json &json, const char *name)
{
    return WorkerTime(milliseconds(json.value(name, std::int64_t{0})));
}

std::int64_t count(WorkerTime time)
{
    return time.time_since_epoch().count();
}

TaskId taskFrom(const Json &json)
{
    const auto id = parseTaskId(json.at("task").get<std::string>());
    if (!id) {
        throw Json::other_error::create(0, "the task id is malformed", &json);
    }
    return *id;
}

Json toJson(const WorkerCommand &command)
{
    Json json = {{"op", commandNames[static_cast<std::size_t>(command.kind)]}};
    put(json, "sequence", command.sequence);
    if (command.kind == CommandKind::RenewAll) {
        json["kind"] = toString(command.label.kind);
    } else {
        json["task"] = toString(command.task);
    }
    if (command.kind == CommandKind::Start || command.kind == CommandKind::Renew
        || command.kind == CommandKind::RenewAll) {
        json["lease_until_ms"] = count(command.leaseUntil);
        json["holder"] = command.holder;
    }
    if (command.kind == CommandKind::Stop) {
        json["holder"] = command.holder;
    }
    if (command.kind == CommandKind::Start && command.task != ownerTaskId) {
        json["label"] = toJson(command.label);
        json["size"] = toJson(command.size);
        put(json, "payload", command.payload);
        put(json, "run_ms", command.declaredRunTime.count());
    }
    if (command.epoch != 0) {
        json["epoch"] = command.epoch;
    }
    if (command.kind == CommandKind::Throttle) {
        json["percent"] = command.throttlePercent;
    }
    return json;
}

WorkerCommand commandFrom(const Json &json)
{
    const std::string name = json.at("op").get<std::string>();
    std::size_t kind = 0;
    while (kind < commandNames.size() && commandNames[kind] != name) {
        ++kind;
    }
    if (kind == commandNames.size()) {
        throw Json::other_error::create(0, "unknown op '" + name + "'", &json);
    }
    WorkerCommand command{.sequence = json.value("sequence", std::uint64_t{0}), .kind = static_cast<CommandKind>(kind)};
    if (command.kind == CommandKind::RenewAll) {
        command.label.kind = parseTaskKind(json.value("kind", "batch")).value_or(TaskKind::Batch);
    } else {
        command.task = taskFrom(json);
    }
    command.leaseUntil = timeFrom(json, "lease_until_ms");
    command.holder = json.value("holder", "");
    command.epoch = json.value("epoch", std::uint64_t{0});
    if (json.contains("label")) {
        command.label = labelFrom(json.at("label"));
    }
    command.size = resourcesFrom(json.value("size", Json::object()));
    command.payload = json.value("payload", "");
    command.declaredRunTime = milliseconds(json.value("run_ms", std::int64_t{0}));
    command.throttlePercent = json.value("percent", std::uint32_t{100});
    return command;
}

Json toJson(const TaskReport &task)
{
    Json json = {{"task", toString(task.id)}, {"state", toString(task.state)}, {"label", toJson(task.label)},
        {"size", toJson(task.size)}};
    if (task.usage != Resources{}) {
        json["usage"] = toJson(task.usage);
    }
    put(json, "holder", task.holder);
    put(json, "ran_ms", task.ranFor.count());
    put(json, "lease_until_ms", count(task.leaseUntil));
    put(json, "result", task.result);
    put(json, "result_size", task.resultSize);
    put(json, "result_digest", task.resultDigest);
    put(json, "detail", task.detail);
    return json;
}

TaskReport taskReportFrom(const Json &json)
{
    return {.id = taskFrom(json),
        .state = parseTaskState(json.at("state").get<std::string>()).value_or(TaskState::Running),
        .label = labelFrom(json.value("label", Json::object())),
        .size = resourcesFrom(json.value("size", Json::object())),
        .usage = resourcesFrom(json.value("usage", Json::object())),
        .holder = json.value("holder", ""),
        .leaseUntil = timeFrom(json, "lease_until_ms"),
        .ranFor = milliseconds(json.value("ran_ms", std::int64_t{0})),
        .resultSize = json.value("result_size", std::uint64_t{0}),
        .resultDigest = json.value("result_digest", std::uint64_t{0}),
        .result = json.value("result", ""),
        .detail = json.value("detail", "")};
}

Json toJson(const CommandResult &result)
{
    Json json = {{"sequence", result.sequence}, {"task", toString(result.task)}, {"status", toString(result.status)}};
    put(json, "holder", result.holder);
    put(json, "lease_until_ms", count(result.leaseUntil));
    put(json, "detail", result.detail);
    return json;
}

CommandResult resultFrom(const Json &json)
{
    return {.sequence = json.value("sequence", std::uint64_t{0}),
        .task = taskFrom(json),
        .status = parseCommandStatus(json.at("status").get<std::string>()).value_or(CommandStatus::Refused),
        .holder = json.value("holder", ""),
        .leaseUntil = timeFrom(json, "lease_until_ms"),
        .detail = json.value("detail", "")};
}

} // namespace

std::string encodeExchange(const WorkerExchange &exchange)
{
    Json json = {{"commands", Json::array()}};
    put(json, "since", exchange.since);
    put(json, "full", exchange.full);
    for (const WorkerCommand &command : exchange.commands) {
        json["commands"].push_back(toJson(command));
    }
    return dumpJson(json);
}

std::string encodeReport(const WorkerReport &report)
{
    Json json = {{"worker", report.worker}, {"boot", report.boot}, {"clock_ms", count(report.clock)},
        {"sequence", report.sequence}, {"capacity", toJson(report.capacity)}, {"results", Json::array()},
        {"tasks", Json::array()}};
    put(json, "full", report.full);
    put(json, "answers_exchange", report.answersExchange);
    put(json, "rack", report.rack);
    put(json, "zone", report.zone);
    put(json, "fencing", report.abilities.fencing);
    put(json, "finished_memory", report.abilities.finishedMemory);
    put(json, "renew_call", report.abilities.renewCall);
    put(json, "epoch", report.epoch);
    for (const CommandResult &result : report.results) {
        json["results"].push_back(toJson(result));
    }
    for (const TaskReport &task : report.tasks) {
        json["tasks"].push_back(toJson(task));
    }
    return dumpJson(json);
}

std::optional<WorkerExchange> decodeExchange(std::string_view text, std::string &problem)
{
    return decodeJson<WorkerExchange>(text, problem, [](const Json &json) {
        WorkerExchange exchange{
            .commands = {}, .since = json.value("since", std::uint64_t{0}), .full = json.value("full", false)};
        for (const Json &command : json.at("commands")) {
            exchange.commands.push_back(commandFrom(command));
        }
        return exchange;
    });
}

std::optional<WorkerReport> decodeReport(std::string_view text, std::string &problem)
{
    return decodeJson<WorkerReport>(text, problem, [](const Json &json) {
        WorkerReport report{.worker = json.at("worker").get<std::string>(),
            .boot = json.value("boot", std::uint64_t{0}),
            .clock = timeFrom(json, "clock_ms"),
            .sequence = json.value("sequence", std::uint64_t{0}),
            .full = json.value("full", false),
            .answersExchange = json.value("answers_exchange", false),
            .capacity = resourcesFrom(json.at("capacity")),
            .rack = json.value("rack", ""),
            .zone = json.value("zone", ""),
            .abilities = {.fencing = json.value("fencing", false),
                .finishedMemory = json.value("finished_memory", false),
                .renewCall = json.value("renew_call", false)},
            .epoch = json.value("epoch", std::uint64_t{0}),
            .results = {},
            .tasks = {}};
        for (const Json &result : json.at("results")) {
            report.results.push_back(resultFrom(result));
        }
        for (const Json &task : json.at("tasks")) {
            report.tasks.push_back(taskReportFrom(task));
        }
        return report;
    });
}

} // namespace wigeonkeel
