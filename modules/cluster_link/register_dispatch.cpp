#include "modules/cluster_link/register_dispatch.h"

#include "core/log.h"
#include "modules/cluster_link/cluster_links.h"

namespace wigeonkeel::dispatch
{

void registerClusterLink(DispatchRegistry &registry)
{
    registry.add({.name = "cluster_link",
        .level = PluginLevel::Drivers,
        .start = [](DispatchKernel &kernel) -> void * {
            auto links = std::make_unique<ClusterLinks>(ClusterLinks{.kernel = kernel});
            const Error error = startLinks(*links);
            if (error) {
                logLine(LogLevel::Error, "cluster_link", "{}", describe(error));
                return nullptr;
            }
            return links.release();
        },
        .stop =
            [](void *state) {
                auto *links = static_cast<ClusterLinks *>(state);
                links->actions.disconnect();
                delete links;
            }});
}

} // namespace wigeonkeel::dispatch
