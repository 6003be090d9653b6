#include "core/event_loop.h"
#include "core/log.h"
#include "drivers/clock/system_clock.h"
#include "drivers/http/http_server.h"
#include "drivers/vm_list_protocol/vm_list_json.h"
#include "standins/json_reply.h"
#include "standins/vm_list/vm_list_model.h"

#include <csignal>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 7002, "port to listen on");
ABSL_FLAG(uint64_t, seed, 1, "seed of the lags");

namespace
{

using namespace wigeonkeel;
using Json = nlohmann::json;

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;

/// A VM list that is changed by PUT and DELETE /v1/vms/NAME; POST /v1/control switches faults.
struct VmListService
{
    VmListService(EventLoop &loop, HttpServerOptions http, std::uint64_t seed)
        : server(loop, std::move(http))
        , clock(systemClock())
    {
        model.options.seed = seed;
        server.route("/v1/vms", [this](const HttpRequest &request) { handle(request); });
        server.route("/v1/control", [this](const HttpRequest &request) { onControl(request); });
    }

    void handle(const HttpRequest &request)
    {
        if (request.method == "GET") {
            read(request);
            return;
        }
        const std::string name(request.path.substr(request.path.rfind('/') + 1));
        if (request.method == "DELETE") {
            removeVm(model, name, clock.now());
            server.reply(request.token, {.body = "{}"});
            return;
        }
        Json vm = Json::parse(request.body, nullptr, false);
        if (vm.is_discarded() || !vm.is_object()) {
            replyError(server, request.token, statusBadRequest, "the body is not a JSON object");
            return;
        }
        vm["name"] = name;
        std::string problem;
        const auto update = decodeVmList(Json{{"vms", Json::array({vm})}}.dump(), problem);
        if (!update) {
            replyError(server, request.token, statusBadRequest, problem);
            return;
        }
        setVm(model, update->vms.front(), clock.now());
        server.reply(request.token, {.body = "{}"});
    }

    /// A reader that names itself (`?reader=NAME`) has lags of its own.
    void read(const HttpRequest &request)
    {
        const auto reader = request.query.find("reader");
        const auto update
            = readVms(model, reader == request.query.end() ? std::string_view() : reader->second, clock.now());
        // During an outage the reader gets no answer.
        if (update) {
            server.reply(request.token, {.body = encodeVmList(*update)});
        }
    }

    void onControl(const HttpRequest &request)
    {
        const Json json = Json::parse(request.body, nullptr, false);
        if (json.is_discarded() || !json.is_object()) {
            replyError(server, request.token, statusBadRequest, "the body is not a JSON object");
            return;
        }
        readField(json, "outage", model.outage);
        readField(json, "min_lag_ms", model.options.minLag);
        readField(json, "max_lag_ms", model.options.maxLag);
        const auto leaving = json.find("leaving");
        if (leaving != json.end() && leaving->is_string()
            && !markLeaving(model, leaving->get<std::string>(), clock.now())) {
            replyError(server, request.token, statusNotFound, "no VM of this name");
            return;
        }
        server.reply(request.token, {.body = "{}"});
    }

    VmListModel model;
    HttpServer server;
    Clock clock;
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("a stand-in VM list for tests and the quick start");
    absl::ParseCommandLine(argc, argv);
    EventLoop loop(systemClock());
    VmListService service(loop,
        {.address = absl::GetFlag(FLAGS_address), .port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port))},
        absl::GetFlag(FLAGS_seed));
    const Error error = service.server.listen();
    if (error) {
        logLine(LogLevel::Error, "vm_list_standin", "{}", describe(error));
        return 1;
    }
    const SignalWatch onTerminate(loop, SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
