#pragma once

#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Far above what operators set; with the longest estimates, times of jobs stay below 2^63 milliseconds.
inline constexpr double maxStretch = 1000.0;

/// How long the external placement adviser takes, and how long its tickets are good.
struct AdviceTimes
{
    /// In microseconds, because the time for each worker is a fraction of a millisecond.
    std::chrono::microseconds base{0};
    std::chrono::microseconds perWorker{0};
    milliseconds ticketValidity{0};
};

/// A queue of jobs, reached by host and path.
struct QueueConfig
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    /// Pool of workers that runs its tasks.
    std::string pool;
    /// 0 comes first and may preempt others.
    std::uint32_t priority = 0;
    /// Failed runs of a task, or a gang, after which its job has failed.
    std::uint32_t maxAttempts = 1;
    /// A job is on time within `stretch` times its longest chain of work and `target` more.
    double stretch = 1.0;
    milliseconds target{0};
    /// Nothing if any worker may run the queue's steps.
    std::optional<AdviceTimes> advice;
};

struct PoolConfig
{
    std::string name;
    /// Workers refuse what does not fit by themselves.
    bool workersGuardCapacity = false;
    bool standby = false;
};

/// Bounds of what clients may send.
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
    /// Places in `queues`, by name and by host; see indexQueues(). Operators may have thousands of queues.
    absl::flat_hash_map<std::string, std::size_t> byName;
    absl::flat_hash_map<std::string, std::vector<std::size_t>> byHost;
};

/// Fills the indexes; to be called after `queues` has changed.
void indexQueues(Configuration &configuration);

/// The queue with the longest prefix of the path at this host; null if there is none.
const QueueConfig *findQueue(const Configuration &configuration, std::string_view host, std::string_view path);
const QueueConfig *findQueueByName(const Configuration &configuration, const std::string &name);

} // namespace wigeonkeel::dispatch
