#include "core/json_text.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

/// Whole numbers up to here are exact as floating-point numbers.
constexpr double maxExactReal = 9007199254740992.0;

/// Most brackets that are open at a time. The text need not be valid JSON.
std::size_t nestingDepth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (inString) {
            i += character == '\\' ? 1 : 0;
            inString = character != '"';
        } else if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            deepest = std::max(deepest, ++depth);
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

template <typename Number>
[[noreturn]] void throwOutOfRange(std::string_view name, Number least, Number most, const Json &found)
{
    throw JsonValueError(fmt::format("{}: expected a number from {} to {}, found {}", name, least, most,
        found.is_primitive() ? dumpJson(found) : found.type_name()));
}

/// Null if the object has no such field.
const Json *findField(const Json &object, const char *name)
{
    if (!object.is_object()) {
        throw JsonValueError(fmt::format("{}: expected an object that holds it, found {}", name, object.type_name()));
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

bool isIn(std::int64_t number, IntegerRange range)
{
    return number >= range.least && number <= range.most;
}

/// Nothing for other types and for numbers that 64 bits don't hold exactly.
std::optional<std::int64_t> wholeNumber(const Json &value)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        return number <= static_cast<std::uint64_t>(INT64_MAX) ? std::optional(static_cast<std::int64_t>(number))
                                                               : std::nullopt;
    }
    if (value.is_number_integer()) {
        return value.get<std::int64_t>();
    }
    if (value.is_number_float()) {
        const auto number = value.get<double>();
        if (std::abs(number) <= maxExactReal && std::trunc(number) == number) {
            return static_cast<std::int64_t>(number);
        }
    }
    return std::nullopt;
}

} // namespace

std::string printableText(std::string_view text, std::size_t maxBytes)
{
    std::string result(text.substr(0, maxBytes));
    std::ranges::replace_if(
        result, [](char character) { return character < ' ' || character > '~'; }, '?');
    return result;
}

nlohmann::json parseJson(std::string_view text)
{
    const std::size_t depth = nestingDepth(text);
    if (depth > maxJsonDepth) {
        throw JsonValueError(fmt::format("expected at most {} levels of nesting, found {}", maxJsonDepth, depth));
    }
    return Json::parse(text);
}

std::int64_t readInteger(const nlohmann::json &value, std::string_view name, IntegerRange range)
{
    const auto number = wholeNumber(value);
    if (!number || !isIn(*number, range)) {
        throwOutOfRange(name, range.least, range.most, value);
    }
    return *number;
}

std::int64_t integerOr(const nlohmann::json &object, const char *name, std::int64_t otherwise, IntegerRange range)
{
    const Json *field = findField(object, name);
    return field == nullptr ? otherwise : readInteger(*field, name, range);
}

double realOr(const nlohmann::json &object, const char *name, double otherwise, double least, double most)
{
    const Json *field = findField(object, name);
    return field == nullptr ? otherwise : readReal(*field, name, least, most);
}

double readReal(const nlohmann::json &value, std::string_view name, double least, double most)
{
    const double number = value.is_number() ? value.get<double>() : std::nan("");
    // Not a number compares as false.
    if (!(number >= least && number <= most)) {
        throwOutOfRange(name, least, most, value);
    }
    return number;
}

milliseconds readMillis(const nlohmann::json &value, std::string_view name, IntegerRange range)
{
    if (value.is_number_float()) {
        const double number = std::trunc(value.get<double>());
        if (!(std::abs(number) <= maxExactReal) || !isIn(static_cast<std::int64_t>(number), range)) {
            throwOutOfRange(name, range.least, range.most, value);
        }
        return milliseconds(static_cast<std::int64_t>(number));
    }
    return milliseconds(readInteger(value, name, range));
}

milliseconds millisOr(const nlohmann::json &object, const char *name, milliseconds otherwise, IntegerRange range)
{
    const Json *field = findField(object, name);
    return field == nullptr ? otherwise : readMillis(*field, name, range);
}

std::vector<std::uint32_t> readCounts(const nlohmann::json &list, std::string_view name)
{
    if (!list.is_array()) {
        throw JsonValueError(fmt::format("{}: expected a list, found {}", name, list.type_name()));
    }
    std::vector<std::uint32_t> counts;
    for (const Json &count : list) {
        counts.push_back(readCount(count, name));
    }
    return counts;
}

std::vector<std::uint32_t> countsOf(const nlohmann::json &object, const char *name)
{
    const Json *field = findField(object, name);
    return field == nullptr ? std::vector<std::uint32_t>{} : readCounts(*field, name);
}

} // namespace wigeonkeel
