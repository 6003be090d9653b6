#pragma once

#include "core/clock.h"
#include "core/tenants/key_index.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Far above what operators set. With the longest estimates, the deadlines of jobs stay below 2^63 milliseconds.
inline constexpr double maxStretch = 1000.0;

/// How long the external placement adviser takes, and how long its tickets are valid.
struct AdviceTimes
{
    /// In microseconds, because the time for each worker is a fraction of a millisecond.
    std::chrono::microseconds base{0};
    std::chrono::microseconds perWorker{0};
    milliseconds ticketValidity{0};
};

/// A queue of jobs, selected by the host and path of a request.
struct QueueConfig
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    /// Pool of workers that runs the queue's tasks.
    std::string pool;
    /// 0 is the highest priority; its tasks may pre-empt others.
    std::uint32_t priority = 0;
    /// Number of failed runs of a task or a gang after which its job fails.
    std::uint32_t maxAttempts = 1;
    /// A job is on time if it ends within `stretch` times the estimate of its longest path of steps, plus `target`.
    double stretch = 1.0;
    milliseconds target{0};
    /// Empty if any worker may run the queue's steps without advice.
    std::optional<AdviceTimes> advice;
    /// Calls need no API key.
    bool isPublic = false;
};

struct PoolConfig
{
    std::string name;
    /// Workers check their capacity themselves and reject tasks that don't fit.
    bool workersEnforceCapacity = false;
    bool standby = false;
};

/// Size and time limits for clients' requests.
struct ClientLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 262144;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/// The operator's settings in force.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<QueueConfig> queues;
    std::vector<PoolConfig> pools;
    ClientLimits limits;
    /// Without a value, the deployment has no tenants and calls need no key.
    std::optional<std::vector<TenantConfig>> tenants;
    /// Keys of the tenants; see indexKeys().
    KeyIndex keys;
    /// Positions in `queues`, by name and by host; see indexQueues(). Operators may have thousands of queues.
    absl::flat_hash_map<std::string, std::size_t> byName;
    absl::flat_hash_map<std::string, std::vector<std::size_t>> byHost;
};

/// The tenants; empty if the deployment has none.
inline std::span<const TenantConfig> tenantsOf(const Configuration &configuration)
{
    return configuration.tenants ? *configuration.tenants : std::span<const TenantConfig>();
}

/// Rebuilds the indexes. Call it after `queues` has changed.
void indexQueues(Configuration &configuration);

/// Rebuilds the index of the tenants' keys. `seed` is a secret of the process.
void indexKeys(Configuration &configuration, std::uint64_t seed);

/// The queue of this host whose prefix is the longest that matches the path; null if there is none.
const QueueConfig *findQueue(const Configuration &configuration, std::string_view host, std::string_view path);
const QueueConfig *findQueueByName(const Configuration &configuration, const std::string &name);

} // namespace wigeonkeel::dispatch
