#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace wigeonkeel
{

/// Deepest nesting of a text that is decoded; the deepest message has 8 levels. nlohmann_json copies and writes values
/// by recursion, so that a text of 200 kB of brackets overflows the stack.
inline constexpr std::size_t maxJsonDepth = 64;
/// Problems quote the text that they found, which may be of any length.
inline constexpr std::size_t maxProblemBytes = 200;

/// Values that a field may have, both ends included.
struct IntegerRange
{
    std::int64_t least = 0;
    std::int64_t most = 0;
};

inline constexpr IntegerRange portRange{.least = 1, .most = UINT16_MAX};
inline constexpr IntegerRange countRange{.least = 0, .most = UINT32_MAX};
/// Revisions, fencing tokens and other numbers that another side gives.
inline constexpr IntegerRange numberRange{.least = 0, .most = INT64_MAX};
/// Amounts of a resource: sums over all workers stay far below 2^63.
inline constexpr IntegerRange amountRange{.least = 0, .most = std::int64_t{1} << 40};
/// Limits that an operator sets on amounts; up to 2^53, all whole numbers of other JSON writers are exact.
inline constexpr IntegerRange tenantCapRange{.least = 0, .most = std::int64_t{1} << 53};
/// 2^40 ms are 34 years; as nanoseconds of a monotonic clock, a few of them can still be added.
inline constexpr IntegerRange durationRange{.least = 0, .most = std::int64_t{1} << 40};
/// Unix milliseconds up to the end of the year 9999, and clocks that count milliseconds from a start.
inline constexpr IntegerRange clockRange{.least = 0, .most = 253402300799999};

/// A value that is out of range or of another type. Thrown by the readers below; it ends in decodeJson().
struct JsonValueError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// JSON on one line. Bytes that are not UTF-8 are replaced: nlohmann_json would throw.
inline std::string dumpJson(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// The text for a log line: at most `maxBytes` of it, with `?` for each byte that is not printable ASCII.
std::string printableText(std::string_view text, std::size_t maxBytes);

/// Throws JsonValueError if the text nests deeper than `maxJsonDepth`, and nlohmann::json::exception for bad syntax.
nlohmann::json parseJson(std::string_view text);

/// A whole number in the range; 4000.0 is one. Throws JsonValueError that names the field and the range.
std::int64_t readInteger(const nlohmann::json &value, std::string_view name, IntegerRange range);

/// Like readInteger() for a field of an object; `otherwise` if there is no such field.
std::int64_t integerOr(const nlohmann::json &object, const char *name, std::int64_t otherwise, IntegerRange range);

/// A number in the range; neither infinite nor no number. Throws JsonValueError that names the field and the range.
double readReal(const nlohmann::json &value, std::string_view name, double least, double most);

/// Like readReal() for a field of an object; `otherwise` if there is no such field.
double realOr(const nlohmann::json &object, const char *name, double otherwise, double least, double most);

/// Milliseconds; fractions are rounded towards zero. Throws JsonValueError that names the field and the range.
milliseconds readMillis(const nlohmann::json &value, std::string_view name, IntegerRange range = durationRange);

/// Like readMillis() for a field of an object; `otherwise` if there is no such field.
milliseconds millisOr(const nlohmann::json &object, const char *name, milliseconds otherwise = milliseconds(0),
    IntegerRange range = durationRange);

/// A count of 32 bits; see readInteger().
inline std::uint32_t readCount(const nlohmann::json &value, std::string_view name)
{
    return static_cast<std::uint32_t>(readInteger(value, name, countRange));
}

/// A count of 32 bits; see integerOr().
inline std::uint32_t countOr(const nlohmann::json &object, const char *name, std::uint32_t otherwise)
{
    return static_cast<std::uint32_t>(integerOr(object, name, otherwise, countRange));
}

/// A number that another side gives; see integerOr().
inline std::uint64_t numberOr(const nlohmann::json &object, const char *name, std::uint64_t otherwise)
{
    return static_cast<std::uint64_t>(integerOr(object, name, static_cast<std::int64_t>(otherwise), numberRange));
}

/// A list of counts. Throws JsonValueError if it is no list or if one is out of range.
std::vector<std::uint32_t> readCounts(const nlohmann::json &list, std::string_view name);

/// Like readCounts() for a field of an object; empty if there is no such field.
std::vector<std::uint32_t> countsOf(const nlohmann::json &object, const char *name);

/// Hands a value to `read`. Errors of type and range are reported by exceptions; they end here as a problem for the
/// sender, of at most `maxProblemBytes`.
template <typename Message, typename Read>
std::optional<Message> decodeValue(const nlohmann::json &value, std::string &problem, Read read)
{
    try {
        return read(value);
    } catch (const std::exception &error) {
        problem = printableText(error.what(), maxProblemBytes);
        return std::nullopt;
    }
}

/// Parses a text and hands it to `read`. Errors of syntax end as those of decodeValue().
template <typename Message, typename Read>
std::optional<Message> decodeJson(std::string_view text, std::string &problem, Read read)
{
    try {
        return decodeValue<Message>(parseJson(text), problem, read);
    } catch (const std::exception &error) {
        problem = printableText(error.what(), maxProblemBytes);
        return std::nullopt;
    }
}

} // namespace wigeonkeel
