#include "core/kernel.h"
#include "core/log.h"
#include "core/registry.h"
#include "core/settings.h"
#include "drivers/clock/system_clock.h"
#include "main/daemon_setup.h"
#include "main/read_file.h"

#include <csignal>
#include <cstdio>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_cat.h>

ABSL_FLAG(std::string, settings, "", "path of the INI file with this daemon's settings");
ABSL_FLAG(bool, check_settings, false, "check the settings, print what is wrong and exit");
ABSL_FLAG(bool, print_settings_reference, false, "print the table of all settings as Markdown and exit");
ABSL_FLAG(bool, version, false, "print the version and exit");

namespace
{

using namespace wigeonkeel;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
/// Ticks between closing the listeners and the end of the process.
constexpr int ticksAfterClosing = 4;

int run(const Settings &settings, const Registry &registry)
{
    EventLoop loop(systemClock());
    prometheus::Registry metrics;
    Scheduler scheduler = makeScheduler(settings, registry, systemClock());
    Kernel kernel{.loop = loop,
        .clock = systemClock(),
        .settings = settings,
        .registry = registry,
        .metrics = metrics,
        .scheduler = scheduler,
        .signals = {}};
    const auto drain = [&kernel] {
        logLine(LogLevel::Info, "main", "Shutting down; what is in flight is finished first.");
        post(kernel, DrainEvent{});
    };
    const SignalWatch onTerminate(loop, SIGTERM, drain);
    const SignalWatch onInterrupt(loop, SIGINT, drain);
    Timer ticks(loop, [&kernel] { post(kernel, TickEvent{}); });
    ticks.startRepeating(settings.duration("daemon.tick"));

    RunningPlugins plugins(kernel, registry.plugins);
    // The signal is repeated with each tick. A request that was under way when the listener closed is still refused
    // with an answer, and answers that are being written are waited for.
    int ticksSinceClosed = 0;
    kernel.signals.drained.connect([&] {
        if (ticksSinceClosed++ == 0) {
            plugins.stopAccepting();
            return;
        }
        if (ticksSinceClosed > ticksAfterClosing && !plugins.isBusy()) {
            loop.stop();
        }
    });
    if (!plugins.start()) {
        return exitFailed;
    }
    logLine(LogLevel::Info, "main", "Daemon {} runs.", settings.text("daemon.name"));
    loop.run();
    logLine(LogLevel::Info, "main", "Daemon {} ends.", settings.text("daemon.name"));
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(absl::StrCat("the wigeonkeel daemon\n\nExample: ", argv[0], " --settings=daemon.ini"));
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_version)) {
        fmt::print("wigeonkeeld {}\n", WIGEONKEEL_VERSION);
        return exitOk;
    }
    Registry registry;
    registerModules(registry);
    const std::vector<SettingSpec> table = settingsTable(registry);
    if (absl::GetFlag(FLAGS_print_settings_reference)) {
        fmt::print("{}", settingsReference(table));
        return exitOk;
    }
    const std::string path = absl::GetFlag(FLAGS_settings);
    const auto text = readFile(path);
    if (!text) {
        fmt::print(stderr, "wigeonkeeld: the settings file '{}' can't be read; expected --settings=FILE\n", path);
        return exitUsage;
    }
    std::vector<SettingProblem> problems;
    const Settings settings = parseDaemonSettings(*text, table, problems);
    for (const SettingProblem &problem : problems) {
        fmt::print(stderr, "{}:{}: {}\n", path, problem.line, problem.text);
    }
    if (!problems.empty()) {
        return exitUsage;
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        fmt::print("{}: the settings are valid\n", path);
        return exitOk;
    }
    return run(settings, registry);
}
