#include "core/dispatch/configuration.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

void indexQueues(Configuration &configuration)
{
    configuration.byName.clear();
    configuration.byHost.clear();
    for (std::size_t position = 0; position < configuration.queues.size(); ++position) {
        configuration.byName.emplace(configuration.queues[position].name, position);
        configuration.byHost[configuration.queues[position].host].push_back(position);
    }
}

void indexKeys(Configuration &configuration, std::uint64_t seed)
{
    configuration.keys = buildKeyIndex(tenantsOf(configuration), seed);
}

const QueueConfig *findQueue(const Configuration &configuration, std::string_view host, std::string_view path)
{
    const auto found = configuration.byHost.find(std::string(host));
    if (found == configuration.byHost.end()) {
        return nullptr;
    }
    const QueueConfig *longest = nullptr;
    for (const std::size_t position : found->second) {
        const QueueConfig &queue = configuration.queues[position];
        const bool matches = path.starts_with(queue.pathPrefix);
        if (matches && (longest == nullptr || queue.pathPrefix.size() > longest->pathPrefix.size())) {
            longest = &queue;
        }
    }
    return longest;
}

const QueueConfig *findQueueByName(const Configuration &configuration, const std::string &name)
{
    const auto found = configuration.byName.find(name);
    return found == configuration.byName.end() ? nullptr : &configuration.queues[found->second];
}

} // namespace wigeonkeel::dispatch
