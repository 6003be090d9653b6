#include "main/ctl/context.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <optional>

#include <unistd.h>

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <fmt/format.h>

ABSL_FLAG(std::string, daemon, "127.0.0.1",
    "daemons to try in turn, separated by commas: ADDRESS[:OPERATOR_PORT[:CALLER_PORT]], ports 7102 and 7100 if "
    "absent");
ABSL_FLAG(std::string, operator, "", "name of the operator; else from the environment, WIGEONKEEL_OPERATOR");
ABSL_FLAG(std::string, key_file, "", "file with the operator's key; else from the environment, WIGEONKEEL_KEY");
ABSL_FLAG(std::string, author, "", "person who makes the change, for the audit trail");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(std::int64_t, timeout_ms, 60000, "longest time to wait for one daemon's answer, in ms");

namespace
{

using namespace wigeonkeel;

constexpr std::uint16_t defaultOperatorPort = 7102;
constexpr std::uint16_t defaultCallerPort = 7100;
constexpr std::string_view commonFlags[] = {"daemon", "operator", "key_file", "author", "output", "timeout_ms", "help"};

std::vector<CtlCommand> allCommands()
{
    std::vector<CtlCommand> commands;
    for (const auto part : {configCommands(), viewCommands(), workCommands()}) {
        commands.insert(commands.end(), part.begin(), part.end());
    }
    return commands;
}

std::string dashed(std::string_view name)
{
    std::string text(name);
    std::ranges::replace(text, '_', '-');
    return text;
}

void printFlag(std::string_view name)
{
    const absl::CommandLineFlag *flag = absl::FindCommandLineFlag({name.data(), name.size()});
    if (flag != nullptr) {
        fmt::print("  --{}  {} (default: {})\n", dashed(name), flag->Help(), flag->DefaultValue());
    }
}

void printCommonFlags()
{
    fmt::print("\nCommon flags:\n");
    for (const std::string_view name : commonFlags) {
        printFlag(name);
    }
    fmt::print("\nExit codes: 0 done, 1 refused or conflict, 2 usage, 3 unknown outcome, 4 unreachable.\n");
}

void printHelp(const CtlCommand &command)
{
    fmt::print("usage: wigeonkeelctl {}{}{} [flags]\n\n{}\n\nExamples:\n{}\n", command.name,
        command.arguments.empty() ? "" : " ", command.arguments, command.summary, command.examples);
    if (!command.flags.empty()) {
        fmt::print("\nFlags:\n");
    }
    for (const std::string_view name : command.flags) {
        printFlag(name);
    }
    printCommonFlags();
}

void printHelp(std::span<const CtlCommand> commands)
{
    fmt::print("usage: wigeonkeelctl COMMAND [ARGUMENT] [flags]\n\nCommands:\n");
    for (const CtlCommand &command : commands) {
        fmt::print("  {:<20}{}\n", command.name, command.summary);
    }
    fmt::print("  {:<20}{}\n", "completion", "Prints a completion script: wigeonkeelctl completion bash.");
    fmt::print("\nExamples:\nwigeonkeelctl apply faraja.ini --operator=faraja --key-file=faraja.key --wait\n"
               "wigeonkeelctl apply --help\n");
    printCommonFlags();
}

int failUsage(std::string_view text)
{
    fmt::print(stderr, "wigeonkeelctl: {}; see wigeonkeelctl --help\n", text);
    return exitUsage;
}

/// Words of the command line apart from flags.
struct CommandLine
{
    std::vector<std::string> words;
    bool help = false;
    std::string problem;
};

/// Sets one flag. Abseil's own parser ends the process with code 1 for a bad flag; usage errors here are code 2.
void takeFlag(CommandLine &line, std::string_view text, std::span<char *> rest, std::size_t &taken)
{
    const std::size_t equals = text.find('=');
    std::string name(text.substr(0, equals));
    std::ranges::replace(name, '-', '_');
    absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
    const bool negated = flag == nullptr && name.starts_with("no");
    if (negated) {
        flag = absl::FindCommandLineFlag(name.substr(2));
    }
    if (flag == nullptr || (negated && !flag->IsOfType<bool>())) {
        line.problem = fmt::format("unknown flag '--{}'", name);
        return;
    }
    std::string value = equals == std::string_view::npos ? "" : std::string(text.substr(equals + 1));
    if (equals == std::string_view::npos && flag->IsOfType<bool>()) {
        value = negated ? "false" : "true";
    } else if (equals == std::string_view::npos) {
        if (rest.empty()) {
            line.problem = fmt::format("flag '--{}' expects a value", dashed(name));
            return;
        }
        value = rest.front();
        ++taken;
    }
    std::string error;
    if (!flag->ParseFrom(value, &error)) {
        line.problem = fmt::format("flag '--{}': '{}' is not valid {}", dashed(name), value, error);
    }
}

CommandLine readCommandLine(std::span<char *> arguments)
{
    CommandLine line;
    for (std::size_t i = 0; i < arguments.size() && line.problem.empty(); ++i) {
        const std::string_view text = arguments[i];
        if (text == "--help" || text == "-h") {
            line.help = true;
        } else if (text.starts_with("--") && text.size() > 2) {
            takeFlag(line, text.substr(2), arguments.subspan(i + 1), i);
        } else {
            line.words.emplace_back(text);
        }
    }
    return line;
}

bool parsePort(std::string_view text, std::uint16_t &port)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port > 0;
}

bool parseDaemons(std::string_view text, std::vector<DaemonAddress> &daemons)
{
    while (!text.empty()) {
        const std::string_view each = text.substr(0, text.find(','));
        text.remove_prefix(std::min(each.size() + 1, text.size()));
        DaemonAddress daemon{.operatorPort = defaultOperatorPort, .callerPort = defaultCallerPort};
        const std::size_t first = std::min(each.find(':'), each.size());
        const std::string_view ports = each.substr(std::min(first + 1, each.size()));
        const std::size_t second = std::min(ports.find(':'), ports.size());
        daemon.address = each.substr(0, first);
        const bool valid = !daemon.address.empty()
            && (ports.empty() || parsePort(ports.substr(0, second), daemon.operatorPort))
            && (second == ports.size() || parsePort(ports.substr(second + 1), daemon.callerPort));
        if (!valid) {
            return false;
        }
        daemons.push_back(std::move(daemon));
    }
    return !daemons.empty();
}

std::string fromEnvironment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

/// Fills the context from the flags. Returns what is wrong, or nothing.
std::string fillContext(CtlContext &context)
{
    if (!parseDaemons(absl::GetFlag(FLAGS_daemon), context.daemons)) {
        return "--daemon: expected ADDRESS[:OPERATOR_PORT[:CALLER_PORT]], separated by commas";
    }
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "text" && output != "json") {
        return fmt::format("--output: expected text or json, found '{}'", output);
    }
    context.json = output == "json";
    context.progress = isatty(STDERR_FILENO) == 1;
    context.timeout = milliseconds(std::max<std::int64_t>(absl::GetFlag(FLAGS_timeout_ms), 1));
    context.author = absl::GetFlag(FLAGS_author);
    context.operatorName = absl::GetFlag(FLAGS_operator);
    if (context.operatorName.empty()) {
        context.operatorName = fromEnvironment("WIGEONKEEL_OPERATOR");
    }
    const std::string keyFile = absl::GetFlag(FLAGS_key_file);
    if (keyFile.empty()) {
        context.key = fromEnvironment("WIGEONKEEL_KEY");
        return {};
    }
    std::ifstream file(keyFile);
    return std::getline(file, context.key) ? "" : fmt::format("--key-file: '{}' can't be read", keyFile);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<CtlCommand> commands = allCommands();
    CommandLine line = readCommandLine(std::span(argv + 1, static_cast<std::size_t>(std::max(argc - 1, 0))));
    if (!line.problem.empty()) {
        return failUsage(line.problem);
    }
    if (line.words.empty()) {
        printHelp(commands);
        return line.help ? exitDone : exitUsage;
    }
    const std::string name = line.words.front();
    line.words.erase(line.words.begin());
    if (name == "completion") {
        if (line.words != std::vector<std::string>{"bash"}) {
            return failUsage("expected: completion bash");
        }
        fmt::print("{}", bashCompletion(commands, commonFlags));
        return exitDone;
    }
    const auto command = std::ranges::find(commands, name, &CtlCommand::name);
    if (command == commands.end()) {
        return failUsage(fmt::format("unknown command '{}'", name));
    }
    if (line.help) {
        printHelp(*command);
        return exitDone;
    }
    if (line.words.size() < command->minArguments || line.words.size() > command->maxArguments) {
        return failUsage(fmt::format("{} expects {}, found {} arguments", name,
            command->arguments.empty() ? "no argument" : command->arguments, line.words.size()));
    }
    CtlContext context;
    const std::string problem = fillContext(context);
    if (!problem.empty()) {
        return failUsage(problem);
    }
    context.arguments = std::move(line.words);
    return command->run(context);
}
