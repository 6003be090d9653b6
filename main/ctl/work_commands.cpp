#include "core/json_text.h"
#include "main/ctl/output.h"
#include "main/ctl/transport.h"

#include <array>
#include <chrono>
#include <optional>
#include <random>

#include <absl/flags/flag.h>
#include <fmt/format.h>

ABSL_FLAG(std::string, id, "", "id of the request or job; random if empty");
ABSL_FLAG(std::string, workload, "", "workload of the operator's settings");
ABSL_FLAG(std::string, team, "", "team of the operator's settings");
ABSL_FLAG(std::optional<std::string>, kind, std::nullopt, "request, service, gang or batch");
ABSL_FLAG(std::optional<std::int64_t>, urgency, std::nullopt, "0 to 9, larger is more urgent");
ABSL_FLAG(bool, idempotent, false, "the work may run twice without harm; if not set, as its workload says");
ABSL_FLAG(std::optional<std::int64_t>, tasks, std::nullopt, "number of tasks");
ABSL_FLAG(std::optional<std::int64_t>, cpu_milli, std::nullopt, "thousandths of a core for each task");
ABSL_FLAG(std::optional<std::int64_t>, memory_mib, std::nullopt, "MiB of memory for each task");
ABSL_FLAG(std::optional<std::int64_t>, accelerators, std::nullopt, "accelerators for each task");
ABSL_FLAG(std::optional<std::int64_t>, slots, std::nullopt, "request slots for each task");
ABSL_FLAG(std::optional<std::int64_t>, run_ms, std::nullopt, "expected run time in ms; 0 if not known");
ABSL_FLAG(std::optional<std::int64_t>, start_within_ms, std::nullopt,
    "a start later than this is of no use, in ms; 0 for no limit");
ABSL_FLAG(bool, await_end, true, "wait for the result; otherwise for the acceptance");

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
/// Amounts of a size of which only others are named.
constexpr std::int64_t defaultCpuMilli = 100;
constexpr std::int64_t defaultMemoryMib = 64;

int exitCodeOfAnswer(const CtlResponse &response, const Json &body)
{
    if (response.error) {
        return exitCodeOf(response);
    }
    const std::string outcome = body.is_null() ? "" : cell(body, "outcome");
    if (outcome == "done" || outcome == "running") {
        return exitDone;
    }
    // What is not known to have been refused may have run.
    return outcome == "failed" || outcome == "not_run" ? exitRefused : exitUnknown;
}

int printAnswer(const CtlContext &context, const CtlResponse &response)
{
    const Json body = parseBody(response);
    const int code = exitCodeOfAnswer(response, body);
    if (response.error) {
        fmt::print(stderr, "wigeonkeelctl: {}\n", describe(response.error));
        return code;
    }
    if (context.json || body.is_null()) {
        fmt::print("{}\n", response.body);
        return code;
    }
    const bool known = response.status == statusOk || response.status == statusAccepted;
    fmt::print(stderr, "{}{}{}\n", cell(body, "outcome"), body.contains("reason") ? ": " : "",
        body.contains("reason") ? cell(body, "reason") : "");
    if (known && body.contains("result")) {
        fmt::print("{}\n", cell(body, "result"));
    }
    return code;
}

std::string randomRequestId()
{
    std::random_device entropy;
    return fmt::format("ctl-{:08x}{:08x}", entropy(), entropy());
}

template <typename Value>
void addIfGiven(Json &body, const char *name, const std::optional<Value> &value)
{
    if (value) {
        body[name] = *value;
    }
}

/// Fields that are left out come from the workload, or are the daemon's defaults.
void addGivenFields(Json &body)
{
    addIfGiven(body, "kind", absl::GetFlag(FLAGS_kind));
    addIfGiven(body, "urgency", absl::GetFlag(FLAGS_urgency));
    if (absl::GetFlag(FLAGS_idempotent)) {
        body["idempotent"] = true;
    }
    addIfGiven(body, "tasks", absl::GetFlag(FLAGS_tasks));
    addIfGiven(body, "run_ms", absl::GetFlag(FLAGS_run_ms));
    addIfGiven(body, "start_within_ms", absl::GetFlag(FLAGS_start_within_ms));
    const auto cpuMilli = absl::GetFlag(FLAGS_cpu_milli);
    const auto memoryMib = absl::GetFlag(FLAGS_memory_mib);
    const auto accelerators = absl::GetFlag(FLAGS_accelerators);
    const auto slots = absl::GetFlag(FLAGS_slots);
    if (cpuMilli || memoryMib || accelerators || slots) {
        // A size is given as a whole.
        body["size"]
            = {{"cpu_milli", cpuMilli.value_or(defaultCpuMilli)}, {"memory_mib", memoryMib.value_or(defaultMemoryMib)},
                {"accelerators", accelerators.value_or(0)}, {"slots", slots.value_or(1)}};
    }
}

int submit(const CtlContext &context)
{
    const std::string chosen = absl::GetFlag(FLAGS_id);
    const std::string id = chosen.empty() ? randomRequestId() : chosen;
    const auto now = std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
    Json body = {{"operator", context.operatorName}, {"id", id}, {"created_ms", now.time_since_epoch().count()},
        {"wait", absl::GetFlag(FLAGS_await_end)},
        {"payload", context.arguments.empty() ? "" : context.arguments.front()}};
    for (const auto &[name, value] :
        {std::pair("team", absl::GetFlag(FLAGS_team)), std::pair("workload", absl::GetFlag(FLAGS_workload))}) {
        if (!value.empty()) {
            body[name] = value;
        }
    }
    addGivenFields(body);
    if (!context.json) {
        fmt::print(stderr, "id: {}\n", id);
    }
    // The id and its creation time stay; the attempt tells the daemons that an earlier one may have run.
    const auto bodyOf = [&body](std::uint32_t attempt) {
        body["attempt"] = attempt;
        return dumpJson(body);
    };
    return printAnswer(context,
        callDaemons(context,
            {.interface = CtlInterface::Callers,
                .method = "POST",
                .path = "/v1/requests",
                .body = bodyOf,
                .waitingFor = "the request to end",
                .timeout = context.timeout}));
}

std::string requestPath(const CtlContext &context, std::string_view more)
{
    return fmt::format("/v1/requests?operator={}&id={}{}", percentEncoded(context.operatorName),
        percentEncoded(context.arguments.front()), more);
}

int result(const CtlContext &context)
{
    return printAnswer(context,
        callDaemons(context,
            {.interface = CtlInterface::Callers,
                .path = requestPath(context, absl::GetFlag(FLAGS_await_end) ? "&wait=true" : ""),
                .body = {},
                .waitingFor = "the result",
                .timeout = context.timeout}));
}

int cancelTask(const CtlContext &context)
{
    return printAnswer(context,
        callDaemons(context,
            {.interface = CtlInterface::Callers,
                .method = "DELETE",
                .path = requestPath(context, ""),
                .body = {},
                .waitingFor = "the cancel",
                .timeout = context.timeout}));
}

const std::array commands = {
    CtlCommand{.name = "submit",
        .arguments = "[PAYLOAD]",
        .summary = "Submits a request or job. Retries at further daemons keep the id and raise the attempt.",
        .examples = "wigeonkeelctl submit 'run_ms=50' --operator=faraja --workload=reservation --urgency=9\n"
                    "wigeonkeelctl submit --operator=faraja --kind=batch --tasks=20 --noawait-end",
        .maxArguments = 1,
        .flags = {"id", "workload", "team", "kind", "urgency", "idempotent", "tasks", "cpu_milli", "memory_mib",
            "accelerators", "slots", "run_ms", "start_within_ms", "await_end"},
        .run = submit},
    CtlCommand{.name = "result",
        .arguments = "ID",
        .summary = "Prints the answer to a request or job.",
        .examples = "wigeonkeelctl result reservation-4711 --operator=faraja",
        .minArguments = 1,
        .maxArguments = 1,
        .flags = {"await_end"},
        .run = result},
    CtlCommand{.name = "cancel-task",
        .arguments = "ID",
        .summary = "Cancels a request or job.",
        .examples = "wigeonkeelctl cancel-task nightly-12 --operator=faraja",
        .minArguments = 1,
        .maxArguments = 1,
        .flags = {},
        .run = cancelTask},
};

} // namespace

std::span<const CtlCommand> workCommands()
{
    return commands;
}

} // namespace wigeonkeel
