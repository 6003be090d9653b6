#include "modules/operator_http/register_types.h"

#include "core/kernel.h"
#include "core/log.h"
#include "core/registry.h"
#include "core/scheduler/explain.h"
#include "drivers/http/http_server.h"
#include "drivers/http/limit_counter.h"
#include "modules/operator_http/authentication.h"
#include "modules/operator_http/operator_json.h"
#include "modules/operator_http/pages_json.h"

#include <array>
#include <memory>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "operator_http";
constexpr const char *operatorHeader = "X-Wigeonkeel-Operator";
constexpr const char *keyHeader = "X-Wigeonkeel-Key";
constexpr std::size_t maxTasksListed = 10'000;

struct OperatorFrontEnd;
using PathFunction = void (*)(OperatorFrontEnd &frontEnd, const HttpRequest &request, std::string_view operatorName);

struct PathRow
{
    std::string_view method;
    std::string_view path;
    PathFunction run = nullptr;
};

/// The front end for operators: changes and questions about settings, and read-only pages.
struct OperatorFrontEnd
{
    OperatorFrontEnd(Kernel &owner)
        : kernel(owner)
        , server(owner.loop,
              {.address = std::string(owner.settings.text("operator_http.address")),
                  .port = static_cast<std::uint16_t>(owner.settings.integer("operator_http.port")),
                  .maxBodyBytes = static_cast<std::size_t>(owner.settings.integer("operator_http.max_body")),
                  .readTimeout = owner.settings.duration("operator_http.read_timeout"),
                  .maxConnections = static_cast<std::size_t>(owner.settings.integer("operator_http.max_connections")),
                  .maxWaiting = static_cast<std::size_t>(owner.settings.integer("operator_http.max_waiting")),
                  .maxHeldBytes = static_cast<std::size_t>(owner.settings.integer("operator_http.max_held")),
                  .limitReached = limitCounter(owner.metrics, "operators")})
    {
        server.route("/v1/", [this](const HttpRequest &request) { handle(request); });
        replies = kernel.signals.replyToOperator.connect([this](const OperatorReply &reply) {
            const std::string body = encodeOperatorReply(reply);
            server.reply(reply.token, {.status = statusOf(reply.error), .body = body});
        });
    }

    ~OperatorFrontEnd() { replies.disconnect(); }

    void handle(const HttpRequest &request);

    void refuse(const HttpRequest &request, Errc code, std::string detail)
    {
        const Error error{.code = code,
            .step = fmt::format("{} {}", request.method, request.path),
            .peer = {},
            .detail = std::move(detail)};
        const std::string body = encodeError(error);
        server.reply(request.token, {.status = statusOf(error), .body = body});
    }

    void replyPage(const HttpRequest &request, const std::string &body) { server.reply(request.token, {.body = body}); }

    Kernel &kernel;
    HttpServer server;
    sigc::connection replies;
};

std::string queryField(const HttpRequest &request, std::string_view name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

template <OperatorCommandKind kind>
void askSettings(OperatorFrontEnd &frontEnd, const HttpRequest &request, std::string_view operatorName)
{
    post(frontEnd.kernel,
        OperatorEvent{.token = request.token,
            .kind = kind,
            .operatorName = std::string(operatorName),
            .author = std::string(operatorName)});
}

template <OperatorCommandKind kind>
void changeSettings(OperatorFrontEnd &frontEnd, const HttpRequest &request, std::string_view operatorName)
{
    std::string problem;
    auto event = decodeChange(kind, request.body, problem);
    if (!event) {
        frontEnd.refuse(request, Errc::Malformed, std::move(problem));
        return;
    }
    event->token = request.token;
    event->operatorName = operatorName;
    event->author
        = event->author.empty() ? std::string(operatorName) : fmt::format("{}/{}", operatorName, event->author);
    post(frontEnd.kernel, *event);
}

void showStatus(OperatorFrontEnd &frontEnd, const HttpRequest &request, std::string_view operatorName)
{
    frontEnd.replyPage(request, statusPage(frontEnd.kernel.scheduler, operatorName));
}

void showWorkers(OperatorFrontEnd &frontEnd, const HttpRequest &request, std::string_view)
{
    frontEnd.replyPage(request, workersPage(frontEnd.kernel.scheduler));
}

void showTasks(OperatorFrontEnd &frontEnd, const HttpRequest &request, std::string_view operatorName)
{
    const bool all = queryField(request, "all") == "true";
    if (all && !isAdmin(frontEnd.kernel.settings, operatorName)) {
        frontEnd.refuse(request, Errc::Unauthorized, "expected a name in the setting operator_http.admins");
        return;
    }
    frontEnd.replyPage(request, tasksPage(frontEnd.kernel.scheduler, all ? "" : operatorName, maxTasksListed));
}

void showExplanation(OperatorFrontEnd &frontEnd, const HttpRequest &request, std::string_view operatorName)
{
    const std::string id = queryField(request, "id");
    const std::string asked = queryField(request, "operator");
    const std::string_view subject = asked.empty() ? operatorName : std::string_view(asked);
    if (id.empty()) {
        frontEnd.refuse(request, Errc::Malformed, "expected the query field 'id'");
        return;
    }
    if (subject != operatorName && !isAdmin(frontEnd.kernel.settings, operatorName)) {
        frontEnd.refuse(request, Errc::Unauthorized, "the request belongs to another operator");
        return;
    }
    frontEnd.replyPage(
        request, explainPage(explainTask(frontEnd.kernel.scheduler, subject, id, readClock(frontEnd.kernel.clock))));
}

void drainDaemon(OperatorFrontEnd &frontEnd, const HttpRequest &request, std::string_view operatorName)
{
    if (!isAdmin(frontEnd.kernel.settings, operatorName)) {
        frontEnd.refuse(request, Errc::Unauthorized, "expected a name in the setting operator_http.admins");
        return;
    }
    logLine(LogLevel::Info, logPart, "Operator {} asked for a shutdown.", operatorName);
    frontEnd.replyPage(request, R"({"draining":true})");
    post(frontEnd.kernel, DrainEvent{});
}

constexpr std::array paths = {
    PathRow{"GET", "/v1/config", askSettings<OperatorCommandKind::Show>},
    PathRow{"GET", "/v1/config/history", askSettings<OperatorCommandKind::History>},
    PathRow{"PUT", "/v1/config", changeSettings<OperatorCommandKind::Apply>},
    PathRow{"POST", "/v1/config", changeSettings<OperatorCommandKind::Apply>},
    PathRow{"POST", "/v1/config/cancel", changeSettings<OperatorCommandKind::Cancel>},
    PathRow{"POST", "/v1/config/resume", changeSettings<OperatorCommandKind::Resume>},
    PathRow{"GET", "/v1/status", showStatus},
    PathRow{"GET", "/v1/workers", showWorkers},
    PathRow{"GET", "/v1/tasks", showTasks},
    PathRow{"GET", "/v1/explain", showExplanation},
    PathRow{"POST", "/v1/drain", drainDaemon},
};

void OperatorFrontEnd::handle(const HttpRequest &request)
{
    const std::string operatorName(request.header(operatorHeader));
    if (!isAuthenticated(kernel.settings, operatorName, request.header(keyHeader))) {
        refuse(request, Errc::Unauthorized,
            fmt::format("expected the headers {} and {} of a known operator", operatorHeader, keyHeader));
        return;
    }
    for (const PathRow &row : paths) {
        if (row.method == request.method && row.path == request.path) {
            row.run(*this, request, operatorName);
            return;
        }
    }
    refuse(request, Errc::NotFound, "no such method and path; see docs/interface.md");
}

void *start(Kernel &kernel)
{
    auto frontEnd = std::make_unique<OperatorFrontEnd>(kernel);
    const Error error = frontEnd->server.listen();
    if (error) {
        logLine(LogLevel::Error, logPart, "{}", describe(error));
        return nullptr;
    }
    return frontEnd.release();
}

} // namespace

void registerOperatorHttp(Registry &registry)
{
    registry.addSetting({.section = "operator_http",
        .key = "address",
        .defaultValue = "127.0.0.1",
        .description = "IP address that operators connect to."});
    registry.addSetting({.section = "operator_http",
        .key = "port",
        .type = SettingType::Integer,
        .defaultValue = "7102",
        .min = 1,
        .max = 65535,
        .description = "Port that operators connect to."});
    registry.addSetting({.section = "operator_http",
        .key = "max_body",
        .type = SettingType::Integer,
        .unit = "bytes",
        .defaultValue = "524288",
        .min = 1024,
        .max = 1048576,
        .description = "Largest body of an operator's request. Settings may have 196608 bytes before JSON escapes."});
    registry.addSetting({.section = "operator_http",
        .key = "read_timeout",
        .type = SettingType::Milliseconds,
        .unit = "ms",
        .defaultValue = "30000",
        .min = 1000,
        .max = 600000,
        .description = "An operator who is silent this long within a request is cut off."});
    registry.addSetting({.section = "operator_http",
        .key = "max_connections",
        .type = SettingType::Integer,
        .unit = "connections",
        .defaultValue = "1000",
        .min = 1,
        .max = 1000000,
        .description = "Connections that operators may have open at one time; more wait to be accepted."});
    registry.addSetting({.section = "operator_http",
        .key = "max_held",
        .type = SettingType::Integer,
        .unit = "bytes",
        .defaultValue = "67108864",
        .min = 1048576,
        .max = 1099511627776,
        .description = "Requests and untaken responses of all connections; above it, connections are closed."});
    registry.addSetting({.section = "operator_http",
        .key = "max_waiting",
        .type = SettingType::Integer,
        .unit = "requests",
        .defaultValue = "256",
        .min = 1,
        .max = 100000,
        .description = "Operators' requests that may wait for an answer at one time."});
    registry.addSetting({.section = "operator_http",
        .key = "admins",
        .description = "Names from [operators], separated by commas, who may drain this daemon and see all tasks."});
    registry.add({.name = "operator_http",
        .level = PluginLevel::FrontEnds,
        .start = start,
        .stop = [](void *state) { delete static_cast<OperatorFrontEnd *>(state); },
        .stopAccepting = [](void *state) { static_cast<OperatorFrontEnd *>(state)->server.stopListening(); },
        .isBusy = [](void *state) { return static_cast<OperatorFrontEnd *>(state)->server.isWriting(); }});
}

} // namespace wigeonkeel
