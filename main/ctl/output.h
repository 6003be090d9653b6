#pragma once

#include "main/ctl/context.h"
#include "main/ctl/transport.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace wigeonkeel
{

/// Columns of a table of a JSON page: heading and the field's path, such as "free/slots".
struct Column
{
    std::string_view heading;
    const char *field;
};

/// Exit code for an operator interface's answer.
int exitCodeOf(const CtlResponse &response);

/// Prints the error of an answer, if there is one: text on standard error, or JSON on standard output. True if printed.
bool printError(const CtlContext &context, const CtlResponse &response);

/// Text of a JSON value; "-" for null and absent ones.
std::string cell(const nlohmann::json &row, const char *field);

/// Prints rows as aligned columns.
void printTable(const nlohmann::json &rows, const std::vector<Column> &columns);

/// Parses a body; a null value if it is not JSON.
nlohmann::json parseBody(const CtlResponse &response);

/// Time in UTC, "2026-01-31T12:00:00Z".
std::string timeText(std::int64_t millisecondsSinceEpoch);

} // namespace wigeonkeel
