#pragma once

#include "core/error.h"
#include "core/event_loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace wigeonkeel
{

struct HttpResponse
{
    /// Set if no response came. Unreachable: surely not sent; OutcomeUnknown: may have taken effect.
    Error error;
    int status = 0;
    std::string body;
    std::string retryAfter;
};

/// Where a connection counts its bytes, headers included; without a place they are not counted.
struct HttpByteCounts
{
    std::uint64_t *sent = nullptr;
    std::uint64_t *received = nullptr;
};

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One kept-alive HTTP connection to an address. Requests are sent one after the other and never repeated.
class HttpConnection
{
public:
    using Callback = std::function<void(HttpResponse response)>;

    HttpConnection(EventLoop &loop, std::string_view address, std::uint16_t port);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends a request. The callback is called once, from the loop and at the latest when the timeout has passed since
    /// this call, unless the connection is destroyed before.
    void request(std::string_view method, std::string_view path, std::string_view body, milliseconds timeout,
        Callback callback, HttpHeaders headers = {});
    /// Nothing is under way or waits to be sent.
    bool isIdle() const { return !m_active && m_queue.empty(); }
    const std::string &peer() const { return m_peer; }
    /// Adds a header to each later request.
    void addHeader(std::string name, std::string value) { m_headers.emplace_back(std::move(name), std::move(value)); }

    /// Counts the bytes of connections opened after this call; the places must outlive this object.
    void countBytes(const HttpByteCounts &counts) { m_counts = counts; }

private:
    struct Pending;

    void open();
    void close();
    void sendNext();
    void onAnswer(evhttp_request *answer);
    void onDeadline();
    void finishQueued(MonotonicTime now);
    void complete(std::unique_ptr<Pending> pending, HttpResponse response);
    void schedule();
    bool connected() const;
    HttpResponse failure(const Pending &pending, Errc code, std::string detail) const;

    EventLoop &m_loop;
    std::string m_address;
    std::uint16_t m_port;
    std::string m_peer;
    evhttp_connection *m_connection = nullptr;
    /// The request that evhttp has; the others wait here, so that evhttp can't fail them in one go.
    std::unique_ptr<Pending> m_active;
    std::deque<std::unique_ptr<Pending>> m_queue;
    std::unique_ptr<Timer> m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    HttpHeaders m_headers;
    HttpByteCounts m_counts;
};

} // namespace wigeonkeel
