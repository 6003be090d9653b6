#include "main/ctl/output.h"

#include <algorithm>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr int statusMultipleChoices = 300;

} // namespace

nlohmann::json parseBody(const CtlResponse &response)
{
    nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
    return json.is_discarded() || !json.is_object() ? nlohmann::json() : json;
}

int exitCodeOf(const CtlResponse &response)
{
    if (response.error) {
        return response.error.code == Errc::OutcomeUnknown ? exitUnknown : exitUnreachable;
    }
    if (response.status < statusMultipleChoices) {
        return parseBody(response).is_null() ? exitUnknown : exitDone;
    }
    const nlohmann::json body = parseBody(response);
    const std::string code = body.is_null() ? "" : cell(body, "error/code");
    if (code == "outcome_unknown") {
        return exitUnknown;
    }
    return code == "unavailable" || code == "overloaded" ? exitUnreachable : exitRefused;
}

bool printError(const CtlContext &context, const CtlResponse &response)
{
    if (exitCodeOf(response) == exitDone) {
        return false;
    }
    if (context.json && response.status != 0 && !response.error) {
        fmt::print("{}\n", response.body);
        return true;
    }
    if (response.error) {
        fmt::print(stderr, "wigeonkeelctl: {}\n", describe(response.error));
        return true;
    }
    const nlohmann::json body = parseBody(response);
    fmt::print(stderr, "wigeonkeelctl: {}\n",
        body.is_null() ? fmt::format("unexpected answer with status {}", response.status) : cell(body, "error/text"));
    return true;
}

std::string cell(const nlohmann::json &row, const char *field)
{
    const nlohmann::json::json_pointer path(std::string("/") + field);
    if (!row.contains(path) || row.at(path).is_null()) {
        return "-";
    }
    const nlohmann::json &value = row.at(path);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printTable(const nlohmann::json &rows, const std::vector<Column> &columns)
{
    std::vector<std::size_t> widths;
    for (const Column &column : columns) {
        std::size_t width = column.heading.size();
        for (const nlohmann::json &row : rows) {
            width = std::max(width, cell(row, column.field).size());
        }
        widths.push_back(width);
    }
    for (std::size_t i = 0; i < columns.size(); ++i) {
        fmt::print("{:<{}}{}", columns[i].heading, widths[i], i + 1 < columns.size() ? "  " : "\n");
    }
    for (const nlohmann::json &row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            fmt::print("{:<{}}{}", cell(row, columns[i].field), widths[i], i + 1 < columns.size() ? "  " : "\n");
        }
    }
}

std::string timeText(std::int64_t millisecondsSinceEpoch)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
        std::chrono::floor<std::chrono::seconds>(WallTime(milliseconds(millisecondsSinceEpoch))));
}

} // namespace wigeonkeel
