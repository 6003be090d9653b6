#pragma once

#include "core/error.h"
#include "core/event_loop.h"
#include "drivers/http/connection_limit.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace wigeonkeel
{

/// A request that a client waits on. The server owns it; the id is 0 for none.
using HttpToken = std::uint64_t;

struct HttpRequest
{
    HttpToken token = 0;
    std::string_view method;
    std::string_view path;
    std::map<std::string, std::string, std::less<>> query;
    std::string_view body;
    /// Empty if the header is missing.
    std::function<std::string_view(const char *name)> header;
};

struct HttpReply
{
    int status = 200;
    std::string_view contentType = "application/json";
    std::string_view body;
    /// Sent as Retry-After, rounded up to whole seconds; none if 0.
    milliseconds retryAfter{0};
    bool closeConnection = false;
    /// Sent as WWW-Authenticate; empty for none.
    std::string_view authenticate;
};

struct HttpServerOptions
{
    std::string address;
    std::uint16_t port = 0;
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxHeaderBytes = 16 << 10;
    /// A connection that has not delivered a complete request for this long is closed, also if bytes still come.
    milliseconds readTimeout{30000};
    /// At this number of open connections, further ones wait in the kernel until another is closed. While one waits,
    /// each response ends its connection: a client with many requests would otherwise keep its place for ever.
    std::size_t maxConnections = 10000;
    /// A connection that does nothing may be closed for a waiting one after this time.
    milliseconds minAgeToMakeRoom{1000};
    /// At most one in so many places is freed at a time for waiting connections.
    std::size_t freedPlacesShare = 8;
    std::size_t maxWaiting = 10000;
    /// A request must be complete this long after its first byte. `readTimeout` bounds it too.
    milliseconds requestTimeout{10000};
    /// A client must take a response within this time; what the system has buffered counts as taken.
    milliseconds responseTimeout{10000};
    /// What all connections hold together, in bytes: requests that arrive or wait for their response, and responses
    /// that are not taken. Above it, connections are closed and new requests are answered with 503.
    std::size_t maxHeldBytes = std::size_t{64} << 20;
    /// Receive buffer that the system is asked for, for each connection, in bytes. Without a limit, the system buffers
    /// up to several MiB that a client sends ahead.
    int receiveBufferBytes = 32 << 10;
    /// Called for each connection that is closed, and each request that is refused, because of a limit.
    std::function<void(HttpLimit)> limitReached;
};

/// Options of a server for checks of load balancers and for collectors of metrics: a few clients at a time, whose
/// requests are one packet. A VM is out of rotation after two checks, a second apart, without an answer, so while
/// others wait, all connections that have not sent a request at once lose their places.
HttpServerOptions checkServerOptions(
    std::string_view address, std::uint16_t port, std::function<void(HttpLimit)> limitReached);

/// HTTP server over evhttp on the given loop.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &request)>;

    HttpServer(EventLoop &loop, HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and listens. Errors carry the address.
    Error listen();
    /// Stops taking connections; requests that wait are still answered.
    void stopListening();
    /// Requests below this path prefix go to the handler; the longest prefix wins.
    void route(std::string prefix, Handler handler);
    /// Answers a request. False if its client is gone.
    bool reply(HttpToken token, const HttpReply &reply);
    /// Closes the connection of a request without an answer, after the present callback.
    void drop(HttpToken token);
    /// Called when a client closes its connection, or only its sending side, before the answer.
    void onClientGone(std::function<void(HttpToken)> callback) { m_clientGone = std::move(callback); }
    std::size_t waiting() const { return m_waiting.size(); }
    /// True while an answer is not completely written to its connection.
    bool isWriting() const { return !m_writing.empty(); }
    /// Port that the server listens on; differs from the option if that is 0.
    std::uint16_t port() const;

private:
    struct Waiting
    {
        HttpServer *server = nullptr;
        HttpToken token = 0;
        evhttp_request *request = nullptr;
        /// Fires when the client closes its side; null until the handler has returned.
        event *closed = nullptr;
    };

    static void handleRequest(evhttp_request *request, void *self);
    static void handleClose(evhttp_connection *connection, void *self);
    static void handleWritten(evhttp_request *request, void *self);
    void dispatch(evhttp_request *request);
    void closeDropped();
    void onLimit(HttpLimit limit);
    void handOver(const HttpRequest &request);
    /// Takes a request out of the books; null if it is not in them.
    evhttp_request *take(HttpToken token);
    void watchClose(evhttp_connection *connection);
    void closeConnection(HttpToken token);
    void reportClientGone(HttpToken token);

    EventLoop &m_loop;
    HttpServerOptions m_options;
    evhttp *m_http;
    ConnectionLimit m_limit;
    evhttp_bound_socket *m_socket = nullptr;
    std::map<std::string, Handler, std::greater<>> m_routes;
    std::map<HttpToken, Waiting> m_waiting;
    std::map<evhttp_connection *, HttpToken> m_byConnection;
    std::set<evhttp_connection *> m_writing;
    HttpToken m_nextToken = 1;
    std::function<void(HttpToken)> m_clientGone;
    std::vector<HttpToken> m_dropped;
    Timer m_dropTimer;
    MonotonicTime m_nextLimitLog{};
    std::array<std::uint64_t, httpLimitCount> m_unloggedLimits{};
};

} // namespace wigeonkeel
