#pragma once

#include <cstdint>

namespace wigeonkeel
{

/// Token bucket that limits retries to a share of first attempts, so that a failing peer is not given a multiple of
/// its usual load. Counted in thousandths of a retry.
struct RetryBudget
{
    /// Added by each first attempt: 10%.
    std::int64_t earnedPerRequest = 100;
    /// Limit of what quiet times can save up: 10 retries.
    std::int64_t capacity = 10000;
    std::int64_t tokens = 10000;
};

void noteFirstAttempt(RetryBudget &budget);

/// Takes one retry from the budget. False if none is left; nothing is taken then.
bool takeRetry(RetryBudget &budget);

} // namespace wigeonkeel
