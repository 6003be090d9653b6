#include "drivers/http/http_server.h"

#include "core/guarded_call.h"
#include "core/log.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace wigeonkeel
{

namespace
{

constexpr int statusServiceUnavailable = 503;
constexpr int statusNotFound = 404;
constexpr std::string_view logPart = "http_server";
/// At most one line about limits that were reached is logged in this time.
constexpr milliseconds limitLogInterval{1000};
/// Connections that wait in the kernel to be accepted.
constexpr int acceptQueue = 1024;
/// Beside the largest body and header: the line before a chunk, and the first bytes of a request that is sent ahead.
constexpr std::size_t readAheadMargin = 16 << 10;
/// Held for a waiting request beside its body: evhttp's structures, the path and the usual headers.
constexpr std::size_t requestOverhead = 2048;
/// evhttp's own timeout closes a connection although a request has arrived, if the process was paused for so long.
/// ConnectionLimit applies the time limits, so that it never takes effect.
constexpr int evhttpTimeoutSeconds = 24 * 3600;

std::string_view methodName(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

std::map<std::string, std::string, std::less<>> parseQuery(const char *query)
{
    std::map<std::string, std::string, std::less<>> result;
    if (query == nullptr) {
        return result;
    }
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query, &pairs) == 0) {
        for (const evkeyval *pair = pairs.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
            result[pair->key] = pair->value;
        }
    }
    evhttp_clear_headers(&pairs);
    return result;
}

/// A check has no body; bytes.
constexpr std::size_t checkMaxBody = 4096;
constexpr std::size_t checkMaxConnections = 64;
/// Bytes; some tens of pages of metrics, and the largest request on each of the connections.
constexpr std::size_t checkMaxHeld = std::size_t{2} << 20;
constexpr milliseconds checkMinAge{100};

} // namespace

HttpServerOptions checkServerOptions(
    std::string_view address, std::uint16_t port, std::function<void(HttpLimit)> limitReached)
{
    return {.address = std::string(address),
        .port = port,
        .maxBodyBytes = checkMaxBody,
        .maxConnections = checkMaxConnections,
        .minAgeToMakeRoom = checkMinAge,
        .freedPlacesShare = 1,
        .maxWaiting = checkMaxConnections,
        .maxHeldBytes = checkMaxHeld,
        .limitReached = std::move(limitReached)};
}

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_http(evhttp_new(loop.base()))
    , m_limit(loop, m_http,
          {.maxConnections = m_options.maxConnections,
              .idleTimeout = m_options.readTimeout,
              .requestTimeout = std::min(m_options.requestTimeout, m_options.readTimeout),
              .responseTimeout = m_options.responseTimeout,
              .maxHeldBytes = m_options.maxHeldBytes,
              .minAgeToMakeRoom = m_options.minAgeToMakeRoom,
              .freedPlacesShare = m_options.freedPlacesShare,
              .maxReadAhead = m_options.maxBodyBytes + m_options.maxHeaderBytes + readAheadMargin,
              .reached = [this](HttpLimit limit) { onLimit(limit); }})
    , m_dropTimer(loop, [this] { closeDropped(); })
{
    evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(m_options.maxBodyBytes));
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(m_options.maxHeaderBytes));
    evhttp_set_timeout(m_http, evhttpTimeoutSeconds);
    evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(m_http, handleRequest, this);
}

HttpServer::~HttpServer()
{
    while (!m_waiting.empty()) {
        take(m_waiting.begin()->first);
    }
    evhttp_free(m_http);
}

Error HttpServer::listen()
{
    m_socket = evhttp_bind_socket_with_handle(m_http, m_options.address.c_str(), m_options.port);
    m_limit.setSocket(m_socket);
    if (m_socket != nullptr) {
        // Accepted sockets inherit it.
        setsockopt(evhttp_bound_socket_get_fd(m_socket), SOL_SOCKET, SO_RCVBUF, &m_options.receiveBufferBytes,
            sizeof(m_options.receiveBufferBytes));
        // evhttp asks for a queue of 128. A client whose connection does not fit into it tries again after seconds.
        ::listen(evhttp_bound_socket_get_fd(m_socket), acceptQueue);
        return {};
    }
    return {.code = Errc::Unavailable,
        .step = "listen for HTTP",
        .peer = fmt::format("{}:{}", m_options.address, m_options.port),
        .detail = std::error_code(errno, std::generic_category()).message()};
}

void HttpServer::stopListening()
{
    if (m_socket != nullptr) {
        m_limit.setSocket(nullptr);
        evhttp_del_accept_socket(m_http, m_socket);
        m_socket = nullptr;
    }
}

std::uint16_t HttpServer::port() const
{
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    if (m_socket == nullptr
        || getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr *>(&bound), &length) != 0) {
        return 0;
    }
    return ntohs(bound.sin_port);
}

void HttpServer::drop(HttpToken token)
{
    m_dropped.push_back(token);
    // evhttp still uses the connection in the callback that this may be called from.
    m_dropTimer.startOnce(milliseconds(0));
}

void HttpServer::onLimit(HttpLimit limit)
{
    if (m_options.limitReached) {
        m_options.limitReached(limit);
    }
    ++m_unloggedLimits.at(static_cast<std::size_t>(limit));
    // Clients close and open idle connections all the time; their ends are only counted.
    const MonotonicTime now = m_loop.now();
    if (limit == HttpLimit::Idle || now < m_nextLimitLog) {
        return;
    }
    m_nextLimitLog = now + limitLogInterval;
    std::string counts;
    for (std::size_t i = 0; i < httpLimitCount; ++i) {
        counts
            += fmt::format(" {}={}", httpLimitName(static_cast<HttpLimit>(i)), std::exchange(m_unloggedLimits[i], 0));
    }
    logLine(LogLevel::Warning, logPart,
        "Clients reached limits; connections were closed or requests refused. address={}:{} connections={} "
        "held_bytes={}{}",
        m_options.address, port(), m_limit.open(), m_limit.heldBytes(), counts);
}

void HttpServer::closeDropped()
{
    for (const HttpToken token : std::exchange(m_dropped, {})) {
        const auto found = m_waiting.find(token);
        if (found != m_waiting.end()) {
            evhttp_connection *connection = evhttp_request_get_connection(found->second.request);
            take(token);
            evhttp_connection_free(connection);
        }
    }
}

evhttp_request *HttpServer::take(HttpToken token)
{
    const auto found = m_waiting.find(token);
    if (found == m_waiting.end()) {
        return nullptr;
    }
    const Waiting waiting = found->second;
    m_waiting.erase(found);
    if (waiting.closed != nullptr) {
        event_free(waiting.closed);
    }
    evhttp_connection *connection = evhttp_request_get_connection(waiting.request);
    if (connection != nullptr) {
        m_byConnection.erase(connection);
        m_limit.markIdle(connection);
        m_limit.watchEnd(connection);
    }
    return waiting.request;
}

void HttpServer::watchClose(evhttp_connection *connection)
{
    const auto found = m_byConnection.find(connection);
    if (found == m_byConnection.end()) {
        return;
    }
    const auto closed = [](evutil_socket_t, short, void *argument) {
        const auto *waiting = static_cast<const Waiting *>(argument);
        waiting->server->closeConnection(waiting->token);
    };
    // Entries of a map stay where they are.
    Waiting &waiting = m_waiting[found->second];
    // evhttp does not read while a request is being handled, so it would notice only when it writes the answer.
    const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    waiting.closed = event_new(m_loop.base(), fd, EV_CLOSED, closed, &waiting);
    event_add(waiting.closed, nullptr);
}

void HttpServer::closeConnection(HttpToken token)
{
    evhttp_connection *connection = evhttp_request_get_connection(m_waiting.at(token).request);
    take(token);
    evhttp_connection_free(connection);
    reportClientGone(token);
}

void HttpServer::reportClientGone(HttpToken token)
{
    if (m_clientGone) {
        callGuarded("http_server", [&] { m_clientGone(token); });
    }
}

void HttpServer::route(std::string prefix, Handler handler)
{
    m_routes[std::move(prefix)] = std::move(handler);
}

bool HttpServer::reply(HttpToken token, const HttpReply &reply)
{
    evhttp_request *request = take(token);
    if (request == nullptr) {
        return false;
    }
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", std::string(reply.contentType).c_str());
    if (reply.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(reply.retryAfter).count();
        evhttp_add_header(headers, "Retry-After", std::to_string(seconds).c_str());
    }
    if (!reply.authenticate.empty()) {
        evhttp_add_header(headers, "WWW-Authenticate", std::string(reply.authenticate).c_str());
    }
    const bool isPlaceWanted = m_limit.isPlaceWanted();
    if (isPlaceWanted) {
        onLimit(HttpLimit::Connections);
    }
    if (reply.closeConnection || m_socket == nullptr || isPlaceWanted) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evbuffer *body = evhttp_request_get_output_buffer(request);
    evbuffer_add(body, reply.body.data(), reply.body.size());
    evhttp_connection *connection = evhttp_request_get_connection(request);
    m_writing.insert(connection);
    evhttp_connection_set_closecb(connection, handleClose, this);
    evhttp_request_set_on_complete_cb(request, handleWritten, this);
    evhttp_send_reply(request, reply.status, nullptr, nullptr);
    // evhttp reads while it writes, and what it reads then is not bounded. It reads again after the response is
    // written.
    bufferevent_disable(evhttp_connection_get_bufferevent(connection), EV_READ);
    m_limit.updateOutput(connection);
    return true;
}

void HttpServer::handleRequest(evhttp_request *request, void *self)
{
    static_cast<HttpServer *>(self)->dispatch(request);
}

void HttpServer::handleWritten(evhttp_request *request, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    evhttp_connection *connection = evhttp_request_get_connection(request);
    server->m_writing.erase(connection);
    server->m_limit.updateOutput(connection);
}

void HttpServer::handleClose(evhttp_connection *connection, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    server->m_writing.erase(connection);
    const auto found = server->m_byConnection.find(connection);
    if (found != server->m_byConnection.end()) {
        const HttpToken token = found->second;
        server->take(token);
        server->reportClientGone(token);
    }
    server->m_limit.forget(connection);
}

void HttpServer::dispatch(evhttp_request *request)
{
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = evhttp_uri_get_path(uri);
    evbuffer *body = evhttp_request_get_input_buffer(request);
    const std::size_t length = evbuffer_get_length(body);
    const char *bytes = reinterpret_cast<const char *>(evbuffer_pullup(body, -1));

    const HttpToken token = m_nextToken++;
    m_waiting[token] = {.server = this, .token = token, .request = request};
    evhttp_connection *connection = evhttp_request_get_connection(request);
    m_byConnection[connection] = token;
    evhttp_connection_set_closecb(connection, handleClose, this);
    m_limit.markBusy(connection, length + requestOverhead);

    if (m_waiting.size() > m_options.maxWaiting || m_limit.isFull()) {
        onLimit(HttpLimit::Refused);
        reply(token,
            {.status = statusServiceUnavailable,
                .body = R"({"outcome":"not_run","reason":"too many requests are waiting at this daemon"})",
                .retryAfter = milliseconds(1000)});
        return;
    }
    const HttpRequest parsed{.token = token,
        .method = methodName(evhttp_request_get_command(request)),
        .path = path == nullptr ? "/" : path,
        .query = parseQuery(evhttp_uri_get_query(uri)),
        .body = length == 0 ? std::string_view() : std::string_view(bytes, length),
        .header = [request](const char *name) -> std::string_view {
            const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
            return value == nullptr ? std::string_view() : std::string_view(value);
        }};
    handOver(parsed);
    // The connection is still valid here: replies are written, and drops carried out, from the loop.
    if (m_waiting.contains(token)) {
        // The handler has copied what it needs of the body.
        evbuffer_drain(body, length);
        watchClose(connection);
    }
}

void HttpServer::handOver(const HttpRequest &request)
{
    for (const auto &route : m_routes) {
        if (request.path.starts_with(route.first)) {
            if (!callGuarded("http_server", [&] { route.second(request); })) {
                // The outcome of the request is not known, and the client is told so by the closed connection.
                drop(request.token);
            }
            return;
        }
    }
    reply(request.token, {.status = statusNotFound, .body = R"({"error":"no such path"})"});
}

} // namespace wigeonkeel
