#include "standins/json_reply.h"

#include "core/json_text.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

template <typename Number>
void readNumber(const Json &json, const char *name, Number &value)
{
    const auto found = json.find(name);
    if (found != json.end() && found->is_number_unsigned()) {
        value = found->get<Number>();
    }
}

} // namespace

void replyError(HttpServer &server, HttpToken token, int status, std::string_view problem)
{
    const std::string body = dumpJson({{"error", problem}});
    server.reply(token, {.status = status, .body = body});
}

std::int64_t queryInteger(const HttpRequest &request, std::string_view name)
{
    const auto found = request.query.find(name);
    std::int64_t value = 0;
    if (found != request.query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    }
    return value;
}

void readField(const Json &json, const char *name, bool &value)
{
    const auto found = json.find(name);
    if (found != json.end() && found->is_boolean()) {
        value = found->get<bool>();
    }
}

void readField(const Json &json, const char *name, std::uint32_t &value)
{
    readNumber(json, name, value);
}

void readField(const Json &json, const char *name, std::uint64_t &value)
{
    readNumber(json, name, value);
}

void readField(const Json &json, const char *name, milliseconds &value)
{
    std::uint32_t count = static_cast<std::uint32_t>(value.count());
    readNumber(json, name, count);
    value = milliseconds(count);
}

} // namespace wigeonkeel
