#include "drivers/peer_protocol/frame_connection.h"

#include "core/guarded_call.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr int listenBacklog = 128;

std::optional<sockaddr_in> toSocketAddress(std::string_view address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    if (inet_pton(AF_INET, std::string(address).c_str(), &result.sin_addr) != 1) {
        return std::nullopt;
    }
    return result;
}

/// Heartbeats and offers are small and must not wait for an acknowledgement of the previous segment.
void disableDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

FrameConnection::FrameConnection(EventLoop &loop, int socket, const FrameHandlers &handlers)
    : m_handlers(handlers)
    , m_buffer(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
{
    disableDelay(socket);
    start();
}

FrameConnection::FrameConnection(
    EventLoop &loop, std::string_view address, std::uint16_t port, const FrameHandlers &handlers)
    : m_handlers(handlers)
    // Deferred, so that a connection that is refused at once is not reported from within the constructor.
    , m_buffer(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
    start();
    const auto target = toSocketAddress(address, port);
    if (!target) {
        bufferevent_trigger_event(m_buffer, BEV_EVENT_ERROR, BEV_OPT_DEFER_CALLBACKS);
        return;
    }
    // A failure here is reported by the event callback too.
    bufferevent_socket_connect(m_buffer, reinterpret_cast<const sockaddr *>(&*target), sizeof(*target));
    if (bufferevent_getfd(m_buffer) >= 0) {
        disableDelay(bufferevent_getfd(m_buffer));
    }
}

FrameConnection::~FrameConnection()
{
    *m_alive = false;
    bufferevent_free(m_buffer);
}

void FrameConnection::start()
{
    const auto read = [](bufferevent *, void *self) { static_cast<FrameConnection *>(self)->onReadable(); };
    const auto event
        = [](bufferevent *, short what, void *self) { static_cast<FrameConnection *>(self)->onEvent(what); };
    bufferevent_setcb(m_buffer, read, nullptr, event, this);
    limitFrames(maxFrameSize);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
}

void FrameConnection::limitFrames(std::size_t bytes)
{
    m_maxFrame = bytes;
    // The input buffer holds one whole frame at most.
    bufferevent_setwatermark(m_buffer, EV_READ, 0, bytes + frameHeaderSize);
}

void FrameConnection::send(std::string_view frame)
{
    bufferevent_write(m_buffer, frame.data(), frame.size());
}

std::size_t FrameConnection::queuedBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_buffer));
}

void FrameConnection::onReadable()
{
    const std::shared_ptr<bool> alive = m_alive;
    evbuffer *input = bufferevent_get_input(m_buffer);
    std::array<std::byte, frameHeaderSize> header{};
    while (evbuffer_copyout(input, header.data(), header.size()) == static_cast<ev_ssize_t>(header.size())) {
        const std::size_t size = frameSize(header);
        if (size > m_maxFrame) {
            callGuarded("frames", [&] { m_handlers.refused(m_handlers.state, m_handlers.id, FrameProblem::TooLarge); });
            return;
        }
        const std::size_t whole = frameHeaderSize + size;
        if (evbuffer_get_length(input) < whole) {
            return;
        }
        const auto *bytes = reinterpret_cast<const std::byte *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(whole)));
        const std::span frame(bytes + frameHeaderSize, size);
        callGuarded("frames", [&] { m_handlers.frame(m_handlers.state, m_handlers.id, frame); });
        if (!*alive) {
            return;
        }
        evbuffer_drain(input, whole);
    }
}

void FrameConnection::onEvent(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        callGuarded("frames", [&] { m_handlers.connected(m_handlers.state, m_handlers.id); });
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    const int code = EVUTIL_SOCKET_ERROR();
    const std::string reason
        = (what & BEV_EVENT_EOF) != 0 ? "closed by the peer" : fmt::format("{}", std::strerror(code));
    callGuarded("frames", [&] { m_handlers.closed(m_handlers.state, m_handlers.id, reason); });
}

FrameListener::FrameListener(EventLoop &loop, Accept accept, void *state)
    : m_loop(loop)
    , m_accept(accept)
    , m_state(state)
{
}

FrameListener::~FrameListener()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
}

Error FrameListener::listen(std::string_view address, std::uint16_t port)
{
    const auto target = toSocketAddress(address, port);
    const std::string place = fmt::format("{}:{}", address, port);
    if (!target) {
        return {.code = Errc::InvalidArgument,
            .step = "listen for peers",
            .peer = place,
            .detail = "expected an IPv4 address"};
    }
    const auto accepted = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
        const auto *listener = static_cast<FrameListener *>(self);
        callGuarded("frames", [&] { listener->m_accept(listener->m_state, socket); });
    };
    m_listener = evconnlistener_new_bind(m_loop.base(), accepted, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog,
        reinterpret_cast<const sockaddr *>(&*target), sizeof(*target));
    if (m_listener == nullptr) {
        return {.code = Errc::Unavailable, .step = "listen for peers", .peer = place, .detail = std::strerror(errno)};
    }
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &size);
    m_port = ntohs(bound.sin_port);
    return {};
}

} // namespace wigeonkeel
