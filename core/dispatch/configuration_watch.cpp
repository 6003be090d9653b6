#include "core/dispatch/configuration_watch.h"

#include "core/dispatch/node.h"
#include "core/log.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "configuration";
/// The store answers a watch after this time even if nothing has changed, so that an unresponsive connection is
/// detected within this time plus the call's timeout margin.
constexpr milliseconds watchWait{1300};
constexpr milliseconds readRetry{200};
/// How long another daemon must have newer settings before a copy is requested from it. Over the smallest links a large
/// configuration takes about half of this time to arrive from the store. Together with the transfer of a copy it stays
/// below the 2 s within which a change has to be in force.
constexpr milliseconds copyRequestDelay{600};
/// Interval between requests for a copy; an answer is expected within it.
constexpr milliseconds requestInterval{800};

bool isNewer(const Node &node, const Configuration &configuration)
{
    return !node.hasConfiguration || configuration.version > node.configuration.version;
}

/// Applies these settings if they are newer, so that a stale reply never replaces newer settings with older ones.
void applyConfiguration(Node &node, const Configuration &configuration, std::string_view source, Now now)
{
    if (!isNewer(node, configuration)) {
        return;
    }
    logLine(LogLevel::Info, logPart, "Configuration in force. version={} before={} queues={} tenants={} source={}",
        configuration.version, node.configuration.version, configuration.queues.size(), tenantsOf(configuration).size(),
        source);
    node.configuration = configuration;
    node.hasConfiguration = true;
    if (node.configuration.tenants) {
        indexKeys(node.configuration, nextRandom(node.random));
    }
    if (node.dispatcher) {
        setConfiguration(*node.dispatcher, node.configuration);
    }
    // Sends the new version to the other daemons at once.
    node.nextPresence = now.monotonic;
}

} // namespace

void tickConfiguration(Node &node, Now now)
{
    ConfigWatch &watch = node.configWatch;
    if (watch.callOpen || now.monotonic < watch.nextCall) {
        return;
    }
    watch.callOpen = true;
    watch.call = node.outbox.newCall();
    if (watch.revision == 0) {
        node.outbox.add(ReadConfiguration{.call = watch.call});
    } else {
        node.outbox.add(WatchConfiguration{.call = watch.call, .after = watch.revision, .wait = watchWait});
    }
}

void handleConfigurationReply(Node &node, const ConfigurationReply &reply, Now now)
{
    ConfigWatch &watch = node.configWatch;
    if (reply.call != watch.call) {
        return;
    }
    watch.callOpen = false;
    if (reply.status != CallStatus::Ok) {
        // The store no longer has the history since this revision, or the connection failed: all settings are read
        // again.
        watch.revision = 0;
        watch.nextCall = now.monotonic + readRetry;
        return;
    }
    watch.revision = std::max(watch.revision, reply.revision);
    watch.nextCall = now.monotonic;
    if (reply.configuration) {
        applyConfiguration(node, *reply.configuration, "store", now);
    } else if (!node.hasConfiguration) {
        watch.nextCall = now.monotonic + readRetry;
    }
}

void handlePeerConfigurationVersion(Node &node, std::string_view other, std::uint64_t version, Now now)
{
    ConfigWatch &watch = node.configWatch;
    if (version <= node.configuration.version) {
        return;
    }
    if (watch.newerVersion <= node.configuration.version) {
        watch.newerSince = now.monotonic;
    }
    watch.newerVersion = std::max(watch.newerVersion, version);
    if (now.monotonic - watch.newerSince < copyRequestDelay || now.monotonic < watch.nextRequest) {
        return;
    }
    watch.nextRequest = now.monotonic + requestInterval;
    logLine(LogLevel::Info, logPart, "Requesting a newer configuration from another daemon. node={} version={} own={}",
        other, version, node.configuration.version);
    node.outbox.add(
        SendToNode{.node = std::string(other), .body = ConfigurationRequest{.newerThan = node.configuration.version}});
}

void handleConfigurationRequest(Node &node, std::string_view to, const ConfigurationRequest &request)
{
    if (node.hasConfiguration && node.configuration.version > request.newerThan) {
        node.outbox.add(
            SendToNode{.node = std::string(to), .body = ConfigurationTransfer{.configuration = node.configuration}});
    }
}

void handleConfigurationTransfer(Node &node, std::string_view from, const ConfigurationTransfer &transfer, Now now)
{
    if (!isNewer(node, transfer.configuration)) {
        return;
    }
    const std::string problem = findTenantProblem(tenantsOf(transfer.configuration));
    if (!problem.empty()) {
        logLine(LogLevel::Error, logPart,
            "The configuration of another daemon is not valid. node={} version={} problem=\"{}\"", from,
            transfer.configuration.version, problem);
        return;
    }
    // The indexes are not part of the message. For settings from the store, the adapter builds them.
    Configuration copy = transfer.configuration;
    indexQueues(copy);
    applyConfiguration(node, copy, from, now);
}

} // namespace wigeonkeel::dispatch
