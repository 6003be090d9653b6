#include "main/ctl/output.h"
#include "main/ctl/transport.h"

#include <array>

#include <absl/flags/flag.h>
#include <fmt/format.h>

ABSL_FLAG(bool, all, false, "list the tasks of all operators (admins only)");

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;
using PrintFunction = void (*)(const Json &body);

int showPage(const CtlContext &context, std::string path, PrintFunction print)
{
    const CtlResponse response = callDaemons(
        context, {.path = std::move(path), .body = {}, .waitingFor = "a daemon", .timeout = context.timeout});
    if (printError(context, response)) {
        return exitCodeOf(response);
    }
    if (context.json) {
        fmt::print("{}\n", response.body);
        return exitDone;
    }
    print(parseBody(response));
    return exitDone;
}

void printStatus(const Json &body)
{
    fmt::print("Operator {}: generation {}, {}. Answered by {}; the store {}.\n", cell(body, "operator"),
        cell(body, "generation"), cell(body, "state"), cell(body, "answered_by"),
        body.value("store_reachable", false) ? "answers" : "does not answer");
    printTable(body.value("daemons", Json::array()),
        {{"DAEMON", "name"}, {"ZONE", "zone"}, {"STATE", "liveness"}, {"GENERATION", "generation"},
            {"REVISION", "config_revision"}, {"WORKERS", "owned_workers"}, {"DRAINING", "draining"},
            {"STORE", "store_reachable"}});
}

int status(const CtlContext &context)
{
    return showPage(context, "/v1/status", printStatus);
}

int workers(const CtlContext &context)
{
    return showPage(context, "/v1/workers", [](const Json &body) {
        fmt::print("Workers owned by daemon {}.\n", cell(body, "answered_by"));
        printTable(body.value("workers", Json::array()),
            {{"WORKER", "name"}, {"ZONE", "zone"}, {"RACK", "rack"}, {"TASKS", "tasks"}, {"FREE_SLOTS", "free/slots"},
                {"FREE_CPU_MILLI", "free/cpu_milli"}, {"FREE_MEMORY_MIB", "free/memory_mib"},
                {"PLACEABLE", "placeable"}});
    });
}

int tasks(const CtlContext &context)
{
    const std::string path = absl::GetFlag(FLAGS_all) ? "/v1/tasks?all=true" : "/v1/tasks";
    return showPage(context, path, [](const Json &body) {
        fmt::print("{} tasks on workers owned by daemon {}.\n", cell(body, "total"), cell(body, "answered_by"));
        printTable(body.value("tasks", Json::array()),
            {{"TASK", "task"}, {"OPERATOR", "operator"}, {"WORKLOAD", "workload"}, {"KIND", "kind"},
                {"WORKER", "worker"}, {"STATE", "state"}});
    });
}

int explain(const CtlContext &context)
{
    const std::string path = fmt::format("/v1/explain?operator={}&id={}", percentEncoded(context.operatorName),
        percentEncoded(context.arguments.front()));
    return showPage(context, path, [](const Json &body) {
        const std::string state = cell(body, "state");
        fmt::print("State: {}. Home daemon: {}.\n", state.empty() ? "not known here" : state, cell(body, "home"));
        if (body.value("can_never_run", false)) {
            fmt::print("It can never run on the workers that this daemon owns.\n");
        }
        for (const Json &reason : body.value("reasons", Json::array())) {
            fmt::print("- {}\n", reason.get<std::string>());
        }
    });
}

int drain(const CtlContext &context)
{
    if (context.daemons.size() != 1) {
        fmt::print(stderr, "wigeonkeelctl: drain expects --daemon with exactly one address, found {}\n",
            context.daemons.size());
        return exitUsage;
    }
    const CtlResponse response = callDaemons(context,
        {.method = "POST", .path = "/v1/drain", .body = {}, .waitingFor = "the daemon", .timeout = context.timeout});
    if (printError(context, response)) {
        return exitCodeOf(response);
    }
    fmt::print("{}\n", context.json ? response.body : "The daemon finishes what is in flight, then ends.");
    return exitDone;
}

const std::array commands = {
    CtlCommand{.name = "status",
        .summary = "Lists daemons, the generation in force on each, and the store's state.",
        .examples = "wigeonkeelctl status --operator=faraja --daemon=10.0.0.1,10.0.1.1",
        .flags = {},
        .run = status},
    CtlCommand{.name = "workers",
        .summary = "Lists the workers that the daemon owns.",
        .examples = "wigeonkeelctl workers --operator=faraja",
        .flags = {},
        .run = workers},
    CtlCommand{.name = "tasks",
        .summary = "Lists the operator's tasks on the workers that the daemon owns.",
        .examples = "wigeonkeelctl tasks --operator=faraja\nwigeonkeelctl tasks --operator=admin --all --output=json",
        .flags = {"all"},
        .run = tasks},
    CtlCommand{.name = "explain",
        .arguments = "ID",
        .summary = "Says why a request or job waits, or why it can never run.",
        .examples = "wigeonkeelctl explain reservation-4711 --operator=faraja",
        .minArguments = 1,
        .maxArguments = 1,
        .flags = {},
        .run = explain},
    CtlCommand{.name = "drain",
        .summary = "Shuts one daemon down; what is in flight is finished first (admins only).",
        .examples = "wigeonkeelctl drain --operator=admin --daemon=10.0.0.1",
        .flags = {},
        .run = drain},
};

} // namespace

std::span<const CtlCommand> viewCommands()
{
    return commands;
}

} // namespace wigeonkeel
