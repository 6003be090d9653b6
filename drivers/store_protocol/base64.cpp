#include "drivers/store_protocol/base64.h"

#include <cstdint>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t groupBytes = 3;
constexpr std::size_t groupDigits = 4;

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / groupBytes * groupDigits);
    for (std::size_t at = 0; at < bytes.size(); at += groupBytes) {
        const std::string_view group = bytes.substr(at, groupBytes);
        std::uint32_t bits = 0;
        for (std::size_t i = 0; i < groupBytes; ++i) {
            bits = (bits << 8) | (i < group.size() ? static_cast<unsigned char>(group[i]) : 0U);
        }
        for (std::size_t i = 0; i < groupDigits; ++i) {
            text += i <= group.size() ? alphabet[(bits >> (18 - 6 * i)) & 63U] : '=';
        }
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % groupDigits != 0) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / groupDigits * groupBytes);
    for (std::size_t at = 0; at < text.size(); at += groupDigits) {
        std::string_view group = text.substr(at, groupDigits);
        if (at + groupDigits == text.size()) {
            group = group.substr(0, group.find_last_not_of('=') + 1);
        }
        if (group.size() < 2) {
            return std::nullopt;
        }
        std::uint32_t bits = 0;
        for (std::size_t i = 0; i < groupDigits; ++i) {
            const std::size_t digit = i < group.size() ? alphabet.find(group[i]) : 0;
            if (digit == std::string_view::npos) {
                return std::nullopt;
            }
            bits = (bits << 6) | static_cast<std::uint32_t>(digit);
        }
        for (std::size_t i = 0; i + 1 < group.size(); ++i) {
            bytes += static_cast<char>((bits >> (16 - 8 * i)) & 255U);
        }
    }
    return bytes;
}

} // namespace wigeonkeel
