#include "core/event_loop.h"
#include "core/log.h"
#include "drivers/clock/system_clock.h"
#include "drivers/http/http_server.h"
#include "drivers/store_protocol/store_json.h"
#include "standins/json_reply.h"
#include "standins/store/store_model.h"

#include <csignal>
#include <deque>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 7001, "port to listen on");
ABSL_FLAG(int, control_port, 7901, "port for control requests; it stays open while the store refuses connections");
ABSL_FLAG(uint64_t, writes_per_second, 300, "writes that are allowed per second");
ABSL_FLAG(uint64_t, reads_per_second, 2000, "reads that are allowed per second");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random faults");

namespace
{

using namespace wigeonkeel;
using Json = nlohmann::json;

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusThrottled = 429;
// JSON escapes a byte of a value as up to six characters.
constexpr std::size_t maxBodyBytes = 7 << 20;

/// A client that waits for a change.
struct Watcher
{
    HttpToken token = 0;
    StoreWatchRequest request;
    MonotonicTime until;
};

struct DelayedReply
{
    MonotonicTime due;
    HttpToken token = 0;
    std::string body;
};

/// Serves a StoreModel over HTTP.
struct StoreService
{
    StoreService(EventLoop &loop, const StoreModelOptions &options, const HttpServerOptions &http, int controlPort)
        : model(makeStoreModel(options))
        , server(loop, http)
        , control(loop, {.address = http.address, .port = static_cast<std::uint16_t>(controlPort)})
        , timer(loop, [this] { onTimer(); })
        , clock(systemClock())
    {
        server.route("/v1/call", [this](const HttpRequest &request) { onCall(request); });
        server.route("/v1/watch", [this](const HttpRequest &request) { onWatch(request); });
        control.route("/v1/control", [this](const HttpRequest &request) { onControl(request); });
        control.route("/v1/records", [this](const HttpRequest &request) { onRecords(request); });
    }

    Error listen()
    {
        Error error = control.listen();
        return error ? error : server.listen();
    }

    void onCall(const HttpRequest &request)
    {
        std::string problem;
        const auto call = decodeStoreCall(request.body, problem);
        if (!call) {
            replyError(server, request.token, statusBadRequest, problem);
            return;
        }
        if (call->value.size() > model.options.maxValueBytes) {
            replyError(server, request.token, statusTooLarge, "the value is too large");
            return;
        }
        const auto reply = callStore(model, *call, clock.now());
        if (!reply) {
            loseAnswer(request.token);
        } else if (reply->status == StoreStatus::Throttled) {
            replyError(server, request.token, statusThrottled, "too many calls a second");
        } else {
            answer(request.token, encodeStoreReply(*reply));
        }
        answerWatchers();
    }

    /// A store that is down keeps its callers waiting; otherwise the connection breaks.
    void loseAnswer(HttpToken token)
    {
        if (!model.faults.down) {
            server.drop(token);
        }
    }

    void onWatch(const HttpRequest &request)
    {
        if (model.faults.down) {
            return;
        }
        if (!admitWatch(model, clock.now())) {
            replyError(server, request.token, statusThrottled, "too many calls a second");
            return;
        }
        const auto prefix = request.query.find("prefix");
        watchers.push_back({.token = request.token,
            .request = {.prefix = prefix == request.query.end() ? "" : prefix->second,
                .after = static_cast<std::uint64_t>(queryInteger(request, "after")),
                .wait = milliseconds(queryInteger(request, "wait_ms"))},
            .until = clock.now() + milliseconds(queryInteger(request, "wait_ms"))});
        answerWatchers();
    }

    void onControl(const HttpRequest &request)
    {
        const Json json = Json::parse(request.body, nullptr, false);
        if (json.is_discarded() || !json.is_object()) {
            replyError(control, request.token, statusBadRequest, "the body is not a JSON object");
            return;
        }
        StoreFaults &faults = model.faults;
        readField(json, "down", faults.down);
        readField(json, "slow_ms", faults.slow);
        readField(json, "lose_next_writes", faults.loseNextWrites);
        readField(json, "lose_write_percent", faults.loseWritePercent);
        readField(json, "lease_percent", faults.leasePercent);
        bool gap = false;
        readField(json, "drop_history", gap);
        if (gap) {
            dropHistory(model);
        }
        bool refuse = refusing;
        readField(json, "refuse", refuse);
        setRefusing(refuse);
        control.reply(request.token, {.body = "{}"});
        answerWatchers();
    }

    void setRefusing(bool refuse)
    {
        if (refuse == refusing) {
            return;
        }
        refusing = refuse;
        model.faults.down = refuse;
        if (refuse) {
            server.stopListening();
            for (const Watcher &watcher : watchers) {
                server.drop(watcher.token);
            }
            watchers.clear();
            return;
        }
        const Error error = server.listen();
        if (error) {
            logLine(LogLevel::Error, "store_standin", "{}", describe(error));
        }
    }

    void onRecords(const HttpRequest &request)
    {
        const StoreCounters &counters = model.counters;
        const std::string body = Json{{"reads", counters.reads}, {"writes", counters.writes},
            {"watches", counters.watches}, {"throttled", counters.throttled}, {"lost_answers", counters.lostAnswers},
            {"lapsed_leases", counters.lapsedLeases}, {"revision", model.revision}, {"entries", model.entries.size()}}
                                     .dump();
        control.reply(request.token, {.body = body});
    }

    void answer(HttpToken token, std::string body)
    {
        if (model.faults.slow.count() > 0) {
            delayed.push_back({.due = clock.now() + model.faults.slow, .token = token, .body = std::move(body)});
            schedule();
            return;
        }
        server.reply(token, {.body = body});
    }

    void onTimer()
    {
        const MonotonicTime now = clock.now();
        advance(model, now);
        std::erase_if(delayed, [this, now](const DelayedReply &reply) {
            if (reply.due > now) {
                return false;
            }
            server.reply(reply.token, {.body = reply.body});
            return true;
        });
        answerWatchers();
    }

    void answerWatchers()
    {
        if (!model.faults.down) {
            std::erase_if(watchers, [this](const Watcher &watcher) { return answerWatcher(watcher); });
        }
        schedule();
    }

    bool answerWatcher(const Watcher &watcher)
    {
        auto update = watchStore(model, watcher.request.prefix, watcher.request.after);
        if (!update && clock.now() < watcher.until) {
            return false;
        }
        if (!update) {
            update = {.revision = model.revision, .changed = {}, .removed = {}};
        }
        answer(watcher.token, encodeStoreWatchUpdate(*update));
        return true;
    }

    void schedule()
    {
        MonotonicTime next = nextChange(model);
        for (const DelayedReply &reply : delayed) {
            next = std::min(next, reply.due);
        }
        for (const Watcher &watcher : watchers) {
            // Watchers of a store that is down are answered when it is up again, by onControl().
            next = model.faults.down ? next : std::min(next, watcher.until);
        }
        if (next == MonotonicTime::max()) {
            timer.cancel();
            return;
        }
        timer.startOnce(std::max(milliseconds(1), std::chrono::ceil<milliseconds>(next - clock.now())));
    }

    StoreModel model;
    HttpServer server;
    HttpServer control;
    Timer timer;
    Clock clock;
    std::vector<Watcher> watchers;
    std::deque<DelayedReply> delayed;
    bool refusing = false;
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("a stand-in store for tests and the quick start");
    absl::ParseCommandLine(argc, argv);
    EventLoop loop(systemClock());
    StoreService service(loop,
        {.writesPerSecond = absl::GetFlag(FLAGS_writes_per_second),
            .readsPerSecond = absl::GetFlag(FLAGS_reads_per_second),
            .seed = absl::GetFlag(FLAGS_seed)},
        {.address = absl::GetFlag(FLAGS_address),
            .port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)),
            .maxBodyBytes = maxBodyBytes},
        absl::GetFlag(FLAGS_control_port));
    const Error error = service.listen();
    if (error) {
        logLine(LogLevel::Error, "store_standin", "{}", describe(error));
        return 1;
    }
    const SignalWatch onTerminate(loop, SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
