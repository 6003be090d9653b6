#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace wigeonkeel
{

/// The decimal number that the whole text is; nothing for other text and for numbers that the type doesn't hold.
template <typename Integer>
std::optional<Integer> parseInteger(std::string_view text)
{
    Integer value = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    return error == std::errc() && end == last ? std::optional(value) : std::nullopt;
}

} // namespace wigeonkeel
