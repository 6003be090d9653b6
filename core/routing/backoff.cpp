#include "core/routing/backoff.h"

#include <algorithm>

namespace wigeonkeel
{

milliseconds backoffDelay(const BackoffOptions &options, std::uint32_t attempt, RandomState &random)
{
    // 2^20 times any base above 0 is larger than any limit in use; more would overflow the shift.
    const std::uint32_t exponent = std::min<std::uint32_t>(attempt, 20);
    const auto ceiling = std::min<std::int64_t>(options.max.count(), options.base.count() << exponent);
    const auto delay = randomBelow(random, static_cast<std::uint64_t>(std::max<std::int64_t>(ceiling, 1)) + 1);
    return milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(delay)));
}

} // namespace wigeonkeel
