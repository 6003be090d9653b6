#include "core/ids.h"

#include <charconv>

#include <fmt/format.h>
#include <xxhash.h>

namespace wigeonkeel
{

namespace
{

constexpr std::size_t hexDigitsPerWord = 16;
constexpr std::size_t requestKeyLength = 2 * hexDigitsPerWord;

std::optional<std::uint64_t> parseHexWord(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

RequestKey makeRequestKey(std::string_view operatorName, std::string_view callerId)
{
    // The zero byte keeps ("ab", "c") and ("a", "bc") apart.
    std::string joined;
    joined.reserve(operatorName.size() + 1 + callerId.size());
    joined.append(operatorName).push_back('\0');
    joined.append(callerId);
    const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
    return {.high = hash.high64, .low = hash.low64};
}

std::uint32_t partitionOf(const RequestKey &key)
{
    return static_cast<std::uint32_t>(key.low % partitionCount);
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string toString(const RequestKey &key)
{
    return fmt::format("{:016x}{:016x}", key.high, key.low);
}

std::string toString(const TaskId &id)
{
    if (id == ownerTaskId) {
        return "owner";
    }
    return fmt::format("{}.{}", toString(id.job), id.index);
}

std::optional<RequestKey> parseRequestKey(std::string_view text)
{
    if (text.size() != requestKeyLength) {
        return std::nullopt;
    }
    const auto high = parseHexWord(text.substr(0, hexDigitsPerWord));
    const auto low = parseHexWord(text.substr(hexDigitsPerWord));
    if (!high || !low) {
        return std::nullopt;
    }
    return RequestKey{.high = *high, .low = *low};
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    if (text == "owner") {
        return ownerTaskId;
    }
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto key = parseRequestKey(text.substr(0, dot));
    std::uint32_t index = 0;
    const std::string_view digits = text.substr(dot + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
    if (!key || digits.empty() || error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return TaskId{.job = *key, .index = index};
}

} // namespace wigeonkeel
