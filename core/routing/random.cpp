#include "core/routing/random.h"

namespace wigeonkeel
{

std::uint64_t nextRandom(RandomState &random)
{
    random.value += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random.value;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

std::uint64_t randomBelow(RandomState &random, std::uint64_t bound)
{
    // The bias of the remainder is below 2^-32 for the bounds in use (delays in milliseconds, numbers of peers).
    return bound == 0 ? 0 : nextRandom(random) % bound;
}

} // namespace wigeonkeel
