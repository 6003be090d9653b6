#pragma once

#include "core/dispatch/dispatch_kernel.h"
#include "drivers/clock/system_clock.h"

#include <CppUTest/TestHarness.h>

#include <prometheus/registry.h>

namespace wigeonkeel::dispatch
{

/// Base of test groups for plug-ins: a kernel whose node carries out no turns.
struct KernelTest : public Utest
{
    EventLoop loop{systemClock()};
    prometheus::Registry metrics;
    DispatchKernel kernel{.loop = loop,
        .clock = systemClock(),
        .peerListenEndpoint = {},
        .metrics = {},
        .metricsRegistry = metrics,
        .node = {},
        .action = {},
        .turnTimer = {loop, [this] { kernel.turnScheduled = false; }}};
};

} // namespace wigeonkeel::dispatch
