#include "modules/peer_link/peer_links.h"

#include "core/log.h"
#include "drivers/peer_protocol/heartbeat_changes.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "peer_link";
constexpr int silentHeartbeats = 2;
/// The timer must notice a silent connection well within a heartbeat.
constexpr int checksPerHeartbeat = 4;
constexpr milliseconds minCheckInterval{5};
constexpr BackoffOptions dialBackoff = {};
/// A connection that carried no message for this many heartbeats is idle. Connections between daemons that send each
/// other heartbeats never are.
constexpr int heartbeatsUntilIdle = 4;

std::string endpointKey(const PeerInfo &peer)
{
    return fmt::format("{}:{}", peer.address, peer.port);
}

void countProblem(Counters &counters, FrameProblem problem)
{
    static constexpr std::array<std::uint64_t Counters::*, frameProblemCount> members
        = {nullptr, &Counters::peerFramesEmpty, &Counters::peerFramesTooLarge, &Counters::peerFramesNotVerified,
            &Counters::peerFramesBadValue};
    const auto member = members[static_cast<std::size_t>(problem)];
    if (member != nullptr) {
        ++(counters.*member);
    }
}

void closeConnection(PeerLinks &links, std::uint64_t id, std::string_view reason)
{
    const auto found = links.connections.find(id);
    if (found == links.connections.end()) {
        return;
    }
    const PeerConnection connection = std::move(found->second);
    links.connections.erase(found);
    for (auto &[key, endpoint] : links.endpoints) {
        if (endpoint.connection == id) {
            endpoint.connection = 0;
            const auto delay = backoffDelay(dialBackoff, endpoint.failures++, links.random);
            endpoint.nextDial = links.kernel.clock.now() + delay;
        }
    }
    const auto inUse = links.byName.find(connection.peer.name);
    if (inUse == links.byName.end() || inUse->second != id) {
        return;
    }
    links.byName.erase(inUse);
    logLine(LogLevel::Info, logPart, "The connection with daemon {} ended: {}.", connection.peer.name, reason);
    post(links.kernel, PeerLinkChanged{.peer = connection.peer.name, .up = false, .detail = std::string(reason)});
}

void write(PeerLinks &links, std::uint64_t id, std::string_view frame)
{
    const auto found = links.connections.find(id);
    if (found == links.connections.end()) {
        return;
    }
    PeerConnection &connection = found->second;
    if (connection.frames->queuedBytes() + frame.size() > links.options.maxQueuedBytes) {
        ++links.kernel.scheduler.counters.peerOverflowClosed;
        closeConnection(links, id, "the peer does not read");
        return;
    }
    connection.lastSent = links.kernel.clock.now();
    links.kernel.scheduler.counters.peerBytesSent += frame.size();
    ++links.kernel.scheduler.counters.peerFramesSent;
    connection.frames->send(frame);
}

void sendHello(PeerLinks &links, std::uint64_t id)
{
    const auto frame = encodeFrame(HelloMessage{.from = links.options.self, .protocolVersion = peerProtocolVersion});
    if (frame) {
        write(links, id, *frame);
    }
}

void refuse(PeerLinks &links, std::uint64_t id, FrameProblem problem)
{
    countProblem(links.kernel.scheduler.counters, problem);
    const auto found = links.connections.find(id);
    const std::string peer = found == links.connections.end() ? std::string() : found->second.peer.name;
    logLine(LogLevel::Warning, logPart, "A frame of daemon '{}' was refused: {}.", peer, toString(problem));
    closeConnection(links, id, "a frame was refused");
}

/// A connection to this daemon itself, or to another daemon of the same name.
void onOwnName(PeerLinks &links, std::uint64_t id, const PeerInfo &peer)
{
    const std::string key = links.connections.at(id).endpoint;
    const auto endpoint = links.endpoints.find(key);
    if (peer.incarnation != links.options.self.incarnation) {
        logLine(LogLevel::Error, logPart, "Another daemon at {}:{} has the name {} of this one.", peer.address,
            peer.port, peer.name);
    } else if (endpoint != links.endpoints.end()) {
        endpoint->second.isSelf = true;
    }
    closeConnection(links, id, "the daemon has the name of this one");
}

std::string_view diallerOf(const PeerLinks &links, const PeerConnection &connection)
{
    return connection.dialled ? links.options.self.name : connection.peer.name;
}

/// True if the new connection takes the place of the one in use.
bool replaces(const PeerLinks &links, const PeerConnection &added, const PeerConnection &inUse)
{
    // Whoever dials again has given up the former connection, and a restarted daemon has none.
    if (added.dialled == inUse.dialled || added.peer.incarnation != inUse.peer.incarnation) {
        return true;
    }
    return staysInUse(diallerOf(links, added), diallerOf(links, inUse));
}

void putInUse(PeerLinks &links, std::uint64_t id)
{
    const PeerConnection &connection = links.connections.at(id);
    const PeerInfo peer = connection.peer;
    links.byName.insert_or_assign(peer.name, id);
    for (const std::string &key : {endpointKey(peer), connection.endpoint}) {
        const auto endpoint = links.endpoints.find(key);
        if (endpoint != links.endpoints.end()) {
            endpoint->second.connection = id;
            endpoint->second.failures = 0;
        }
    }
    ++links.kernel.scheduler.counters.peerConnections;
    logLine(LogLevel::Info, logPart, "Connected with daemon {} at {}:{}.", peer.name, peer.address, peer.port);
    post(links.kernel, PeerReceived{.from = peer.name, .message = HelloMessage{.from = peer}});
    const auto inUse = links.byName.find(peer.name);
    if (inUse != links.byName.end() && inUse->second == id) {
        post(links.kernel, PeerLinkChanged{.peer = peer.name, .up = true, .detail = {}});
    }
}

void onHello(PeerLinks &links, std::uint64_t id, const HelloMessage &hello)
{
    if (hello.protocolVersion != peerProtocolVersion || hello.from.name.empty()) {
        logLine(LogLevel::Warning, logPart, "Daemon '{}' speaks version {} of the peer protocol, expected {}.",
            hello.from.name, hello.protocolVersion, peerProtocolVersion);
        refuse(links, id, FrameProblem::BadValue);
        return;
    }
    if (hello.from.name == links.options.self.name) {
        onOwnName(links, id, hello.from);
        return;
    }
    PeerConnection &connection = links.connections.at(id);
    connection.peer = hello.from;
    connection.frames->limitFrames(maxFrameSize);
    const auto inUse = links.byName.find(hello.from.name);
    if (inUse != links.byName.end()) {
        const std::uint64_t former = inUse->second;
        if (!replaces(links, connection, links.connections.at(former))) {
            // Keeps the endpoint from dialling again at once: it is connected by the other one.
            const auto endpoint = links.endpoints.find(connection.endpoint);
            closeConnection(links, id, "the other connection of the pair stays");
            if (endpoint != links.endpoints.end()) {
                endpoint->second.connection = former;
            }
            return;
        }
        links.byName.erase(inUse);
        closeConnection(links, former, "replaced");
    }
    putInUse(links, id);
}

/// Hands a message to the scheduler if it came on the connection in use.
void deliver(PeerLinks &links, std::uint64_t id, PeerMessage message)
{
    const std::string from = links.connections.at(id).peer.name;
    const auto inUse = links.byName.find(from);
    if (inUse != links.byName.end() && inUse->second == id) {
        post(links.kernel, PeerReceived{.from = from, .message = std::move(message)});
    }
}

void onRepeat(PeerLinks &links, std::uint64_t id)
{
    PeerConnection &connection = links.connections.at(id);
    if (!connection.receivedHeartbeat) {
        refuse(links, id, FrameProblem::BadValue);
        return;
    }
    connection.peerIdle = false;
    connection.lastActive = connection.lastReceived;
    connection.receivedHeartbeat = repeatedHeartbeat(*connection.receivedHeartbeat);
    deliver(links, id, *connection.receivedHeartbeat);
}

void onFrame(void *state, std::uint64_t id, std::span<const std::byte> bytes)
{
    PeerLinks &links = *static_cast<PeerLinks *>(state);
    PeerConnection &connection = links.connections.at(id);
    connection.lastReceived = links.kernel.clock.now();
    const auto kind = parseShortFrame(bytes);
    if (kind == ShortFrame::Repeat) {
        onRepeat(links, id);
        return;
    }
    connection.peerIdle = kind == ShortFrame::Idle;
    if (kind) {
        return;
    }
    connection.lastActive = connection.lastReceived;
    FrameProblem problem = FrameProblem::None;
    auto message = decodeMessage(bytes, problem);
    if (!message) {
        refuse(links, id, problem);
        return;
    }
    const auto *hello = std::get_if<HelloMessage>(&*message);
    const bool known = !connection.peer.name.empty();
    if (known == (hello != nullptr)) {
        // The first message must be a Hello, and no other may be.
        refuse(links, id, FrameProblem::BadValue);
        return;
    }
    if (hello != nullptr) {
        onHello(links, id, *hello);
        return;
    }
    if (const auto *change = std::get_if<HeartbeatChangeMessage>(&*message)) {
        if (!connection.receivedHeartbeat) {
            refuse(links, id, FrameProblem::BadValue);
            return;
        }
        *message = changedHeartbeat(*connection.receivedHeartbeat, *change);
    }
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&*message)) {
        connection.receivedHeartbeat = *heartbeat;
    }
    deliver(links, id, std::move(*message));
}

FrameHandlers makeHandlers(PeerLinks &links, std::uint64_t id)
{
    return {.state = &links,
        .id = id,
        .connected
        = [](void *state, std::uint64_t connection) { sendHello(*static_cast<PeerLinks *>(state), connection); },
        .frame = onFrame,
        .refused = [](void *state, std::uint64_t connection,
                       FrameProblem problem) { refuse(*static_cast<PeerLinks *>(state), connection, problem); },
        .closed
        = [](void *state, std::uint64_t connection,
              std::string_view reason) { closeConnection(*static_cast<PeerLinks *>(state), connection, reason); }};
}

void accept(void *state, int socket)
{
    PeerLinks &links = *static_cast<PeerLinks *>(state);
    const std::uint64_t id = links.nextId++;
    PeerConnection connection{
        .frames = std::make_unique<FrameConnection>(links.kernel.loop, socket, makeHandlers(links, id)),
        .peer = {},
        .endpoint = {},
        .lastReceived = links.kernel.clock.now()};
    if (links.connections.size() >= links.byName.size() + links.options.maxUnknown) {
        return;
    }
    connection.frames->limitFrames(maxFirstFrameSize);
    links.connections.emplace(id, std::move(connection));
    sendHello(links, id);
}

void dial(PeerLinks &links, const std::string &key, PeerEndpoint &endpoint)
{
    const std::uint64_t id = links.nextId++;
    endpoint.connection = id;
    links.connections.emplace(id,
        PeerConnection{.frames = std::make_unique<FrameConnection>(
                           links.kernel.loop, endpoint.peer.address, endpoint.peer.port, makeHandlers(links, id)),
            .peer = {},
            .dialled = true,
            .endpoint = key,
            .lastReceived = links.kernel.clock.now()});
}

bool isSilent(const PeerConnection &connection, milliseconds heartbeat, MonotonicTime now)
{
    const bool awaited = connection.awaitedSince > connection.lastReceived;
    if (connection.peerIdle && !awaited) {
        return now - connection.lastReceived > heartbeat * idleHeartbeats * silentHeartbeats;
    }
    return now - std::max(connection.lastReceived, connection.awaitedSince) > heartbeat * silentHeartbeats;
}

void check(PeerLinks &links)
{
    const MonotonicTime now = links.kernel.clock.now();
    const milliseconds heartbeat = links.options.heartbeat;
    std::vector<std::uint64_t> silent;
    std::vector<std::pair<std::uint64_t, ShortFrame>> quiet;
    for (const auto &[id, connection] : links.connections) {
        if (isSilent(connection, heartbeat, now)) {
            silent.push_back(id);
            continue;
        }
        const bool idle = now - connection.lastActive >= heartbeat * heartbeatsUntilIdle;
        const bool saidSo = connection.lastSent >= connection.lastActive + heartbeat * heartbeatsUntilIdle;
        const milliseconds interval = idle && saidSo ? heartbeat * idleHeartbeats : heartbeat;
        if (!connection.peer.name.empty() && now - connection.lastSent >= interval) {
            quiet.emplace_back(id, idle ? ShortFrame::Idle : ShortFrame::KeepAlive);
        }
    }
    for (const std::uint64_t id : silent) {
        ++links.kernel.scheduler.counters.peerSilentClosed;
        closeConnection(links, id, "no frame in time");
    }
    for (const auto &[id, kind] : quiet) {
        ++links.kernel.scheduler.counters.peerKeepAlives;
        write(links, id, shortFrame(kind));
    }
    for (auto &[key, endpoint] : links.endpoints) {
        if (!endpoint.isSelf && endpoint.connection == 0 && now >= endpoint.nextDial) {
            dial(links, key, endpoint);
        }
    }
}

} // namespace

Error startLinks(PeerLinks &links, std::string_view address, std::uint16_t port)
{
    links.listener = std::make_unique<FrameListener>(links.kernel.loop, accept, &links);
    Error error = links.listener->listen(address, port);
    if (error) {
        return error;
    }
    links.options.self.port = links.listener->port();
    links.timer = std::make_unique<Timer>(links.kernel.loop, [&links] { check(links); });
    links.timer->startRepeating(std::max(minCheckInterval, links.options.heartbeat / checksPerHeartbeat));
    return {};
}

namespace
{

/// The shortest frame that gives the receiver the message.
std::optional<std::string> encodeFor(PeerConnection &connection, const PeerMessage &message)
{
    const auto *heartbeat = std::get_if<HeartbeatMessage>(&message);
    if (heartbeat == nullptr) {
        return encodeFrame(message);
    }
    const auto former = std::exchange(connection.sentHeartbeat, *heartbeat);
    const HeartbeatForm form = former ? heartbeatForm(*former, *heartbeat) : HeartbeatForm::Whole;
    switch (form) {
    case HeartbeatForm::Whole:
        break;
    case HeartbeatForm::Change:
        return encodeFrame(heartbeatChange(*former, *heartbeat));
    case HeartbeatForm::Repeat:
        return std::string(shortFrame(ShortFrame::Repeat));
    }
    return encodeFrame(message);
}

} // namespace

void sendToPeer(PeerLinks &links, const SendToPeer &action)
{
    const auto found = links.byName.find(action.peer);
    if (found == links.byName.end()) {
        ++links.kernel.scheduler.counters.peerMessagesDropped;
        return;
    }
    PeerConnection &connection = links.connections.at(found->second);
    connection.lastActive = links.kernel.clock.now();
    if (connection.peerIdle && connection.awaitedSince <= connection.lastReceived) {
        connection.awaitedSince = connection.lastActive;
    }
    const auto frame = encodeFor(connection, action.message);
    if (!frame) {
        ++links.kernel.scheduler.counters.peerMessagesDropped;
        logLine(LogLevel::Error, logPart, "A message to daemon {} is larger than {} bytes.", action.peer, maxFrameSize);
        return;
    }
    write(links, found->second, *frame);
}

void keepPeer(PeerLinks &links, const KeepPeer &action)
{
    const std::string key = endpointKey(action.peer);
    if (action.keep) {
        PeerEndpoint &endpoint = links.endpoints[key];
        endpoint.peer = action.peer;
        const auto inUse = links.byName.find(action.peer.name);
        if (endpoint.connection == 0 && inUse != links.byName.end()) {
            endpoint.connection = inUse->second;
        }
        if (endpoint.connection == 0 && endpoint.nextDial == MonotonicTime{}) {
            dial(links, key, endpoint);
        }
        return;
    }
    const auto found = links.endpoints.find(key);
    if (found == links.endpoints.end()) {
        return;
    }
    const std::uint64_t id = found->second.connection;
    links.endpoints.erase(found);
    const auto connection = links.connections.find(id);
    // A peer that was dialled at one address and names another as its own keeps its connection.
    const bool moved = connection != links.connections.end() && !connection->second.peer.name.empty()
        && endpointKey(connection->second.peer) != key;
    if (!moved) {
        closeConnection(links, id, "the peer is no longer a member");
    }
}

bool staysInUse(std::string_view dialler, std::string_view other)
{
    return dialler < other;
}

} // namespace wigeonkeel
