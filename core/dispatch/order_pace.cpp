#include "core/dispatch/order_pace.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

/// Share of the link that is used. The rest is for what is not counted: retransmissions, acknowledgements and the
/// difference between estimated and actual sizes.
constexpr double usableShare = 0.9;
/// Longest time for which an idle link saves up capacity. A burst of this length delays what comes after it by as much,
/// which is little against the timeouts of orders.
constexpr std::chrono::duration<double> savedTime{0.05};
/// Covers the round trip between zones and one resent packet.
constexpr milliseconds shortestTimeout{400};
/// Shorter than the time within which a worker accepts a start, so that an unanswered start is still resolved soon.
constexpr milliseconds longestTimeout{1500};
constexpr double timeoutPerLatency = 4.0;
/// Weight of the newest reply in the moving average.
constexpr double latencyWeight = 0.1;

} // namespace

void refill(LinkBudget &budget, MonotonicTime now)
{
    const double rate = budget.bytesPerSecond * usableShare;
    const std::chrono::duration<double> passed = now - budget.refilledAt;
    budget.available = std::min(rate * savedTime.count(), budget.available + rate * passed.count());
    budget.refilledAt = now;
}

void spend(LinkBudget &budget, std::size_t bytes)
{
    budget.available -= static_cast<double>(bytes);
}

bool hasRoom(const LinkBudget &budget)
{
    return budget.bytesPerSecond == 0 || budget.available > 0;
}

void recordStartReply(OrderLatency &latency, milliseconds duration)
{
    latency.averageMs += (static_cast<double>(duration.count()) - latency.averageMs) * latencyWeight;
}

milliseconds orderTimeout(const OrderLatency &latency)
{
    const auto fromLatency = milliseconds(static_cast<std::int64_t>(latency.averageMs * timeoutPerLatency));
    return std::clamp(fromLatency, shortestTimeout, longestTimeout);
}

} // namespace wigeonkeel::dispatch
