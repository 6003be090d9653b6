#include "core/dispatch/dispatch_kernel.h"

#include "core/dispatch/leadership.h"

namespace wigeonkeel::dispatch
{

void handleUnexpectedError(DispatchKernel &kernel)
{
    if (kernel.node.dispatcher) {
        stepDown(kernel.node, StepDownKind::Resigned, "an unexpected error", readClock(kernel.clock));
    }
}

void finishTurn(DispatchKernel &kernel)
{
    kernel.turnScheduled = false;
    const Now now = readClock(kernel.clock);
    if (!callGuarded("node", [&] { tick(kernel.node, now); })) {
        handleUnexpectedError(kernel);
    }
    for (const Action &action : takeActions(kernel.node)) {
        if (!callGuarded("action", [&] { kernel.action.emit(action); })) {
            // A call that was not sent gets no reply, so the leader would wait for it without end.
            handleUnexpectedError(kernel);
        }
    }
    if (kernel.turnSeconds != nullptr) {
        kernel.turnSeconds->Observe(std::chrono::duration<double>(kernel.clock.now() - now.monotonic).count());
    }
}

} // namespace wigeonkeel::dispatch
