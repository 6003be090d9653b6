#include "core/dispatch/configuration.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

const QueueConfig *findQueue(const Configuration &configuration, std::string_view host, std::string_view path)
{
    const QueueConfig *best = nullptr;
    for (const QueueConfig &queue : configuration.queues) {
        const bool matches = queue.host == host && path.starts_with(queue.pathPrefix);
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueueConfig *findQueueByName(const Configuration &configuration, std::string_view name)
{
    const auto found = std::ranges::find(configuration.queues, name, &QueueConfig::name);
    return found == configuration.queues.end() ? nullptr : &*found;
}

const PoolConfig *findPool(const Configuration &configuration, std::string_view name)
{
    const auto found = std::ranges::find(configuration.pools, name, &PoolConfig::name);
    return found == configuration.pools.end() ? nullptr : &*found;
}

} // namespace wigeonkeel::dispatch
