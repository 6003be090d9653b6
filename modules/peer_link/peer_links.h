#pragma once

#include "core/kernel.h"
#include "core/routing/backoff.h"
#include "drivers/peer_protocol/frame_connection.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// One TCP connection with a peer.
struct PeerConnection
{
    std::unique_ptr<FrameConnection> frames;
    /// Who the peer says it is; without a name before its Hello.
    PeerInfo peer;
    bool dialled = false;
    /// "address:port" that was dialled; empty for accepted connections.
    std::string endpoint;
    MonotonicTime lastReceived{};
    MonotonicTime lastSent{};
    /// When a message last passed in either direction. Without one for a while, this side sends little.
    MonotonicTime lastActive{};
    /// The peer said that it will send little.
    bool peerIdle = false;
    /// When the idle peer was sent a message; it sends frames again as soon as it has it.
    MonotonicTime awaitedSince{};
    /// What the next heartbeat in each direction is compared with.
    std::optional<HeartbeatMessage> sentHeartbeat;
    std::optional<HeartbeatMessage> receivedHeartbeat;
};

/// An address that a connection is to be kept with.
struct PeerEndpoint
{
    PeerInfo peer;
    /// Connection that is open or being opened; 0 for none.
    std::uint64_t connection = 0;
    std::uint32_t failures = 0;
    MonotonicTime nextDial{};
    /// This daemon's own address, as its settings may list it among the peers.
    bool isSelf = false;
};

struct PeerLinkOptions
{
    PeerInfo self;
    /// A connection without a frame for two of these is closed; for two times `idleHeartbeats` if the peer is idle.
    milliseconds heartbeat{500};
    /// A peer that leaves more than this unread is disconnected. Two frames of the largest size.
    std::size_t maxQueuedBytes = 2 * (maxFrameSize + frameHeaderSize);
    /// Connections without a Hello yet. They end after two heartbeats.
    std::size_t maxUnknown = 256;
};

/// State of the module: one connection for each peer.
struct PeerLinks
{
    Kernel &kernel;
    PeerLinkOptions options;
    RandomState random;
    std::map<std::string, PeerEndpoint> endpoints;
    std::map<std::uint64_t, PeerConnection> connections;
    /// The connection in use for each peer, after Hello in both directions.
    std::map<std::string, std::uint64_t, std::less<>> byName;
    std::uint64_t nextId = 1;
    std::unique_ptr<FrameListener> listener;
    std::unique_ptr<Timer> timer;
    sigc::connection sendConnection;
    sigc::connection keepConnection;
};

/// Opens the listener and starts the timer that dials and closes silent connections.
Error startLinks(PeerLinks &links, std::string_view address, std::uint16_t port);

void sendToPeer(PeerLinks &links, const SendToPeer &action);
void keepPeer(PeerLinks &links, const KeepPeer &action);

/// True if of two connections of a pair the one dialled by `dialler` stays: the lexicographically smaller name wins, so
/// that both sides choose the same one.
bool staysInUse(std::string_view dialler, std::string_view other);

} // namespace wigeonkeel
