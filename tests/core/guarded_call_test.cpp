#include "core/guarded_call.h"

#include "core/dispatch/dispatch_kernel.h"
#include "core/event_loop.h"
#include "drivers/clock/system_clock.h"
#include "main/daemon_setup.h"
#include "tests/contract/standin_process.h"

#include <CppUTest/TestHarness.h>

#include <stdexcept>

using namespace wigeonkeel;

TEST_GROUP(GuardedCall){};

TEST(GuardedCall, ExceptionsAreCountedAndReported)
{
    const std::uint64_t before = unexpectedErrors();
    CHECK(callGuarded("test", [] {}));
    CHECK_FALSE(callGuarded("test", [] { throw std::out_of_range("a key is missing"); }));
    CHECK_FALSE(callGuarded("test", [] { throw 7; }));
    CHECK_EQUAL(before + 2, unexpectedErrors());
}

// Guards against one unexpected error that ends the process: the loop's C code can't pass an exception on.
TEST(GuardedCall, TheLoopGoesOnAfterATimerThrows)
{
    EventLoop loop(systemClock());
    int calls = 0;
    Timer timer(loop, [&calls] {
        ++calls;
        throw std::runtime_error("unexpected");
    });
    timer.startRepeating(milliseconds(1));
    CHECK(runUntil(loop, [&calls] { return calls >= 3; }));
}

// Guards against a kernel that takes an event for being handled forever after an exception, and handles none any more.
TEST(GuardedCall, TheKernelHandlesTheNextEventAfterAnUnexpectedError)
{
    EventLoop loop(systemClock());
    const Settings settings;
    const Registry registry;
    prometheus::Registry metrics;
    Scheduler scheduler;
    Kernel kernel{.loop = loop,
        .clock = systemClock(),
        .settings = settings,
        .registry = registry,
        .metrics = metrics,
        .scheduler = scheduler,
        .signals = {}};
    int observed = 0;
    kernel.signals.observed.connect([&observed](const ObserveAction &) {
        ++observed;
        throw std::runtime_error("unexpected");
    });
    post(kernel, TickEvent{});
    post(kernel, TickEvent{});
    CHECK(observed >= 2);
}

namespace
{

struct DispatchDaemon
{
    EventLoop loop{systemClock()};
    prometheus::Registry metrics;
    dispatch::DispatchKernel kernel{.loop = loop,
        .clock = systemClock(),
        .peerListenEndpoint = {},
        .metrics = {},
        .metricsRegistry = metrics,
        .node = {},
        .action = {},
        .turnTimer = {loop, [this] { finishTurn(kernel); }}};
};

void fail(dispatch::Node &, Now)
{
    throw std::out_of_range("a key is missing");
}

} // namespace

TEST(GuardedCall, AFollowerGoesOnAfterAnUnexpectedError)
{
    DispatchDaemon daemon;
    post(daemon.kernel, fail);
    bool handled = false;
    post(daemon.kernel, [&handled](dispatch::Node &, Now) { handled = true; });
    CHECK(handled);
}

// Guards against a leader that goes on with state that an unexpected error left half changed.
TEST(GuardedCall, ALeaderResignsAfterAnUnexpectedError)
{
    DispatchDaemon daemon;
    dispatch::Node &node = daemon.kernel.node;
    node.dispatcher = std::make_unique<dispatch::Dispatcher>(
        node.outbox, 1, readClock(daemon.kernel.clock).monotonic, dispatch::EndRetention(milliseconds(1000)));
    node.leadership.phase = dispatch::ClaimPhase::Leading;
    post(daemon.kernel, fail);
    CHECK(node.dispatcher == nullptr);
    CHECK(node.leadership.phase == dispatch::ClaimPhase::Following);
    CHECK(node.leadership.noClaimUntil > readClock(daemon.kernel.clock).monotonic);
}
