#include "core/answer.h"

#include <array>

#include <xxhash.h>

namespace wigeonkeel
{

namespace
{

constexpr std::array<std::string_view, 5> outcomeNames = {"done", "failed", "not_run", "running", "unknown"};

} // namespace

std::string_view toString(Outcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

std::uint64_t digestOf(std::string_view result)
{
    return XXH3_64bits(result.data(), result.size());
}

std::optional<Outcome> parseOutcome(std::string_view text)
{
    for (std::size_t i = 0; i < outcomeNames.size(); ++i) {
        if (outcomeNames[i] == text) {
            return static_cast<Outcome>(i);
        }
    }
    return std::nullopt;
}

} // namespace wigeonkeel
