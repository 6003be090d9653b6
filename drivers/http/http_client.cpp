#include "drivers/http/http_client.h"

#include "core/guarded_call.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/socket.h>

namespace wigeonkeel
{

/// A request that waits or is under way.
struct HttpConnection::Pending
{
    Callback callback;
    std::string method;
    std::string path;
    std::string body;
    HttpHeaders headers;
    std::string step;
    MonotonicTime deadline;
    evhttp_request *request = nullptr;
    std::string detail;
    /// Set if evhttp failed the request before it returned from sending it.
    bool failedAtOnce = false;
};

namespace
{

// Bounds the memory that a faulty server can make this process use; the largest answer is a listing of the store.
constexpr ev_ssize_t maxAnswerBytes = 64 << 20;
constexpr ev_ssize_t maxAnswerHeaderBytes = 64 << 10;
// A queued request with less time left is not sent: its outcome would be unknown for no gain.
constexpr milliseconds minTimeLeft{2};

evhttp_cmd_type commandOf(std::string_view method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

std::string_view errorText(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "timed out";
    case EVREQ_HTTP_EOF:
        return "the connection was closed";
    case EVREQ_HTTP_INVALID_HEADER:
        return "the answer has an invalid header";
    case EVREQ_HTTP_BUFFER_ERROR:
        return "the connection failed";
    case EVREQ_HTTP_REQUEST_CANCEL:
        return "cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "the answer is too long";
    }
    return "failed";
}

HttpResponse readResponse(evhttp_request *answer)
{
    HttpResponse response{
        .error = {}, .status = evhttp_request_get_response_code(answer), .body = {}, .retryAfter = {}};
    evbuffer *input = evhttp_request_get_input_buffer(answer);
    response.body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, response.body.data(), response.body.size());
    const char *retryAfter = evhttp_find_header(evhttp_request_get_input_headers(answer), "Retry-After");
    response.retryAfter = retryAfter == nullptr ? "" : retryAfter;
    return response;
}

void countAdded(evbuffer *, const evbuffer_cb_info *change, void *total)
{
    *static_cast<std::uint64_t *>(total) += change->n_added;
}

void countInto(evbuffer *buffer, std::uint64_t *total)
{
    if (total != nullptr) {
        evbuffer_add_cb(buffer, countAdded, total);
    }
}

} // namespace

HttpConnection::HttpConnection(EventLoop &loop, std::string_view address, std::uint16_t port)
    : m_loop(loop)
    , m_address(address)
    , m_port(port)
    , m_peer(fmt::format("{}:{}", address, port))
    , m_timer(std::make_unique<Timer>(loop, [this] { onDeadline(); }))
{
}

HttpConnection::~HttpConnection()
{
    // Freeing the connection drops its request without a callback.
    close();
}

void HttpConnection::open()
{
    if (m_connection != nullptr) {
        return;
    }
    m_connection = evhttp_connection_base_new(m_loop.base(), nullptr, m_address.c_str(), m_port);
    // A repeated request could take effect twice; callers decide about retries.
    evhttp_connection_set_retries(m_connection, 0);
    evhttp_connection_set_max_body_size(m_connection, maxAnswerBytes);
    evhttp_connection_set_max_headers_size(m_connection, maxAnswerHeaderBytes);
    bufferevent *stream = evhttp_connection_get_bufferevent(m_connection);
    countInto(bufferevent_get_output(stream), m_counts.sent);
    countInto(bufferevent_get_input(stream), m_counts.received);
}

void HttpConnection::close()
{
    if (m_connection != nullptr) {
        evhttp_connection_free(m_connection);
        m_connection = nullptr;
    }
}

bool HttpConnection::connected() const
{
    const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    return fd >= 0 && getpeername(fd, reinterpret_cast<sockaddr *>(&address), &length) == 0;
}

HttpResponse HttpConnection::failure(const Pending &pending, Errc code, std::string detail) const
{
    return {.error = {.code = code, .step = pending.step, .peer = m_peer, .detail = std::move(detail)},
        .status = 0,
        .body = {},
        .retryAfter = {}};
}

void HttpConnection::request(std::string_view method, std::string_view path, std::string_view body,
    milliseconds timeout, Callback callback, HttpHeaders headers)
{
    m_queue.push_back(std::make_unique<Pending>(Pending{.callback = std::move(callback),
        .method = std::string(method),
        .path = std::string(path),
        .body = std::string(body),
        .headers = std::move(headers),
        .step = fmt::format("{} {}", method, path.substr(0, path.find('?'))),
        .deadline = m_loop.now() + timeout,
        .detail = {}}));
    sendNext();
    schedule();
}

void HttpConnection::sendNext()
{
    if (m_active || m_queue.empty() || m_queue.front()->deadline < m_loop.now() + minTimeLeft) {
        return;
    }
    open();
    m_active = std::move(m_queue.front());
    m_queue.pop_front();
    evhttp_request *request = evhttp_request_new(
        [](evhttp_request *answer, void *self) { static_cast<HttpConnection *>(self)->onAnswer(answer); }, this);
    evhttp_request_set_error_cb(request, [](evhttp_request_error error, void *self) {
        auto *connection = static_cast<HttpConnection *>(self);
        if (connection->m_active) {
            connection->m_active->detail = errorText(error);
        }
    });
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : m_headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    for (const auto &[name, value] : m_active->headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evhttp_add_header(headers, "Host", m_peer.c_str());
    // It describes a body; most calls of an idle daemon have none, and the header is a quarter of them.
    if (!m_active->body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/json");
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), m_active->body.data(), m_active->body.size());
    const int sent = evhttp_make_request(m_connection, request, commandOf(m_active->method), m_active->path.c_str());
    // evhttp calls the callback before it returns if the connection is refused at once.
    if (sent != 0 || m_active->failedAtOnce) {
        m_active->failedAtOnce = true;
        return;
    }
    m_active->request = request;
}

void HttpConnection::onAnswer(evhttp_request *answer)
{
    if (m_active->request == nullptr) {
        m_active->failedAtOnce = true;
        return;
    }
    std::unique_ptr<Pending> pending = std::move(m_active);
    std::string detail = pending->detail.empty() ? "no connection" : std::move(pending->detail);
    if (answer != nullptr && evhttp_request_get_response_code(answer) != 0) {
        complete(std::move(pending), readResponse(answer));
        return;
    }
    // evhttp hands back the request with no status only if the connection could not be made.
    const Errc code = answer == nullptr ? Errc::OutcomeUnknown : Errc::Unreachable;
    HttpResponse response = failure(*pending, code, std::move(detail));
    complete(std::move(pending), std::move(response));
}

void HttpConnection::complete(std::unique_ptr<Pending> pending, HttpResponse response)
{
    const std::weak_ptr<bool> alive = m_alive;
    callGuarded("http_client", [&] { pending->callback(std::move(response)); });
    if (alive.expired()) {
        return;
    }
    sendNext();
    schedule();
}

void HttpConnection::onDeadline()
{
    const MonotonicTime now = m_loop.now();
    if (m_active && m_active->failedAtOnce) {
        std::unique_ptr<Pending> pending = std::move(m_active);
        HttpResponse response = failure(*pending, Errc::Unreachable, "no connection");
        complete(std::move(pending), std::move(response));
        return;
    }
    if (m_active && m_active->deadline <= now) {
        const Errc code = connected() ? Errc::OutcomeUnknown : Errc::Unreachable;
        std::unique_ptr<Pending> pending = std::move(m_active);
        // A late answer must not be taken for the answer to the next request.
        close();
        HttpResponse response = failure(*pending, code, "timed out");
        complete(std::move(pending), std::move(response));
        return;
    }
    finishQueued(now);
}

void HttpConnection::finishQueued(MonotonicTime now)
{
    const auto expired = std::ranges::find_if(m_queue, [now](const auto &pending) { return pending->deadline <= now; });
    if (expired == m_queue.end()) {
        schedule();
        return;
    }
    std::unique_ptr<Pending> pending = std::move(*expired);
    m_queue.erase(expired);
    HttpResponse response = failure(*pending, Errc::Unreachable, "timed out while it waited to be sent");
    complete(std::move(pending), std::move(response));
}

void HttpConnection::schedule()
{
    if (m_active && m_active->failedAtOnce) {
        m_timer->startOnce(milliseconds(0));
        return;
    }
    MonotonicTime next = m_active ? m_active->deadline : MonotonicTime::max();
    for (const auto &pending : m_queue) {
        next = std::min(next, pending->deadline);
    }
    if (next == MonotonicTime::max()) {
        m_timer->cancel();
        return;
    }
    const auto delay = std::chrono::ceil<milliseconds>(next - m_loop.now());
    m_timer->startOnce(std::max(milliseconds(0), delay));
}

} // namespace wigeonkeel
