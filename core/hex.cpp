#include "core/hex.h"

#include <charconv>
#include <cstdint>

namespace wigeonkeel
{

void appendHex(std::string &text, std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4]);
        text.push_back(digits[value & 0xf]);
    }
}

std::optional<std::string> bytesFromHex(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        std::uint8_t value = 0;
        const char *end = text.data() + i + 2;
        if (std::from_chars(text.data() + i, end, value, 16).ptr != end) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(value));
    }
    return text.size() % 2 == 0 ? std::optional(std::move(bytes)) : std::nullopt;
}

} // namespace wigeonkeel
