#include "core/resources.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

std::string describe(const Resources &amount)
{
    return fmt::format("{}m cpu, {} MiB, {} accelerators, {} slots", amount.cpuMilli, amount.memoryMib,
        amount.accelerators, amount.slots);
}

double dominantShare(const Resources &amount, const Resources &capacity)
{
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    return std::max({share(amount.cpuMilli, capacity.cpuMilli), share(amount.memoryMib, capacity.memoryMib),
        share(amount.accelerators, capacity.accelerators), share(amount.slots, capacity.slots)});
}

} // namespace wigeonkeel
