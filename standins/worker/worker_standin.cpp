#include "core/event_loop.h"
#include "core/json_text.h"
#include "core/log.h"
#include "drivers/clock/system_clock.h"
#include "drivers/http/http_server.h"
#include "drivers/worker_protocol/renew_call.h"
#include "standins/json_reply.h"
#include "standins/worker/worker_model.h"

#include <csignal>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, name, "w-1", "name of the worker");
ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 7201, "port to listen on");
ABSL_FLAG(std::string, zone, "zone-a", "availability zone");
ABSL_FLAG(std::string, rack, "rack-1", "rack");
ABSL_FLAG(int64_t, cpu_milli, 16000, "processor capacity in thousandths of a core");
ABSL_FLAG(int64_t, memory_mib, 32768, "memory in MiB");
ABSL_FLAG(int64_t, accelerators, 0, "accelerators");
ABSL_FLAG(int64_t, slots, 8, "request slots");
ABSL_FLAG(bool, fencing, false, "offer the ability to refuse commands of former owners");
ABSL_FLAG(bool, finished_memory, false, "offer the ability to remember finished tasks");
ABSL_FLAG(bool, renew_call, true, "offer the short call that renews the owner's lease");
ABSL_FLAG(uint64_t, seed, 1, "seed of the true run times and sizes");
ABSL_FLAG(uint32_t, min_run_percent, 100, "lowest true run time, in percent of the declared one");
ABSL_FLAG(uint32_t, max_run_percent, 100, "highest true run time, in percent of the declared one");
ABSL_FLAG(uint32_t, min_usage_percent, 100, "lowest true use, in percent of the declared size");
ABSL_FLAG(uint32_t, max_usage_percent, 100, "highest true use, in percent of the declared size");
ABSL_FLAG(uint64_t, result_bytes, 0, "length of the results; 0 for a short text");
ABSL_FLAG(uint64_t, max_finished, 10000, "finished tasks kept until they are acknowledged");

namespace
{

using namespace wigeonkeel;
using Json = nlohmann::json;

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;

/// A client that waits for a change.
struct Watcher
{
    HttpToken token = 0;
    std::uint64_t since = 0;
    MonotonicTime until;
};

struct DelayedReply
{
    MonotonicTime due;
    HttpToken token = 0;
    std::string body;
};

Json toJson(const Resources &amount)
{
    return {{"cpu_milli", amount.cpuMilli}, {"memory_mib", amount.memoryMib}, {"accelerators", amount.accelerators},
        {"slots", amount.slots}};
}

Json toJson(const TaskRun &run)
{
    Json json = {{"task", toString(run.task)}, {"kind", toString(run.kind)}, {"idempotent", run.idempotent},
        {"state", toString(run.state)}, {"payload", run.payload},
        {"started_ms", run.startedAt.time_since_epoch().count()}};
    if (run.endedAt != WorkerTime::max()) {
        json["ended_ms"] = run.endedAt.time_since_epoch().count();
    }
    return json;
}

std::uint64_t randomBoot()
{
    std::random_device entropy;
    return (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
}

/// Serves a WorkerModel over HTTP.
struct WorkerService
{
    WorkerService(EventLoop &loop, WorkerModelOptions options, HttpServerOptions http)
        : model{.options = std::move(options)}
        , server(loop, std::move(http))
        , timer(loop, [this] { onTimer(); })
        , clock(systemClock())
        , startedAt(clock.now())
    {
        server.route("/v1/exchange", [this](const HttpRequest &request) { onExchange(request); });
        server.route("/v1/renew", [this](const HttpRequest &request) { onRenew(request); });
        server.route("/v1/changes", [this](const HttpRequest &request) { onChanges(request); });
        server.route("/v1/control", [this](const HttpRequest &request) { onControl(request); });
        server.route("/v1/records", [this](const HttpRequest &request) { onRecords(request); });
    }

    WorkerTime now() const
    {
        return WorkerTime(std::chrono::duration_cast<milliseconds>(clock.now() - startedAt) + milliseconds(1));
    }

    void onExchange(const HttpRequest &request)
    {
        // A silent worker neither carries out commands nor answers.
        if (silent) {
            return;
        }
        std::string problem;
        const auto message = decodeExchange(request.body, problem);
        if (!message) {
            replyError(server, request.token, statusBadRequest, problem);
            return;
        }
        carryOut(request, *message);
    }

    void onRenew(const HttpRequest &request)
    {
        if (silent) {
            return;
        }
        if (!model.options.abilities.renewCall) {
            replyError(server, request.token, statusNotFound, "this worker has no such call");
            return;
        }
        carryOut(request, exchangeOfRenewCall(request.query));
    }

    void carryOut(const HttpRequest &request, const WorkerExchange &message)
    {
        std::string body = encodeReport(exchange(model, message, now()));
        if (loseNextAnswers > 0) {
            --loseNextAnswers;
            server.drop(request.token);
        } else {
            answer(request.token, std::move(body));
        }
        answerWatchers();
    }

    void onChanges(const HttpRequest &request)
    {
        const auto since = static_cast<std::uint64_t>(queryInteger(request, "since"));
        watchers.push_back({.token = request.token,
            .since = since,
            .until = clock.now() + milliseconds(queryInteger(request, "wait_ms"))});
        answerWatchers();
    }

    void onControl(const HttpRequest &request)
    {
        const Json json = Json::parse(request.body, nullptr, false);
        if (json.is_discarded() || !json.is_object()) {
            replyError(server, request.token, statusBadRequest, "the body is not a JSON object");
            return;
        }
        readField(json, "silent", silent);
        readField(json, "slow_ms", slow);
        readField(json, "lose_next_answers", loseNextAnswers);
        readField(json, "fail_everything", model.faults.failEverything);
        readField(json, "usage_lag_ms", model.faults.usageLag);
        readField(json, "checkpoint_ms", model.faults.checkpointTime);
        readField(json, "stop_ms", model.faults.stopTime);
        bool restarts = false;
        readField(json, "restart", restarts);
        if (restarts) {
            restart(model, randomBoot(), now());
        }
        server.reply(request.token, {.body = "{}"});
        answerWatchers();
    }

    void onRecords(const HttpRequest &request)
    {
        advance(model, now());
        const WorkerRecords &records = model.records;
        Json json = {{"worker", model.options.name}, {"started", records.started}, {"done", records.done},
            {"late_starts", records.lateStarts}, {"fenced_commands", records.fencedCommands},
            {"dropped_finished", records.droppedFinished}, {"capacity", toJson(model.options.capacity)},
            {"peak", toJson(records.peak)}, {"over_capacity", !fits(records.peak, model.options.capacity)},
            {"overlapping_runs", overlappingRuns(records.runs)}, {"starts", records.startsByTask},
            {"wall_offset_ms", wallOffset.count()}, {"runs", Json::array()}};
        for (const TaskRun &run : records.runs) {
            json["runs"].push_back(toJson(run));
        }
        const std::string body = dumpJson(json);
        server.reply(request.token, {.body = body});
    }

    void answer(HttpToken token, std::string body)
    {
        if (slow.count() > 0) {
            delayed.push_back({.due = clock.now() + slow, .token = token, .body = std::move(body)});
            return;
        }
        server.reply(token, {.body = body});
    }

    void onTimer()
    {
        advance(model, now());
        std::erase_if(delayed, [this](const DelayedReply &reply) {
            if (reply.due > clock.now()) {
                return false;
            }
            server.reply(reply.token, {.body = reply.body});
            return true;
        });
        answerWatchers();
    }

    void answerWatchers()
    {
        if (!silent) {
            std::erase_if(watchers, [this](const Watcher &watcher) {
                // A sequence of the future is one from before a restart.
                if (model.sequence == watcher.since && clock.now() < watcher.until) {
                    return false;
                }
                answer(watcher.token, encodeReport(changesSince(model, watcher.since, now())));
                return true;
            });
        }
        schedule();
    }

    void schedule()
    {
        WorkerTime next = nextChange(model);
        for (const Watcher &watcher : watchers) {
            const auto left = std::chrono::ceil<milliseconds>(watcher.until - clock.now());
            next = silent ? next : std::min(next, now() + left);
        }
        for (const DelayedReply &reply : delayed) {
            next = std::min(next, now() + std::chrono::ceil<milliseconds>(reply.due - clock.now()));
        }
        if (next == WorkerTime::max()) {
            timer.cancel();
            return;
        }
        timer.startOnce(std::max(milliseconds(1), next - now()));
    }

    WorkerModel model;
    HttpServer server;
    Timer timer;
    Clock clock;
    MonotonicTime startedAt;
    /// Add this to the worker's clock for wall-clock time.
    milliseconds wallOffset = clock.wall().time_since_epoch() - now().time_since_epoch();
    std::vector<Watcher> watchers;
    std::vector<DelayedReply> delayed;
    bool silent = false;
    milliseconds slow{0};
    std::uint32_t loseNextAnswers = 0;
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("a stand-in worker for tests and the quick start");
    absl::ParseCommandLine(argc, argv);
    EventLoop loop(systemClock());
    WorkerService service(loop,
        {.name = absl::GetFlag(FLAGS_name),
            .zone = absl::GetFlag(FLAGS_zone),
            .rack = absl::GetFlag(FLAGS_rack),
            .capacity = {.cpuMilli = absl::GetFlag(FLAGS_cpu_milli),
                .memoryMib = absl::GetFlag(FLAGS_memory_mib),
                .accelerators = absl::GetFlag(FLAGS_accelerators),
                .slots = absl::GetFlag(FLAGS_slots)},
            .boot = randomBoot(),
            .abilities = {.fencing = absl::GetFlag(FLAGS_fencing),
                .finishedMemory = absl::GetFlag(FLAGS_finished_memory),
                .renewCall = absl::GetFlag(FLAGS_renew_call)},
            .truth = {.seed = absl::GetFlag(FLAGS_seed),
                .minRunPercent = absl::GetFlag(FLAGS_min_run_percent),
                .maxRunPercent = absl::GetFlag(FLAGS_max_run_percent),
                .minUsagePercent = absl::GetFlag(FLAGS_min_usage_percent),
                .maxUsagePercent = absl::GetFlag(FLAGS_max_usage_percent),
                .resultBytes = absl::GetFlag(FLAGS_result_bytes)},
            .maxFinished = absl::GetFlag(FLAGS_max_finished)},
        {.address = absl::GetFlag(FLAGS_address), .port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port))});
    const Error error = service.server.listen();
    if (error) {
        logLine(LogLevel::Error, "worker_standin", "{}", describe(error));
        return 1;
    }
    const SignalWatch onTerminate(loop, SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
