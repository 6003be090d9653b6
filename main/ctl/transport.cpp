#include "main/ctl/transport.h"

#include "core/event_loop.h"
#include "drivers/clock/system_clock.h"
#include "drivers/http/http_client.h"

#include <cstdio>
#include <optional>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr int statusTooManyRequests = 429;
constexpr int statusServiceUnavailable = 503;
constexpr milliseconds progressInterval{1000};

/// Shows on a terminal how long the command has been waiting; clears its line at the end.
class ProgressLine
{
public:
    ProgressLine(EventLoop &loop, bool shown, std::string_view text)
        : m_text(text)
        , m_timer(loop, [this] { print(); })
    {
        if (shown) {
            m_timer.startRepeating(progressInterval);
        }
    }
    ~ProgressLine()
    {
        if (m_seconds > 0) {
            fmt::print(stderr, "\r\033[K");
        }
    }
    ProgressLine(const ProgressLine &) = delete;
    ProgressLine &operator=(const ProgressLine &) = delete;

private:
    void print()
    {
        fmt::print(stderr, "\rwaiting for {}, {} s", m_text, ++m_seconds);
        std::fflush(stderr);
    }

    std::string_view m_text;
    int m_seconds = 0;
    Timer m_timer;
};

HttpResponse callOne(
    const CtlContext &context, const CtlRequest &request, const DaemonAddress &daemon, std::string_view body)
{
    EventLoop loop(systemClock());
    const bool toOperators = request.interface == CtlInterface::Operators;
    HttpConnection connection(loop, daemon.address, toOperators ? daemon.operatorPort : daemon.callerPort);
    if (toOperators) {
        connection.addHeader("X-Wigeonkeel-Operator", context.operatorName);
        connection.addHeader("X-Wigeonkeel-Key", context.key);
    }
    HttpResponse answer;
    bool answered = false;
    const ProgressLine progress(loop, context.progress, request.waitingFor.empty() ? "a daemon" : request.waitingFor);
    connection.request(request.method, request.path, body, request.timeout, [&](HttpResponse response) {
        answer = std::move(response);
        answered = true;
        loop.stop();
    });
    if (!answered) {
        loop.run();
    }
    return answer;
}

} // namespace

CtlResponse callDaemons(const CtlContext &context, const CtlRequest &request)
{
    CtlResponse last;
    bool mayHaveTakenEffect = false;
    std::uint32_t attempt = 0;
    for (const DaemonAddress &daemon : context.daemons) {
        const std::string body = request.body ? request.body(++attempt) : std::string();
        HttpResponse response = callOne(context, request, daemon, body);
        if (!response.error) {
            last = {.error = {}, .status = response.status, .body = std::move(response.body)};
            if (last.status != statusTooManyRequests && last.status != statusServiceUnavailable) {
                return last;
            }
            continue;
        }
        if (context.progress || context.daemons.size() > 1) {
            fmt::print(stderr, "wigeonkeelctl: {}\n", describe(response.error));
        }
        if (request.method == "GET" && response.error.code == Errc::OutcomeUnknown) {
            response.error.code = Errc::TimedOut; // A question has no effect that could be unknown.
        }
        mayHaveTakenEffect = mayHaveTakenEffect || response.error.code == Errc::OutcomeUnknown;
        if (last.status == 0) {
            last.error = std::move(response.error);
        }
    }
    if (mayHaveTakenEffect) {
        // An answer of "unavailable" by a later daemon says nothing about the earlier attempt.
        last.error = {.code = Errc::OutcomeUnknown,
            .step = fmt::format("{} {}", request.method, request.path.substr(0, request.path.find('?'))),
            .peer = {},
            .detail = "the answer of a daemon was lost"};
    }
    return last;
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.-~";
    std::string encoded;
    for (const char each : text) {
        if (plain.find(each) != std::string_view::npos) {
            encoded += each;
        } else {
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(each));
        }
    }
    return encoded;
}

} // namespace wigeonkeel
