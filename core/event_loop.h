#pragma once

#include "core/clock.h"

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace wigeonkeel
{

/// The one loop of a process, on the thread that runs it.
class EventLoop
{
public:
    /// What runs on the loop reads the time from this clock; timers follow the system's monotonic clock. From now on
    /// the process ignores SIGPIPE.
    explicit EventLoop(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Handles events until stop() is called. Blocks in the kernel while there is nothing to do.
    void run();
    /// Makes run() return after the present callback.
    void stop();
    MonotonicTime now() const { return m_clock.now(); }
    /// For libevent's functions; valid as long as the loop.
    event_base *base() const { return m_base; }

private:
    Clock m_clock;
    event_base *m_base;
};

/// Calls a function once or at an interval until destroyed.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(milliseconds delay);
    void startRepeating(milliseconds interval);
    void cancel();

private:
    void start(milliseconds interval);

    std::function<void()> m_callback;
    event *m_event;
    milliseconds m_interval{0};
    bool m_repeating = false;
};

/// Calls a function on the loop when the process gets a signal.
class SignalWatch
{
public:
    SignalWatch(EventLoop &loop, int signalNumber, std::function<void()> callback);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    std::function<void()> m_callback;
    event *m_event;
};

} // namespace wigeonkeel
