#include "core/dispatch/dispatch_kernel.h"

namespace wigeonkeel::dispatch
{

void finishTurn(DispatchKernel &kernel)
{
    kernel.turnScheduled = false;
    const Now now = readClock(kernel.clock);
    tick(kernel.node, now);
    for (const Action &action : takeActions(kernel.node)) {
        kernel.action.emit(action);
    }
    if (kernel.turnSeconds != nullptr) {
        kernel.turnSeconds->Observe(std::chrono::duration<double>(kernel.clock.now() - now.monotonic).count());
    }
}

} // namespace wigeonkeel::dispatch
