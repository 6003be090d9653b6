#include "core/dispatch/dispatch_kernel.h"
#include "core/json_text.h"
#include "core/log.h"
#include "core/running_plugins.h"
#include "drivers/clock/system_clock.h"
#include "main/read_file.h"
#include "modules/cluster_link/register_dispatch.h"
#include "modules/cluster_metrics/register_dispatch.h"
#include "platform/register_platform.h"
#include "platform/wire.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, settings, "", "path of the platform's settings file; by default the platform tells it");
ABSL_FLAG(std::uint16_t, metrics_port, 9464, "port of the metrics page on this VM's address; 0 for none");
ABSL_FLAG(
    std::string, advertise, "", "address at which other daemons reach this one, if it is not the one listened on");
ABSL_FLAG(std::uint32_t, job_memory_mb, 0,
    "MiB that jobs may take while the daemon leads, the same for all daemons; 0 for a quarter of the settings' "
    "memoryMb");
ABSL_FLAG(std::uint32_t, call_memory_mb, 0,
    "MiB that clients' calls may take until they are answered; 0 for an eighth of the settings' memoryMb");
ABSL_FLAG(std::uint32_t, call_log_per_second, 100,
    "lines a second that clients' calls may cause, for each kind of line; further ones are counted, so that clients "
    "can't fill the disk of the log");
ABSL_FLAG(bool, check_settings, false, "check the settings, print what is wrong and exit");
ABSL_FLAG(bool, version, false, "print the version and exit");

namespace
{

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
/// Timers of the decisions are of tens of milliseconds and more.
constexpr milliseconds turnInterval{25};
constexpr milliseconds logInterval{200};
/// After a shutdown began, the load balancer needs two missed checks, a second apart, to send no more connections.
constexpr milliseconds balancerDelay{2600};
/// Left of the platform's grace when the process ends by itself.
constexpr milliseconds graceMargin{700};

/// Ends the loop when open calls are answered, at the latest shortly before the platform kills the process.
struct Shutdown
{
    DispatchKernel &kernel;
    RunningPluginsOf<DispatchKernel> &plugins;
    Timer timer{kernel.loop, [this] { check(); }};
    MonotonicTime begunAt{};
    bool accepting = true;

    void begin()
    {
        if (kernel.node.shuttingDown) {
            return;
        }
        begunAt = kernel.clock.now();
        post(kernel, [](Node &node, Now now) { beginShutdown(node, now); });
        timer.startRepeating(turnInterval);
    }

    void check()
    {
        const auto passed = kernel.clock.now() - begunAt;
        if (accepting && passed > balancerDelay) {
            accepting = false;
            plugins.stopAccepting();
        }
        const bool idle = !accepting && !plugins.isBusy() && passed > balancerDelay + logInterval;
        if (idle || passed > kernel.node.options.shutdownGrace - graceMargin) {
            kernel.loop.stop();
        }
    }
};

int run(const platform::NodeSettings &settings, const DispatchRegistry &registry)
{
    EventLoop loop(systemClock());
    prometheus::Registry metrics;
    DispatchKernel kernel{.loop = loop,
        .clock = systemClock(),
        .peerListenEndpoint = settings.node.endpoint,
        .metrics = {.ip = settings.node.endpoint.ip, .port = absl::GetFlag(FLAGS_metrics_port)},
        .metricsRegistry = metrics,
        .node = {},
        .action = {},
        .turnTimer = {loop, [&kernel] { finishTurn(kernel); }}};
    kernel.node.options = settings.node;
    if (const std::string advertised = absl::GetFlag(FLAGS_advertise); !advertised.empty()) {
        const auto endpoint = platform::readEndpoint(advertised);
        if (!endpoint) {
            logLine(LogLevel::Error, "main", "--advertise: expected an address and a port. found={}",
                printableText(advertised, maxProblemBytes));
            return exitFailed;
        }
        kernel.node.options.endpoint = *endpoint;
    }
    if (const std::size_t jobMemory = absl::GetFlag(FLAGS_job_memory_mb); jobMemory > 0) {
        kernel.node.options.jobMemoryBytes = jobMemory << 20;
    }
    if (const std::size_t callMemory = absl::GetFlag(FLAGS_call_memory_mb); callMemory > 0) {
        kernel.node.options.callMemoryBytes = callMemory << 20;
    }
    kernel.node.callLog.rate.interval
        = MonotonicTime::duration(std::chrono::seconds(1)) / std::max(absl::GetFlag(FLAGS_call_log_per_second), 1U);
    std::random_device entropy;
    kernel.node.random.value = (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
    // Call ids of a former process must not match: daemons answer each other by them.
    kernel.node.outbox.nextCall = (static_cast<CallId>(entropy()) << 24) | 1;
    RunningPluginsOf<DispatchKernel> plugins(kernel, registry.plugins);
    if (!plugins.start()) {
        return exitFailed;
    }
    Shutdown shutdown{.kernel = kernel, .plugins = plugins};
    const SignalWatch onTerminate(loop, SIGTERM, [&shutdown] { shutdown.begin(); });
    const SignalWatch onInterrupt(loop, SIGINT, [&shutdown] { shutdown.begin(); });
    const SignalWatch onHangUp(loop, SIGHUP, [] {
        // Addresses and limits hold for the life of a process; the operator's settings come from the store.
        logLine(LogLevel::Info, "main", "The settings file has changed; it is read at the next start.");
    });
    Timer turns(loop, [&kernel] { post(kernel, [](Node &, Now) {}); });
    turns.startRepeating(turnInterval);
    Timer logs(loop, [] { flushLog(); });
    logs.startRepeating(logInterval);
    logLine(LogLevel::Info, "main", "Daemon runs. node={} clients={}:{} peers={}:{}", settings.node.name,
        settings.clients.ip, settings.clients.port, settings.node.endpoint.ip, settings.node.endpoint.port);
    bufferLog();
    loop.run();
    logLine(LogLevel::Info, "main", "Daemon ends. node={}", settings.node.name);
    flushLog();
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("the wigeonkeel daemon for the platform's entry VMs");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_version)) {
        fmt::print("wigeonkeel_entry {}\n", WIGEONKEEL_VERSION);
        return exitOk;
    }
    const std::string given = absl::GetFlag(FLAGS_settings);
    const std::string path = given.empty() ? platform::settingsPath() : given;
    const auto text = readFile(path);
    if (!text) {
        fmt::print(stderr, "wigeonkeel_entry: the settings file '{}' can't be read\n", path);
        return exitUsage;
    }
    std::string problem;
    const auto settings = platform::readNodeSettings(*text, problem);
    if (!settings) {
        fmt::print(stderr, "{}: {}\n", path, problem);
        return exitUsage;
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        fmt::print("{}: the settings are valid\n", path);
        return exitOk;
    }
    DispatchRegistry registry;
    platform::registerPlatform(registry, *settings);
    registerClusterLink(registry);
    registerClusterMetrics(registry);
    return run(*settings, registry);
}
