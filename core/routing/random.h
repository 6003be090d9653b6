#pragma once

#include <cstdint>

namespace wigeonkeel
{

/// Seeded generator that the caller keeps, so that tests repeat the same choices. SplitMix64: one word of state.
struct RandomState
{
    std::uint64_t value = 0;
};

std::uint64_t nextRandom(RandomState &random);

/// Evenly distributed in [0, bound); 0 if the bound is 0.
std::uint64_t randomBelow(RandomState &random, std::uint64_t bound);

} // namespace wigeonkeel
