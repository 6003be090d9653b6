#include "core/event_loop.h"

#include <csignal>
#include <cstdlib>

#include <event2/event.h>

#include "core/guarded_call.h"
#include "core/log.h"

namespace wigeonkeel
{

namespace
{

timeval toTimeval(milliseconds duration)
{
    return {.tv_sec = duration.count() / 1000, .tv_usec = (duration.count() % 1000) * 1000};
}

} // namespace

EventLoop::EventLoop(const Clock &clock)
    : m_clock(clock)
    , m_base(event_base_new())
{
    if (m_base == nullptr) {
        logLine(LogLevel::Error, "loop", "The event loop could not be made; no memory.");
        std::abort();
    }
    // libevent writes to sockets without MSG_NOSIGNAL. With the signal ignored, a write to a connection that the peer
    // has closed fails with EPIPE.
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
    event_base_free(m_base);
}

void EventLoop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base);
}

Timer::Timer(EventLoop &loop, std::function<void()> callback)
    : m_callback(std::move(callback))
    , m_event(nullptr)
{
    const auto fire = [](evutil_socket_t, short, void *self) {
        auto *timer = static_cast<Timer *>(self);
        if (timer->m_repeating) {
            timer->start(timer->m_interval);
        }
        callGuarded("timer", timer->m_callback);
    };
    m_event = evtimer_new(loop.base(), fire, this);
}

Timer::~Timer()
{
    event_free(m_event);
}

void Timer::startOnce(milliseconds delay)
{
    m_repeating = false;
    start(delay);
}

void Timer::startRepeating(milliseconds interval)
{
    m_repeating = true;
    m_interval = interval;
    start(interval);
}

void Timer::cancel()
{
    evtimer_del(m_event);
}

void Timer::start(milliseconds interval)
{
    const timeval delay = toTimeval(interval);
    evtimer_add(m_event, &delay);
}

SignalWatch::SignalWatch(EventLoop &loop, int signalNumber, std::function<void()> callback)
    : m_callback(std::move(callback))
    , m_event(nullptr)
{
    const auto fire = [](evutil_socket_t, short, void *self) {
        callGuarded("signal", static_cast<SignalWatch *>(self)->m_callback);
    };
    m_event = evsignal_new(loop.base(), signalNumber, fire, this);
    event_add(m_event, nullptr);
}

SignalWatch::~SignalWatch()
{
    event_free(m_event);
}

} // namespace wigeonkeel
