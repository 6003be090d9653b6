#pragma once

#include "core/clock.h"

#include <cstddef>

namespace wigeonkeel::dispatch
{

/// What this daemon's link can still carry. Everything that is sent draws from it, but only starts wait for it: they
/// are most of what a leader sends, and the only part that can be put off. Starts that are sent faster than the link
/// carries them queue up in it; they time out, delay renewals and store calls, and are ordered again, which keeps the
/// overload up.
struct LinkBudget
{
    /// Capacity of the link; 0 if it is not known, so that nothing waits.
    double bytesPerSecond = 0;
    double available = 0;
    MonotonicTime refilledAt{};
};

void refill(LinkBudget &budget, MonotonicTime now);
void spend(LinkBudget &budget, std::size_t bytes);
/// Whether a start may be sent now. Call `refill` before.
bool hasRoom(const LinkBudget &budget);

/// Adapts the time that orders and renewals wait for a reply to the latency of recent starts.
struct OrderLatency
{
    /// Moving average of the time until the reply to a start.
    double averageMs = 10.0;
};

void recordStartReply(OrderLatency &latency, milliseconds duration);
/// How long to wait for the reply to an order.
milliseconds orderTimeout(const OrderLatency &latency);

} // namespace wigeonkeel::dispatch
