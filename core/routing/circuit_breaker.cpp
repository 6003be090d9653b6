#include "core/routing/circuit_breaker.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

constexpr BackoffOptions probeBackoff = {};
/// Full jitter alone could probe again after 1 ms, while the cause of 5 failures in a row still holds.
constexpr milliseconds minProbeDelay{100};

} // namespace

bool allowsAttempt(const CircuitBreaker &breaker, MonotonicTime now)
{
    if (breaker.state == BreakerState::Closed) {
        return true;
    }
    // A half-open breaker whose probe never ends allows another one after the same delay.
    return now >= breaker.probeAt;
}

void noteAttempt(CircuitBreaker &breaker, MonotonicTime now)
{
    if (breaker.state == BreakerState::Closed || now < breaker.probeAt) {
        return;
    }
    breaker.state = BreakerState::HalfOpen;
    breaker.probeAt = now + probeBackoff.max;
}

void noteSuccess(CircuitBreaker &breaker)
{
    breaker = {};
}

void noteFailure(CircuitBreaker &breaker, MonotonicTime now, RandomState &random)
{
    ++breaker.consecutiveFailures;
    if (breaker.state == BreakerState::HalfOpen) {
        ++breaker.failedProbes;
    } else if (breaker.state == BreakerState::Open || breaker.consecutiveFailures < breakerThreshold) {
        return;
    }
    breaker.state = BreakerState::Open;
    // Attempts before the opening count as doublings, so that the first probe waits longer than a plain retry.
    const auto delay = backoffDelay(probeBackoff, breakerThreshold + breaker.failedProbes, random);
    breaker.probeAt = now + std::max(minProbeDelay, delay);
}

} // namespace wigeonkeel
