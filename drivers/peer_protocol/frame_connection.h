#pragma once

#include "core/error.h"
#include "core/event_loop.h"
#include "drivers/peer_protocol/peer_codec.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace wigeonkeel
{

/// Largest frame of a connection that was accepted and has not said who it is, in bytes. The first message has a name,
/// an address and a few numbers. Without this limit each of many such connections can make this side keep a frame of
/// the largest size.
inline constexpr std::size_t maxFirstFrameSize = std::size_t{16} << 10;

/// What a connection tells its owner. The owner may destroy the connection in any of these functions.
struct FrameHandlers
{
    void *state = nullptr;
    /// Given back with each call; names the connection at its owner.
    std::uint64_t id = 0;
    /// The dialled connection is open.
    void (*connected)(void *state, std::uint64_t id) = nullptr;
    /// A whole message without its header; empty for a keep-alive.
    void (*frame)(void *state, std::uint64_t id, std::span<const std::byte> bytes) = nullptr;
    /// The length of a frame was out of range; nothing after it can be read.
    void (*refused)(void *state, std::uint64_t id, FrameProblem problem) = nullptr;
    /// The connection failed or the peer closed it.
    void (*closed)(void *state, std::uint64_t id, std::string_view reason) = nullptr;
};

/// One TCP connection that carries frames. Closed when destroyed.
class FrameConnection
{
public:
    /// Takes over an accepted socket.
    FrameConnection(EventLoop &loop, int socket, const FrameHandlers &handlers);
    /// Dials. A failure is told by `closed`, never from within the constructor.
    FrameConnection(EventLoop &loop, std::string_view address, std::uint16_t port, const FrameHandlers &handlers);
    ~FrameConnection();
    FrameConnection(const FrameConnection &) = delete;
    FrameConnection &operator=(const FrameConnection &) = delete;

    void send(std::string_view frame);
    /// Largest frame that is received, in bytes without its header; `maxFrameSize` at first. Larger ones are refused.
    void limitFrames(std::size_t bytes);
    /// Bytes that the peer has not taken yet, without what the system has buffered.
    std::size_t queuedBytes() const;

private:
    void start();
    void onReadable();
    void onEvent(short what);

    FrameHandlers m_handlers;
    bufferevent *m_buffer = nullptr;
    std::size_t m_maxFrame = maxFrameSize;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Accepts connections at one address.
class FrameListener
{
public:
    using Accept = void (*)(void *state, int socket);

    FrameListener(EventLoop &loop, Accept accept, void *state);
    ~FrameListener();
    FrameListener(const FrameListener &) = delete;
    FrameListener &operator=(const FrameListener &) = delete;

    /// Port 0 takes a free one; see port().
    Error listen(std::string_view address, std::uint16_t port);
    std::uint16_t port() const { return m_port; }

private:
    EventLoop &m_loop;
    Accept m_accept;
    void *m_state;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
};

} // namespace wigeonkeel
