#include "core/dispatch/configuration.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

void indexQueues(Configuration &configuration)
{
    configuration.byName.clear();
    configuration.byHost.clear();
    for (std::size_t place = 0; place < configuration.queues.size(); ++place) {
        configuration.byName.emplace(configuration.queues[place].name, place);
        configuration.byHost[configuration.queues[place].host].push_back(place);
    }
}

const QueueConfig *findQueue(const Configuration &configuration, std::string_view host, std::string_view path)
{
    const auto found = configuration.byHost.find(std::string(host));
    if (found == configuration.byHost.end()) {
        return nullptr;
    }
    const QueueConfig *best = nullptr;
    for (const std::size_t place : found->second) {
        const QueueConfig &queue = configuration.queues[place];
        const bool matches = path.starts_with(queue.pathPrefix);
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueueConfig *findQueueByName(const Configuration &configuration, const std::string &name)
{
    const auto found = configuration.byName.find(name);
    return found == configuration.byName.end() ? nullptr : &configuration.queues[found->second];
}

} // namespace wigeonkeel::dispatch
