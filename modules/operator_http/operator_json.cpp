#include "modules/operator_http/operator_json.h"

#include "core/json_text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t maxWaitMs = 600'000;

struct ErrorRow
{
    Errc code;
    std::string_view name;
    int status;
};

constexpr ErrorRow errorRows[] = {
    {Errc::Ok, "ok", 200},
    {Errc::InvalidArgument, "invalid", 422},
    {Errc::TooLarge, "too_large", 413},
    {Errc::Refused, "refused", 409},
    {Errc::Conflict, "conflict", 409},
    {Errc::NotFound, "not_found", 404},
    {Errc::Overloaded, "overloaded", 429},
    {Errc::Unavailable, "unavailable", 503},
    {Errc::Unauthorized, "unauthorized", 401},
    {Errc::Malformed, "malformed", 400},
    {Errc::OutcomeUnknown, "outcome_unknown", 504},
};

const ErrorRow &rowOf(const Error &error)
{
    static constexpr ErrorRow other{Errc::Unavailable, "failed", 500};
    for (const ErrorRow &row : errorRows) {
        if (error.code == row.code || (row.code == Errc::Ok && !error)) {
            return row;
        }
    }
    return other;
}

Json toJson(const Error &error)
{
    return {{"code", rowOf(error).name}, {"text", describe(error)}};
}

Json toJson(const AuditEntry &entry)
{
    Json json = {{"at_ms", entry.at.time_since_epoch().count()}, {"author", entry.author}, {"action", entry.action},
        {"write_id", entry.writeId}, {"generation_before", entry.generationBefore},
        {"generation_after", entry.generationAfter}};
    if (!entry.refusal.empty()) {
        json["refusal"] = entry.refusal;
    }
    if (!entry.difference.empty()) {
        json["difference"] = entry.difference;
    }
    return json;
}

/// Reads a text field; an absent one is empty. Sets the problem if the field is of another type.
std::string readText(const Json &json, const char *name, std::string &problem)
{
    const auto found = json.find(name);
    if (found == json.end()) {
        return {};
    }
    if (!found->is_string()) {
        problem = fmt::format("field '{}': expected a string", name);
        return {};
    }
    return found->get<std::string>();
}

std::int64_t readNumber(const Json &json, const char *name, std::int64_t max, std::string &problem)
{
    const auto found = json.find(name);
    if (found == json.end()) {
        return 0;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < 0 || found->get<std::int64_t>() > max) {
        problem = fmt::format("field '{}': expected a whole number from 0 to {}", name, max);
        return 0;
    }
    return found->get<std::int64_t>();
}

} // namespace

std::optional<OperatorEvent> decodeChange(OperatorCommandKind kind, std::string_view text, std::string &problem)
{
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        problem = "the body is not a JSON object";
        return std::nullopt;
    }
    for (const char *name : {"based_on", "write_id"}) {
        if (!json.contains(name)) {
            problem = fmt::format("field '{}' is missing", name);
        }
    }
    if (kind == OperatorCommandKind::Apply && !json.contains("settings")) {
        problem = "field 'settings' is missing";
    }
    OperatorEvent event{.kind = kind,
        .author = readText(json, "author", problem),
        .settings = readText(json, "settings", problem),
        .basedOn = static_cast<std::uint64_t>(readNumber(json, "based_on", INT64_MAX, problem)),
        .writeId = readText(json, "write_id", problem),
        .waitFor = milliseconds(readNumber(json, "wait_ms", maxWaitMs, problem))};
    if (!problem.empty()) {
        return std::nullopt;
    }
    return event;
}

std::string encodeOperatorReply(const OperatorReply &reply)
{
    Json json = {{"generation", reply.generation}, {"state", reply.cancelled ? "cancelled" : "active"},
        {"revision", reply.revision}, {"from_memory", reply.fromMemory}};
    if (reply.error) {
        json["error"] = toJson(reply.error);
    }
    if (!reply.settings.empty()) {
        json["settings"] = reply.settings;
    }
    for (const SettingProblem &problem : reply.problems) {
        json["problems"].push_back({{"line", problem.line}, {"text", problem.text}});
    }
    for (const AuditEntry &entry : reply.history) {
        json["history"].push_back(toJson(entry));
    }
    json["pending_daemons"] = reply.pendingDaemons;
    return dumpJson(json);
}

std::string encodeError(const Error &error)
{
    return dumpJson({{"error", toJson(error)}});
}

std::string_view errorName(const Error &error)
{
    return rowOf(error).name;
}

int statusOf(const Error &error)
{
    return rowOf(error).status;
}

} // namespace wigeonkeel
