#pragma once

#include "core/event_loop.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;

namespace wigeonkeel
{

/// Why a server closed a connection or refused a request.
enum class HttpLimit : std::uint8_t { Idle, RequestTime, ResponseTime, Connections, HeldBytes, Refused };

inline constexpr std::size_t httpLimitCount = 6;

/// Name of a limit in logs and metrics.
std::string_view httpLimitName(HttpLimit limit);

struct ConnectionLimitOptions
{
    std::size_t maxConnections = 10000;
    /// A connection without a request is closed this long after it was opened or its last response was written.
    milliseconds idleTimeout{30000};
    /// From the first byte of a request to its last.
    milliseconds requestTimeout{10000};
    /// From the response to the moment when the system has taken all of it.
    milliseconds responseTimeout{10000};
    /// What the connections hold together, in bytes: requests that arrive or wait, and unwritten responses.
    std::size_t maxHeldBytes = std::size_t{64} << 20;
    /// While others wait for a place, a connection is not closed for them before it did nothing for this long: a client
    /// that sends one request after the other needs its connection again at once.
    milliseconds minAgeToMakeRoom{1000};
    /// At most one in so many places is freed at a time for connections that wait.
    std::size_t freedPlacesShare = 8;
    /// Reading from a connection stops at this number of bytes that are not handled yet.
    std::size_t maxReadAhead = std::size_t{2} << 20;
    /// Called for each connection that is closed because of a limit.
    std::function<void(HttpLimit)> reached;
};

/// Bounds the number, the age and the memory of an evhttp server's connections. evhttp itself has no limit on
/// connections and on what it reads ahead, and its timeout starts again with every byte, so that a client that sends
/// one byte at a time could stay for ever. A connection whose request is being handled is never closed here.
class ConnectionLimit
{
public:
    ConnectionLimit(EventLoop &loop, evhttp *http, const ConnectionLimitOptions &options);
    ~ConnectionLimit();
    ConnectionLimit(const ConnectionLimit &) = delete;
    ConnectionLimit &operator=(const ConnectionLimit &) = delete;

    /// The socket on which connections are accepted; null for none.
    void setSocket(evhttp_bound_socket *socket);
    /// A request came in on this connection: it is not timed until it is answered. `requestBytes` are held until then.
    void markBusy(evhttp_connection *connection, std::size_t requestBytes);
    void markIdle(evhttp_connection *connection);
    /// Makes evhttp report the end of the connection to this class. Whoever sets another close callback has to call
    /// forget() from it.
    void watchEnd(evhttp_connection *connection);
    /// The connection is about to be freed.
    void forget(evhttp_connection *connection);
    /// A response waits to be written, or has been written.
    void updateOutput(evhttp_connection *connection);
    /// All places are taken, and another connection waits for one.
    bool isPlaceWanted() const;
    std::size_t open() const { return m_open.size(); }
    std::size_t heldBytes() const { return m_heldBytes; }
    bool isFull() const { return m_heldBytes > m_options.maxHeldBytes; }

private:
    enum class Phase : std::uint8_t { Idle, Arriving, Writing, Serving };

    struct Connection
    {
        ConnectionLimit *owner = nullptr;
        bufferevent *buffer = nullptr;
        /// Rises with each accepted connection.
        std::uint64_t number = 0;
        MonotonicTime idleSince{};
        /// When the first byte of the next request was read; nothing before.
        std::optional<MonotonicTime> requestSince;
        /// Bytes read since the last request was handed over, and in all.
        std::size_t arriving = 0;
        std::uint64_t received = 0;
        /// Bytes of the request that is being handled.
        std::size_t requestBytes = 0;
        /// Bytes that the system holds while this side does not read, as of the last sweep.
        std::size_t unread = 0;
        /// Sum of the above and of the unwritten response, as it is part of the total.
        std::size_t held = 0;
        /// The connection is not closed before so many bytes have been received.
        std::optional<std::uint64_t> closeAfter;
        bool busy = false;
    };

    static void handleInput(evbuffer *, const evbuffer_cb_info *info, void *argument);
    static Phase phaseOf(const Connection &connection);
    static MonotonicTime phaseBegan(const Connection &connection);

    bufferevent *onConnection();
    void trackFresh();
    /// Accepts connections again if there is a place.
    void resume();
    void sweep();
    void closeOverdue(MonotonicTime now);
    void makeRoom(MonotonicTime now);
    void relieve();
    void recount(Connection &connection);
    /// Bytes have arrived that this side will read; they may complete a request.
    bool mayHaveRequest(const Connection &connection) const;
    /// For a request that is due.
    bool isRequestOver(Connection &connection) const;
    void close(bufferevent *buffer, HttpLimit reason);
    Connection *find(evhttp_connection *connection);
    milliseconds sweepInterval() const;

    EventLoop &m_loop;
    ConnectionLimitOptions m_options;
    evhttp_bound_socket *m_socket = nullptr;
    std::map<bufferevent *, Connection> m_open;
    std::vector<bufferevent *> m_fresh;
    event *m_trackEvent;
    event *m_relieveEvent;
    event *m_resumeEvent;
    Timer m_sweepTimer;
    std::uint64_t m_nextNumber = 1;
    std::size_t m_heldBytes = 0;
    bool m_paused = false;
};

} // namespace wigeonkeel
