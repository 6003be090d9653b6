#pragma once

#include "core/clock.h"
#include "core/routing/random.h"

namespace wigeonkeel
{

struct BackoffOptions
{
    milliseconds base{20};
    milliseconds max{2000};
};

/// Delay before a retry: evenly distributed between 0 and min(max, base * 2^attempt), with at least 1 ms. The first
/// retry has attempt 0. Full jitter spreads the retries of callers that failed at the same moment.
milliseconds backoffDelay(const BackoffOptions &options, std::uint32_t attempt, RandomState &random);

} // namespace wigeonkeel
