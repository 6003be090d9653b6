#include "drivers/http/connection_limit.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace wigeonkeel
{

namespace
{

// Connections are checked this often while accepting is paused, so that a place that has become free is used soon.
constexpr milliseconds pausedInterval{50};
/// Longest time between two checks of the time limits; a fraction of the shortest default.
constexpr milliseconds maxSweepInterval{1000};
constexpr int sweepsPerTimeout = 4;
/// When the connections hold too much, they are closed until this share of the limit is free.
constexpr std::size_t freedShare = 8;

constexpr std::array<std::string_view, httpLimitCount> limitNames
    = {"idle", "request_time", "response_time", "connections", "held_bytes", "refused"};

/// Bytes that have arrived on a socket and were not read yet.
std::size_t unreadBytes(int fd)
{
    int count = 0;
    return ioctl(fd, FIONREAD, &count) == 0 ? static_cast<std::size_t>(count) : 0;
}

} // namespace

std::string_view httpLimitName(HttpLimit limit)
{
    return limitNames.at(static_cast<std::size_t>(limit));
}

ConnectionLimit::ConnectionLimit(EventLoop &loop, evhttp *http, const ConnectionLimitOptions &options)
    : m_loop(loop)
    , m_options(options)
    , m_trackEvent(event_new(
          loop.base(), -1, 0,
          [](evutil_socket_t, short, void *self) { static_cast<ConnectionLimit *>(self)->trackFresh(); }, this))
    , m_relieveEvent(event_new(
          loop.base(), -1, 0,
          [](evutil_socket_t, short, void *self) { static_cast<ConnectionLimit *>(self)->relieve(); }, this))
    , m_resumeEvent(event_new(
          loop.base(), -1, 0,
          [](evutil_socket_t, short, void *self) { static_cast<ConnectionLimit *>(self)->resume(); }, this))
    , m_sweepTimer(loop, [this] { sweep(); })
{
    evhttp_set_bevcb(
        http, [](event_base *, void *self) { return static_cast<ConnectionLimit *>(self)->onConnection(); }, this);
    m_sweepTimer.startOnce(sweepInterval());
}

ConnectionLimit::~ConnectionLimit()
{
    event_free(m_resumeEvent);
    event_free(m_relieveEvent);
    event_free(m_trackEvent);
}

milliseconds ConnectionLimit::sweepInterval() const
{
    if (m_paused) {
        return pausedInterval;
    }
    const milliseconds shortest
        = std::min({m_options.idleTimeout, m_options.requestTimeout, m_options.responseTimeout});
    return std::min(shortest / sweepsPerTimeout, maxSweepInterval);
}

void ConnectionLimit::setSocket(evhttp_bound_socket *socket)
{
    m_socket = socket;
    m_paused = false;
}

bufferevent *ConnectionLimit::onConnection()
{
    bufferevent *fresh = bufferevent_socket_new(m_loop.base(), -1, 0);
    bufferevent_setwatermark(fresh, EV_READ, 0, m_options.maxReadAhead);
    m_fresh.push_back(fresh);
    // evhttp sets the file descriptor after this callback. The event runs before the loop polls again, so that the
    // connection can't have been closed by then.
    event_active(m_trackEvent, 0, 0);
    if (m_socket != nullptr && m_open.size() + m_fresh.size() >= m_options.maxConnections) {
        evconnlistener_disable(evhttp_bound_socket_get_listener(m_socket));
        m_paused = true;
        m_sweepTimer.startOnce(pausedInterval);
    }
    return fresh;
}

void ConnectionLimit::trackFresh()
{
    const MonotonicTime now = m_loop.now();
    for (bufferevent *fresh : m_fresh) {
        // evhttp has set its callbacks, whose argument is its connection; no other function tells it this early.
        void *connection = nullptr;
        bufferevent_getcb(fresh, nullptr, nullptr, nullptr, &connection);
        Connection &entry = m_open[fresh];
        entry = {.owner = this,
            .buffer = fresh,
            .number = m_nextNumber++,
            .idleSince = now,
            .requestSince = {},
            .closeAfter = {}};
        watchEnd(static_cast<evhttp_connection *>(connection));
        // The callback ends with the connection's buffer; entries of a map stay where they are until they are erased.
        evbuffer_add_cb(bufferevent_get_input(fresh), handleInput, &entry);
    }
    m_fresh.clear();
}

void ConnectionLimit::watchEnd(evhttp_connection *connection)
{
    evhttp_connection_set_closecb(
        connection, [](evhttp_connection *closed, void *self) { static_cast<ConnectionLimit *>(self)->forget(closed); },
        this);
}

void ConnectionLimit::forget(evhttp_connection *connection)
{
    const auto found = m_open.find(evhttp_connection_get_bufferevent(connection));
    if (found != m_open.end()) {
        m_heldBytes -= found->second.held;
        m_open.erase(found);
        if (m_paused) {
            event_active(m_resumeEvent, 0, 0);
        }
    }
}

void ConnectionLimit::handleInput(evbuffer *, const evbuffer_cb_info *info, void *argument)
{
    auto &connection = *static_cast<Connection *>(argument);
    if (info->n_added == 0) {
        return;
    }
    ConnectionLimit &owner = *connection.owner;
    connection.arriving += info->n_added;
    connection.received += info->n_added;
    connection.held += info->n_added;
    owner.m_heldBytes += info->n_added;
    if (!connection.busy && !connection.requestSince) {
        connection.requestSince = owner.m_loop.now();
    }
    if (owner.isFull()) {
        // evhttp still uses the connection in the function that this is called from.
        event_active(owner.m_relieveEvent, 0, 0);
    }
}

ConnectionLimit::Phase ConnectionLimit::phaseOf(const Connection &connection)
{
    if (connection.busy) {
        return Phase::Serving;
    }
    if (evbuffer_get_length(bufferevent_get_output(connection.buffer)) > 0) {
        return Phase::Writing;
    }
    return connection.requestSince ? Phase::Arriving : Phase::Idle;
}

MonotonicTime ConnectionLimit::phaseBegan(const Connection &connection)
{
    // A request that evhttp refuses by itself is answered without a call of markIdle().
    return std::max(connection.idleSince, connection.requestSince.value_or(connection.idleSince));
}

void ConnectionLimit::recount(Connection &connection)
{
    const std::size_t held = connection.arriving + connection.requestBytes + connection.unread
        + evbuffer_get_length(bufferevent_get_output(connection.buffer));
    m_heldBytes = m_heldBytes - connection.held + held;
    connection.held = held;
}

bool ConnectionLimit::mayHaveRequest(const Connection &connection) const
{
    return phaseOf(connection) != Phase::Writing
        && evbuffer_get_length(bufferevent_get_input(connection.buffer)) < m_options.maxReadAhead
        && unreadBytes(bufferevent_getfd(connection.buffer)) > 0;
}

bool ConnectionLimit::isRequestOver(Connection &connection) const
{
    if (!mayHaveRequest(connection)) {
        return true;
    }
    // What had come when the request was first due may complete it; what comes later is late.
    if (!connection.closeAfter) {
        connection.closeAfter = connection.received + unreadBytes(bufferevent_getfd(connection.buffer));
    }
    return connection.received >= *connection.closeAfter;
}

void ConnectionLimit::close(bufferevent *buffer, HttpLimit reason)
{
    // evhttp frees the connection when it times out, whatever it does at that moment.
    bufferevent_trigger_event(buffer, BEV_EVENT_TIMEOUT | BEV_EVENT_READING, 0);
    if (m_options.reached) {
        m_options.reached(reason);
    }
}

void ConnectionLimit::closeOverdue(MonotonicTime now)
{
    std::vector<std::pair<bufferevent *, HttpLimit>> overdue;
    for (auto &[buffer, connection] : m_open) {
        const Phase phase = phaseOf(connection);
        const auto age = now - phaseBegan(connection);
        const bool paused = phase == Phase::Serving || phase == Phase::Writing;
        connection.unread = paused ? unreadBytes(bufferevent_getfd(buffer)) : 0;
        recount(connection);
        if (phase == Phase::Idle && age >= m_options.idleTimeout && !mayHaveRequest(connection)) {
            overdue.emplace_back(buffer, HttpLimit::Idle);
        } else if (phase == Phase::Arriving && age >= m_options.requestTimeout && isRequestOver(connection)) {
            overdue.emplace_back(buffer, HttpLimit::RequestTime);
        } else if (phase == Phase::Writing && age >= m_options.responseTimeout) {
            overdue.emplace_back(buffer, HttpLimit::ResponseTime);
        }
    }
    for (const auto &[buffer, reason] : overdue) {
        close(buffer, reason);
    }
}

void ConnectionLimit::makeRoom(MonotonicTime now)
{
    struct Candidate
    {
        bool isIdle = false;
        std::uint64_t number = 0;
        bufferevent *buffer = nullptr;
    };
    std::vector<Candidate> candidates;
    for (const auto &[buffer, connection] : m_open) {
        const Phase phase = phaseOf(connection);
        if (phase != Phase::Serving && now - phaseBegan(connection) >= m_options.minAgeToMakeRoom
            && !mayHaveRequest(connection)) {
            candidates.push_back({.isIdle = phase == Phase::Idle, .number = connection.number, .buffer = buffer});
        }
    }
    // Idle ones first, and of those the newest: clients that were here before the crowd keep theirs.
    std::ranges::sort(candidates,
        [](const Candidate &a, const Candidate &b) { return a.isIdle != b.isIdle ? a.isIdle : a.number > b.number; });
    const std::size_t most = std::max<std::size_t>(1, m_options.maxConnections / m_options.freedPlacesShare);
    candidates.resize(std::min(candidates.size(), most));
    for (const Candidate &candidate : candidates) {
        close(candidate.buffer, HttpLimit::Connections);
    }
}

void ConnectionLimit::relieve()
{
    struct Candidate
    {
        MonotonicTime since{};
        bufferevent *buffer = nullptr;
        std::size_t held = 0;
    };
    std::vector<Candidate> candidates;
    std::size_t closable = 0;
    for (auto &[buffer, connection] : m_open) {
        recount(connection);
        if (phaseOf(connection) != Phase::Serving && connection.held > 0) {
            candidates.push_back({.since = phaseBegan(connection), .buffer = buffer, .held = connection.held});
            closable += connection.held;
        }
    }
    if (!isFull()) {
        return;
    }
    // A request within the limits arrives at once, so those that took longest are the least likely to be missed.
    std::ranges::sort(candidates, {}, &Candidate::since);
    const std::size_t share = m_options.maxHeldBytes / freedShare;
    for (const Candidate &candidate : candidates) {
        // If requests that are handled hold nearly everything, others still arrive and get their refusal.
        if (m_heldBytes <= m_options.maxHeldBytes - share || closable <= share) {
            return;
        }
        closable -= candidate.held;
        close(candidate.buffer, HttpLimit::HeldBytes);
    }
}

bool ConnectionLimit::isPlaceWanted() const
{
    if (!m_paused || m_socket == nullptr) {
        return false;
    }
    pollfd listening{.fd = evhttp_bound_socket_get_fd(m_socket), .events = POLLIN, .revents = 0};
    return poll(&listening, 1, 0) > 0;
}

void ConnectionLimit::resume()
{
    if (m_paused && m_socket != nullptr && m_open.size() + m_fresh.size() < m_options.maxConnections) {
        m_paused = false;
        evconnlistener_enable(evhttp_bound_socket_get_listener(m_socket));
    }
}

void ConnectionLimit::sweep()
{
    const MonotonicTime now = m_loop.now();
    closeOverdue(now);
    if (isFull()) {
        relieve();
    }
    if (m_paused && m_open.size() >= m_options.maxConnections) {
        makeRoom(now);
    }
    resume();
    m_sweepTimer.startOnce(sweepInterval());
}

ConnectionLimit::Connection *ConnectionLimit::find(evhttp_connection *connection)
{
    const auto found = m_open.find(evhttp_connection_get_bufferevent(connection));
    return found == m_open.end() ? nullptr : &found->second;
}

void ConnectionLimit::markBusy(evhttp_connection *connection, std::size_t requestBytes)
{
    if (Connection *found = find(connection)) {
        found->busy = true;
        found->requestBytes = requestBytes;
        found->arriving = evbuffer_get_length(bufferevent_get_input(found->buffer));
        found->requestSince.reset();
        found->closeAfter.reset();
        recount(*found);
    }
}

void ConnectionLimit::markIdle(evhttp_connection *connection)
{
    if (Connection *found = find(connection)) {
        found->busy = false;
        found->requestBytes = 0;
        found->idleSince = m_loop.now();
        found->closeAfter.reset();
        if (found->arriving > 0) {
            found->requestSince = found->idleSince;
        }
        recount(*found);
    }
}

void ConnectionLimit::updateOutput(evhttp_connection *connection)
{
    if (Connection *found = find(connection)) {
        found->idleSince = m_loop.now();
        recount(*found);
        if (isFull()) {
            event_active(m_relieveEvent, 0, 0);
        }
    }
}

} // namespace wigeonkeel
