#include "core/config/operator_parser.h"
#include "core/config/operator_table.h"
#include "core/config/text_difference.h"
#include "core/json_text.h"
#include "main/ctl/output.h"
#include "main/ctl/transport.h"

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>

#include <absl/flags/flag.h>
#include <fmt/format.h>

ABSL_FLAG(bool, wait, false, "wait until the change is in force on every live daemon");
ABSL_FLAG(std::int64_t, wait_ms, 20000, "longest time that --wait waits, in ms");
ABSL_FLAG(std::int64_t, based_on, -1, "generation that the change was made against; -1 reads the present one first");
ABSL_FLAG(std::string, write_id, "", "id of the change, to ask again after an unknown outcome; random if empty");

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

constexpr milliseconds maxWait{600'000};

std::optional<std::string> readText(const std::string &path)
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        fmt::print(stderr, "wigeonkeelctl: the file '{}' can't be read; expected INI text or '-'\n", path);
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string randomId()
{
    std::random_device entropy;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", entropy(), entropy(), entropy(), entropy());
}

/// Name to check the settings for: that of the flags, else the one in the text, else a placeholder.
std::string nameToCheck(const CtlContext &context, std::string_view text)
{
    if (!context.operatorName.empty()) {
        return context.operatorName;
    }
    constexpr std::string_view marker = "name = ";
    const std::size_t found = text.find(marker);
    if (found == std::string_view::npos) {
        return "operator";
    }
    const std::string_view rest = text.substr(found + marker.size());
    return std::string(rest.substr(0, rest.find_first_of("\r\n")));
}

/// Prints what is wrong with a text. True if it is valid.
bool checkText(const CtlContext &context, const std::string &path, std::string_view text)
{
    std::vector<SettingProblem> problems;
    parseOperatorSettings(nameToCheck(context, text), text, problems);
    if (context.json && !problems.empty()) {
        Json json = {{"valid", false}, {"problems", Json::array()}};
        for (const SettingProblem &problem : problems) {
            json["problems"].push_back({{"line", problem.line}, {"text", problem.text}});
        }
        fmt::print("{}\n", dumpJson(json));
        return false;
    }
    for (const SettingProblem &problem : problems) {
        fmt::print(stderr, "{}:{}: {}\n", path, problem.line, problem.text);
    }
    return problems.empty();
}

int validate(const CtlContext &context)
{
    const std::string &path = context.arguments.front();
    const auto text = readText(path);
    if (!text) {
        return exitUsage;
    }
    if (!checkText(context, path, *text)) {
        return exitRefused;
    }
    fmt::print("{}\n", context.json ? R"({"valid":true})" : fmt::format("{}: the settings are valid", path));
    return exitDone;
}

/// Reads what is in force. An operator without settings has generation 0.
CtlResponse readPresent(const CtlContext &context, Json &present)
{
    CtlResponse response = callDaemons(
        context, {.path = "/v1/config", .body = {}, .waitingFor = "the settings", .timeout = context.timeout});
    present = parseBody(response);
    if (!present.is_null() && cell(present, "error/code") == "not_found") {
        present = {{"generation", 0}, {"state", "active"}, {"settings", ""}};
        response.status = 200;
    }
    return response;
}

int plan(const CtlContext &context)
{
    const std::string &path = context.arguments.front();
    const auto text = readText(path);
    if (!text) {
        return exitUsage;
    }
    if (!checkText(context, path, *text)) {
        return exitRefused;
    }
    Json present;
    const CtlResponse response = readPresent(context, present);
    if (printError(context, response)) {
        return exitCodeOf(response);
    }
    const std::string difference = settingsDifference(present.value("settings", ""), *text);
    const std::uint64_t generation = present.value("generation", std::uint64_t{0});
    if (context.json) {
        fmt::print("{}\n", Json({{"based_on", generation}, {"difference", difference}}).dump());
        return exitDone;
    }
    fmt::print("{}", difference.empty() ? "No lines differ.\n" : difference);
    fmt::print("To apply exactly this: wigeonkeelctl apply {} --based-on={}\n", path, generation);
    return exitDone;
}

void printHistoryText(const Json &history)
{
    for (const Json &entry : history) {
        fmt::print("{} {} by {}: generation {} -> {}{}\n", timeText(entry.value("at_ms", std::int64_t{0})),
            cell(entry, "action"), cell(entry, "author"), cell(entry, "generation_before"),
            cell(entry, "generation_after"),
            entry.contains("refusal") ? fmt::format(", refused: {}", cell(entry, "refusal")) : "");
        if (entry.contains("difference")) {
            fmt::print("{}", cell(entry, "difference"));
        }
    }
}

int reportChange(const CtlContext &context, const CtlResponse &response, bool waited)
{
    const Json body = parseBody(response);
    if (printError(context, response)) {
        if (!context.json && !body.is_null() && body.contains("history")) {
            fmt::print(stderr, "Changes since:\n");
            printHistoryText(body["history"]);
        }
        return exitCodeOf(response);
    }
    const Json pending = body.value("pending_daemons", Json::array());
    const int code = waited && !pending.empty() ? exitUnknown : exitDone;
    if (context.json) {
        fmt::print("{}\n", response.body);
        return code;
    }
    fmt::print("Generation {} is accepted ({}).\n", cell(body, "generation"), cell(body, "state"));
    if (waited && pending.empty()) {
        fmt::print("It is in force on every live daemon.\n");
    }
    for (const Json &daemon : pending) {
        fmt::print("Not in force yet: {}\n", daemon.get<std::string>());
    }
    return code;
}

int sendChange(
    const CtlContext &context, std::string_view method, std::string path, const std::optional<std::string> &settings)
{
    std::int64_t basedOn = absl::GetFlag(FLAGS_based_on);
    if (basedOn < 0) {
        Json present;
        const CtlResponse response = readPresent(context, present);
        if (printError(context, response)) {
            return exitCodeOf(response);
        }
        basedOn = present.value("generation", std::int64_t{0});
    }
    const bool wait = absl::GetFlag(FLAGS_wait);
    const milliseconds waitFor = wait ? std::min(milliseconds(absl::GetFlag(FLAGS_wait_ms)), maxWait) : milliseconds(0);
    const std::string chosenId = absl::GetFlag(FLAGS_write_id);
    Json body = {{"based_on", basedOn}, {"write_id", chosenId.empty() ? randomId() : chosenId},
        {"wait_ms", waitFor.count()}, {"author", context.author}};
    if (settings) {
        body["settings"] = *settings;
    }
    // Every attempt has the same write id, so that the change is made once.
    const std::string text = dumpJson(body);
    const CtlResponse response = callDaemons(context,
        {.method = method,
            .path = std::move(path),
            .body = [&text](std::uint32_t) { return std::string(text); },
            .waitingFor = wait ? "the change to be in force" : "the change",
            .timeout = context.timeout + waitFor});
    if (exitCodeOf(response) == exitUnknown) {
        fmt::print(
            stderr, "wigeonkeelctl: to ask again: --write-id={} --based-on={}\n", cell(body, "write_id"), basedOn);
    }
    return reportChange(context, response, wait);
}

int apply(const CtlContext &context)
{
    const std::string &path = context.arguments.front();
    const auto text = readText(path);
    if (!text) {
        return exitUsage;
    }
    if (!checkText(context, path, *text)) {
        return exitRefused;
    }
    return sendChange(context, "PUT", "/v1/config", text);
}

int cancel(const CtlContext &context)
{
    return sendChange(context, "POST", "/v1/config/cancel", std::nullopt);
}

int resume(const CtlContext &context)
{
    return sendChange(context, "POST", "/v1/config/resume", std::nullopt);
}

int show(const CtlContext &context)
{
    const CtlResponse response = callDaemons(
        context, {.path = "/v1/config", .body = {}, .waitingFor = "the settings", .timeout = context.timeout});
    if (printError(context, response)) {
        return exitCodeOf(response);
    }
    const Json body = parseBody(response);
    if (context.json) {
        fmt::print("{}\n", response.body);
        return exitDone;
    }
    // The text alone goes to standard output, so that it can be saved byte for byte.
    fmt::print(stderr, "Generation {}, {}{}.\n", cell(body, "generation"), cell(body, "state"),
        body.value("from_memory", false) ? "; the store does not answer, this is what the daemon has in force" : "");
    fmt::print("{}", body.value("settings", ""));
    return exitDone;
}

int history(const CtlContext &context)
{
    const CtlResponse response = callDaemons(
        context, {.path = "/v1/config/history", .body = {}, .waitingFor = "the history", .timeout = context.timeout});
    if (printError(context, response)) {
        return exitCodeOf(response);
    }
    if (context.json) {
        fmt::print("{}\n", response.body);
        return exitDone;
    }
    printHistoryText(parseBody(response).value("history", Json::array()));
    return exitDone;
}

int printReference(const CtlContext &)
{
    fmt::print("{}", operatorSettingsReference());
    return exitDone;
}

const std::array commands = {
    CtlCommand{.name = "validate",
        .arguments = "FILE",
        .summary = "Checks settings without a daemon; '-' reads standard input.",
        .examples = "wigeonkeelctl validate faraja.ini\nwigeonkeelctl validate faraja.ini --output=json",
        .minArguments = 1,
        .maxArguments = 1,
        .flags = {},
        .run = validate},
    CtlCommand{.name = "plan",
        .arguments = "FILE",
        .summary = "Shows the lines that an apply would take out and put in; changes nothing.",
        .examples = "wigeonkeelctl plan faraja.ini --operator=faraja",
        .minArguments = 1,
        .maxArguments = 1,
        .flags = {},
        .run = plan},
    CtlCommand{.name = "apply",
        .arguments = "FILE",
        .summary = "Puts settings in force. Refused if they changed since the generation in --based-on.",
        .examples = "wigeonkeelctl apply faraja.ini --operator=faraja --wait\n"
                    "wigeonkeelctl apply faraja.ini --operator=faraja --based-on=7",
        .minArguments = 1,
        .maxArguments = 1,
        .flags = {"wait", "wait_ms", "based_on", "write_id"},
        .run = apply},
    CtlCommand{.name = "cancel",
        .summary = "Cancels the operator; the settings are kept.",
        .examples = "wigeonkeelctl cancel --operator=faraja",
        .flags = {"wait", "wait_ms", "based_on", "write_id"},
        .run = cancel},
    CtlCommand{.name = "resume",
        .summary = "Puts a cancelled operator's settings in force again, byte for byte.",
        .examples = "wigeonkeelctl resume --operator=faraja --wait",
        .flags = {"wait", "wait_ms", "based_on", "write_id"},
        .run = resume},
    CtlCommand{.name = "history",
        .summary = "Lists the last 128 changes, refused ones included.",
        .examples = "wigeonkeelctl history --operator=faraja",
        .flags = {},
        .run = history},
    CtlCommand{.name = "show",
        .summary = "Prints the settings in force.",
        .examples = "wigeonkeelctl show --operator=faraja > faraja.ini",
        .flags = {},
        .run = show},
    CtlCommand{.name = "settings-reference",
        .summary = "Prints the table of operators' settings as Markdown.",
        .examples = "wigeonkeelctl settings-reference > docs/operator-settings.md",
        .flags = {},
        .run = printReference},
};

} // namespace

std::span<const CtlCommand> configCommands()
{
    return commands;
}

} // namespace wigeonkeel
