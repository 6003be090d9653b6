#pragma once

#include "drivers/http/http_server.h"

#include <cstdint>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace wigeonkeel
{

/// Answers with `{"error": problem}`.
void replyError(HttpServer &server, HttpToken token, int status, std::string_view problem);

/// A whole number of the query; 0 if it is missing or no number.
std::int64_t queryInteger(const HttpRequest &request, std::string_view name);

/// Fields of a control request. A field that is missing or of another type leaves the value as it is.
void readField(const nlohmann::json &json, const char *name, bool &value);
void readField(const nlohmann::json &json, const char *name, std::uint32_t &value);
void readField(const nlohmann::json &json, const char *name, std::uint64_t &value);
void readField(const nlohmann::json &json, const char *name, milliseconds &value);

} // namespace wigeonkeel
