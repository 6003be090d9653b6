#include "core/routing/retry_budget.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

constexpr std::int64_t costOfRetry = 1000;

} // namespace

void noteFirstAttempt(RetryBudget &budget)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + budget.earnedPerRequest);
}

bool takeRetry(RetryBudget &budget)
{
    if (budget.tokens < costOfRetry) {
        return false;
    }
    budget.tokens -= costOfRetry;
    return true;
}

} // namespace wigeonkeel
