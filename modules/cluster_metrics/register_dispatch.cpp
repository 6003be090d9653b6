#include "modules/cluster_metrics/register_dispatch.h"

#include "core/log.h"
#include "modules/cluster_metrics/cluster_metrics.h"

namespace wigeonkeel::dispatch
{

void registerClusterMetrics(DispatchRegistry &registry)
{
    registry.add({.name = "cluster_metrics",
        .level = PluginLevel::FrontEnds,
        .start = [](DispatchKernel &kernel) -> void * {
            auto metrics = std::make_unique<ClusterMetrics>(kernel);
            const Error error = metrics->server ? metrics->server->listen() : Error{};
            if (error) {
                logLine(LogLevel::Error, "metrics", "{}", describe(error));
                return nullptr;
            }
            return metrics.release();
        },
        .stop = [](void *state) { delete static_cast<ClusterMetrics *>(state); }});
}

} // namespace wigeonkeel::dispatch
