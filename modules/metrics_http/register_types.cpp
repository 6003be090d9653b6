#include "modules/metrics_http/register_types.h"

#include "core/kernel.h"
#include "core/log.h"
#include "core/registry.h"
#include "drivers/http/http_server.h"
#include "drivers/http/limit_counter.h"
#include "modules/metrics_http/metrics_page.h"

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "metrics_http";
constexpr int statusServiceUnavailable = 503;

/// Serves /metrics, /healthz and /readyz.
struct MetricsPage
{
    MetricsPage(Kernel &owner)
        : kernel(owner)
        , server(owner.loop,
              checkServerOptions(owner.settings.text("metrics_http.address"),
                  static_cast<std::uint16_t>(owner.settings.integer("metrics_http.port")),
                  limitCounter(owner.metrics, "metrics")))
    {
        observed = kernel.signals.observed.connect(
            [this](const ObserveAction &observation) { observe(histograms, observation); });
        server.route("/metrics", [this](const HttpRequest &request) {
            const std::string text = metricsText(kernel.metrics, kernel.scheduler);
            server.reply(request.token, {.contentType = "text/plain; version=0.0.4", .body = text});
        });
        server.route("/healthz", [this](const HttpRequest &request) {
            server.reply(request.token, {.contentType = "text/plain", .body = "alive\n"});
        });
        server.route("/readyz", [this](const HttpRequest &request) {
            const bool ready = mayTakeRequests(kernel.scheduler);
            server.reply(request.token,
                {.status = ready ? 200 : statusServiceUnavailable,
                    .contentType = "text/plain",
                    .body = ready ? "ready\n" : "not ready\n"});
        });
    }

    MetricsPage(const MetricsPage &) = delete;
    MetricsPage &operator=(const MetricsPage &) = delete;
    ~MetricsPage() { observed.disconnect(); }

    Kernel &kernel;
    DurationHistograms histograms = addHistograms(kernel.metrics);
    sigc::connection observed;
    HttpServer server;
};

} // namespace

void registerMetricsHttp(Registry &registry)
{
    registry.addSetting({.section = "metrics_http",
        .key = "address",
        .defaultValue = "127.0.0.1",
        .description = "IP address of the metrics page."});
    registry.addSetting({.section = "metrics_http",
        .key = "port",
        .type = SettingType::Integer,
        .defaultValue = "7101",
        .min = 1,
        .max = 65535,
        .description = "Port of the metrics page."});
    registry.add({.name = "metrics_http",
        .level = PluginLevel::FrontEnds,
        .start = [](Kernel &kernel) -> void * {
            auto page = std::make_unique<MetricsPage>(kernel);
            const Error error = page->server.listen();
            if (error) {
                logLine(LogLevel::Error, logPart, "{}", describe(error));
                return nullptr;
            }
            return page.release();
        },
        .stop = [](void *state) { delete static_cast<MetricsPage *>(state); }});
}

} // namespace wigeonkeel
