#pragma once

#include "core/clock.h"
#include "core/routing/backoff.h"

namespace wigeonkeel
{

enum class BreakerState : std::uint8_t {
    Closed,
    /// Nothing is sent until the back-off has passed.
    Open,
    /// One probe is under way; its end closes or opens the breaker.
    HalfOpen,
};

struct CircuitBreaker
{
    BreakerState state = BreakerState::Closed;
    std::uint32_t consecutiveFailures = 0;
    /// Failed probes since the breaker opened; lengthens the back-off.
    std::uint32_t failedProbes = 0;
    MonotonicTime probeAt{};
};

/// Consecutive failures that open a breaker.
inline constexpr std::uint32_t breakerThreshold = 5;

/// True if something may be sent now. Does not change the state, so it serves to filter candidates.
bool allowsAttempt(const CircuitBreaker &breaker, MonotonicTime now);

/// Must be called when an attempt is made: turns an open breaker whose back-off has passed into a half-open one.
void noteAttempt(CircuitBreaker &breaker, MonotonicTime now);

void noteSuccess(CircuitBreaker &breaker);
void noteFailure(CircuitBreaker &breaker, MonotonicTime now, RandomState &random);

} // namespace wigeonkeel
