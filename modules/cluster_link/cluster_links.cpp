#include "modules/cluster_link/cluster_links.h"

#include "core/log.h"
#include "drivers/cluster_protocol/cluster_codec.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "cluster_link";
/// A connection without messages for this time is closed. Daemons send a presence message every 300 ms; if three of
/// them are missing, the connection is broken.
constexpr milliseconds receiveTimeout{1000};
constexpr milliseconds receiveCheckInterval{200};
/// A connection is closed if more than this waits to be sent, because the other daemon does not read.
constexpr std::size_t maxQueuedBytes = 4 << 20;

/// Accepted connections that have not sent a presence message, which a daemon sends at once. There are at most 40
/// daemons, which may all connect to a new leader at the same time.
constexpr std::size_t maxUnidentified = 64;
/// At most one end of a connection without a name is logged in this time.
constexpr LogRate endLogRate{.interval = milliseconds(1000)};

bool isUnidentified(const ClusterConnection &connection)
{
    return !connection.dialled && connection.node.empty();
}

/// Whoever reaches the port may open and close connections, so that ends of those without a name are mostly counted.
void logEnd(ClusterLinks &links, const ClusterConnection &connection, std::string_view reason)
{
    const auto unlogged = isUnidentified(connection) ? takeLogLine(links.endLog, endLogRate, links.kernel.clock.now())
                                                     : std::exchange(links.endLog.suppressed, 0);
    if (unlogged) {
        logLine(LogLevel::Info, logPart, "Connection closed. node={} reason={} unlogged_before={}", connection.node,
            reason, *unlogged);
    }
}

void close(ClusterLinks &links, std::uint64_t id, std::string_view reason)
{
    const auto found = links.connections.find(id);
    if (found == links.connections.end()) {
        return;
    }
    const ClusterConnection connection = std::move(found->second);
    links.connections.erase(found);
    const bool wasDialled = links.dialledId == id;
    const Endpoint target = links.target;
    if (wasDialled) {
        links.dialledId = 0;
        links.target = {};
    }
    logEnd(links, connection, reason);
    const bool wasLast = std::ranges::none_of(
        links.connections, [&connection](const auto &other) { return other.second.node == connection.node; });
    post(links.kernel, [&](Node &node, Now now) {
        if (!connection.node.empty() && wasLast) {
            handleNodeDisconnected(node, connection.node, now);
        }
        if (wasDialled) {
            handleDialFailure(node, target, reason == std::strerror(ECONNREFUSED), now);
        }
    });
}

void onConnected(void *state, std::uint64_t id)
{
    auto &links = *static_cast<ClusterLinks *>(state);
    const auto found = links.connections.find(id);
    if (found != links.connections.end()) {
        // The first message identifies this daemon.
        found->second.frames->send(encodePeerBody(presenceOf(links.kernel.node)));
    }
}

void onFrame(void *state, std::uint64_t id, std::span<const std::byte> bytes)
{
    auto &links = *static_cast<ClusterLinks *>(state);
    const auto found = links.connections.find(id);
    if (found == links.connections.end()) {
        return;
    }
    ClusterConnection &connection = found->second;
    const auto body = decodePeerBody(bytes);
    if (!body && isUnidentified(connection)) {
        close(links, id, "the first message can't be read");
        return;
    }
    connection.lastReceived = links.kernel.clock.now();
    if (!body) {
        logLine(LogLevel::Warning, logPart, "A message can't be read. node={} bytes={}", connection.node, bytes.size());
        return;
    }
    const auto *presence = std::get_if<Presence>(&*body);
    const bool isNew = connection.node.empty() && presence != nullptr;
    if (isNew) {
        connection.node = presence->node;
        connection.frames->limitFrames(maxFrameSize);
    }
    post(links.kernel, [&](Node &node, Now now) {
        if (isNew) {
            handleNodeConnected(node, presence->node, now);
        }
        handlePeerMessage(node, connection.node, *body, now);
    });
}

void onInvalidFrame(void *state, std::uint64_t id, FrameProblem)
{
    close(*static_cast<ClusterLinks *>(state), id, "received a frame with an invalid length");
}

void onClosed(void *state, std::uint64_t id, std::string_view reason)
{
    close(*static_cast<ClusterLinks *>(state), id, reason);
}

FrameHandlers handlers(ClusterLinks &links, std::uint64_t id)
{
    return {.state = &links,
        .id = id,
        .connected = onConnected,
        .frame = onFrame,
        .refused = onInvalidFrame,
        .closed = onClosed};
}

void dial(ClusterLinks &links, const Endpoint &endpoint)
{
    if (links.dialledId != 0) {
        const std::uint64_t former = std::exchange(links.dialledId, 0);
        close(links, former, "connecting to another daemon instead");
    }
    links.target = endpoint;
    if (endpoint.ip.empty()) {
        return;
    }
    const std::uint64_t id = links.nextId++;
    links.dialledId = id;
    ClusterConnection &connection = links.connections[id];
    connection.dialled = true;
    connection.lastReceived = links.kernel.clock.now();
    connection.frames
        = std::make_unique<FrameConnection>(links.kernel.loop, endpoint.ip, endpoint.port, handlers(links, id));
}

void send(ClusterLinks &links, const SendToNode &message)
{
    // Use the newest connection with the daemon, because an older one may be broken.
    std::uint64_t best = 0;
    for (const auto &[id, connection] : links.connections) {
        best = connection.node == message.node ? id : best;
    }
    if (best == 0) {
        return;
    }
    FrameConnection &frames = *links.connections.at(best).frames;
    if (frames.queuedBytes() > maxQueuedBytes) {
        close(links, best, "the daemon does not read");
        return;
    }
    frames.send(encodePeerBody(message.body));
}

/// Makes room for a new connection. The oldest has had the most time to say who it is.
void closeOldestUnidentified(ClusterLinks &links)
{
    std::size_t count = 0;
    std::uint64_t oldest = 0;
    for (const auto &[id, connection] : links.connections) {
        if (isUnidentified(connection)) {
            oldest = count == 0 ? id : oldest;
            ++count;
        }
    }
    if (count >= maxUnidentified) {
        close(links, oldest, "too many connections did not say who they are");
    }
}

void closeUnresponsive(ClusterLinks &links)
{
    const MonotonicTime now = links.kernel.clock.now();
    std::vector<std::uint64_t> unresponsive;
    for (const auto &[id, connection] : links.connections) {
        if (now - connection.lastReceived > receiveTimeout) {
            unresponsive.push_back(id);
        }
    }
    for (const std::uint64_t id : unresponsive) {
        close(links, id, "no message was received in time");
    }
}

} // namespace

Error startLinks(ClusterLinks &links)
{
    const auto accept = [](void *state, int socket) {
        auto &owner = *static_cast<ClusterLinks *>(state);
        closeOldestUnidentified(owner);
        const std::uint64_t id = owner.nextId++;
        ClusterConnection &connection = owner.connections[id];
        connection.lastReceived = owner.kernel.clock.now();
        connection.frames = std::make_unique<FrameConnection>(owner.kernel.loop, socket, handlers(owner, id));
        connection.frames->limitFrames(maxFirstFrameSize);
    };
    links.listener = std::make_unique<FrameListener>(links.kernel.loop, accept, &links);
    links.receiveTimer = std::make_unique<Timer>(links.kernel.loop, [&links] { closeUnresponsive(links); });
    links.receiveTimer->startRepeating(receiveCheckInterval);
    links.actions = links.kernel.action.connect([&links](const Action &action) { handleAction(links, action); });
    return links.listener->listen(links.kernel.peerListenEndpoint.ip, links.kernel.peerListenEndpoint.port);
}

void handleAction(ClusterLinks &links, const Action &action)
{
    if (const auto *message = std::get_if<SendToNode>(&action)) {
        send(links, *message);
    } else if (const auto *dialled = std::get_if<DialNode>(&action)) {
        dial(links, dialled->endpoint);
    }
}

} // namespace wigeonkeel::dispatch
