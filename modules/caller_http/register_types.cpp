#include "modules/caller_http/register_types.h"

#include "core/json_text.h"
#include "core/kernel.h"
#include "core/log.h"
#include "core/registry.h"
#include "drivers/http/http_server.h"
#include "drivers/http/limit_counter.h"
#include "modules/caller_http/caller_json.h"

#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "caller_http";
constexpr std::string_view requestsPath = "/v1/requests";
constexpr int statusBadRequest = 400;
constexpr int statusMethodNotAllowed = 405;

/// The front end for callers: HTTP with JSON bodies.
struct CallerFrontEnd
{
    CallerFrontEnd(Kernel &owner)
        : kernel(owner)
        , server(owner.loop,
              {.address = std::string(owner.settings.text("caller_http.address")),
                  .port = static_cast<std::uint16_t>(owner.settings.integer("caller_http.port")),
                  .maxBodyBytes = static_cast<std::size_t>(owner.settings.integer("caller_http.max_body")),
                  .readTimeout = owner.settings.duration("caller_http.read_timeout"),
                  .maxConnections = static_cast<std::size_t>(owner.settings.integer("caller_http.max_connections")),
                  .maxWaiting = static_cast<std::size_t>(owner.settings.integer("caller_http.max_waiting")),
                  .requestTimeout = owner.settings.duration("caller_http.request_timeout"),
                  .responseTimeout = owner.settings.duration("caller_http.response_timeout"),
                  .maxHeldBytes = static_cast<std::size_t>(owner.settings.integer("caller_http.max_held")),
                  .limitReached = limitCounter(owner.metrics, "callers")})
    {
        server.route(std::string(requestsPath), [this](const HttpRequest &request) { handle(request); });
        server.onClientGone([this](HttpToken token) { post(kernel, CallerGoneEvent{.caller = token}); });
        replies = kernel.signals.replyToCaller.connect(
            [this](const ReplyToCaller &action) { reply(action.caller, action.answer); });
    }

    ~CallerFrontEnd() { replies.disconnect(); }

    void handle(const HttpRequest &request)
    {
        if (request.method == "POST" && request.path == requestsPath) {
            submit(request);
            return;
        }
        if (request.method == "GET") {
            query(request);
            return;
        }
        if (request.method == "DELETE") {
            cancel(request);
            return;
        }
        refuse(request.token, statusMethodNotAllowed,
            "expected POST /v1/requests, or GET or DELETE /v1/requests?operator=NAME&id=ID");
    }

    void submit(const HttpRequest &request)
    {
        std::string problem;
        auto event = decodeSubmission(request.body, problem);
        if (!event) {
            refuse(request.token, statusBadRequest, problem);
            return;
        }
        event->caller = request.token;
        post(kernel, *event);
    }

    void query(const HttpRequest &request)
    {
        const auto operatorName = request.query.find("operator");
        const auto id = request.query.find("id");
        if (operatorName == request.query.end() || id == request.query.end()) {
            refuse(request.token, statusBadRequest, "expected the query fields 'operator' and 'id'");
            return;
        }
        const auto wait = request.query.find("wait");
        post(kernel,
            QueryEvent{.caller = request.token,
                .operatorName = operatorName->second,
                .id = id->second,
                .wait = wait != request.query.end() && wait->second == "true"});
    }

    void cancel(const HttpRequest &request)
    {
        const auto operatorName = request.query.find("operator");
        const auto id = request.query.find("id");
        if (operatorName == request.query.end() || id == request.query.end()) {
            refuse(request.token, statusBadRequest, "expected the query fields 'operator' and 'id'");
            return;
        }
        post(kernel, CancelEvent{.caller = request.token, .operatorName = operatorName->second, .id = id->second});
    }

    void refuse(HttpToken token, int status, std::string_view problem)
    {
        const nlohmann::json body = {{"outcome", "not_run"}, {"reason", problem}};
        const std::string text = dumpJson(body);
        server.reply(token, {.status = status, .body = text});
    }

    void reply(CallerToken caller, const Answer &answer)
    {
        const std::string body = encodeAnswer(answer);
        server.reply(caller, {.status = statusOf(answer), .body = body, .retryAfter = answer.retryAfter});
    }

    Kernel &kernel;
    HttpServer server;
    sigc::connection replies;
};

void *start(Kernel &kernel)
{
    auto frontEnd = std::make_unique<CallerFrontEnd>(kernel);
    const Error error = frontEnd->server.listen();
    if (error) {
        logLine(LogLevel::Error, logPart, "{}", describe(error));
        return nullptr;
    }
    return frontEnd.release();
}

} // namespace

void registerCallerHttp(Registry &registry)
{
    registry.addSetting({.section = "caller_http",
        .key = "address",
        .defaultValue = "127.0.0.1",
        .description = "IP address that callers connect to."});
    registry.addSetting({.section = "caller_http",
        .key = "port",
        .type = SettingType::Integer,
        .defaultValue = "7100",
        .min = 1,
        .max = 65535,
        .description = "Port that callers connect to."});
    registry.addSetting({.section = "caller_http",
        .key = "max_body",
        .type = SettingType::Integer,
        .unit = "bytes",
        .defaultValue = "262144",
        .min = 1024,
        .max = 16777216,
        .description = "Largest body of a caller's request."});
    registry.addSetting({.section = "caller_http",
        .key = "read_timeout",
        .type = SettingType::Milliseconds,
        .unit = "ms",
        .defaultValue = "30000",
        .min = 1000,
        .max = 600000,
        .description = "A connection that has not delivered a complete request for this long is closed."});
    registry.addSetting({.section = "caller_http",
        .key = "max_connections",
        .type = SettingType::Integer,
        .unit = "connections",
        .defaultValue = "10000",
        .min = 1,
        .max = 1000000,
        .description = "Connections that callers may have open at one time; more wait to be accepted."});
    registry.addSetting({.section = "caller_http",
        .key = "max_waiting",
        .type = SettingType::Integer,
        .unit = "requests",
        .defaultValue = "10000",
        .min = 1,
        .max = 1000000,
        .description = "Callers that may wait for an answer at one time; more are told not_run."});
    registry.addSetting({.section = "caller_http",
        .key = "request_timeout",
        .type = SettingType::Milliseconds,
        .unit = "ms",
        .defaultValue = "10000",
        .min = 1000,
        .max = 600000,
        .description = "A request must be complete this long after its first byte; read_timeout bounds it too."});
    registry.addSetting({.section = "caller_http",
        .key = "response_timeout",
        .type = SettingType::Milliseconds,
        .unit = "ms",
        .defaultValue = "10000",
        .min = 1000,
        .max = 600000,
        .description = "A caller must take an answer within this time."});
    registry.addSetting({.section = "caller_http",
        .key = "max_held",
        .type = SettingType::Integer,
        .unit = "bytes",
        .defaultValue = "67108864",
        .min = 1048576,
        .max = 1099511627776,
        .description = "Requests and untaken answers of all connections; above it, connections are closed."});
    registry.add({.name = "caller_http",
        .level = PluginLevel::FrontEnds,
        .start = start,
        .stop = [](void *state) { delete static_cast<CallerFrontEnd *>(state); },
        .stopAccepting = [](void *state) { static_cast<CallerFrontEnd *>(state)->server.stopListening(); },
        .isBusy = [](void *state) { return static_cast<CallerFrontEnd *>(state)->server.isWriting(); }});
}

} // namespace wigeonkeel
