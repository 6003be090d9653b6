#include "core/config/config_record_json.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

Json encodeEntry(const AuditEntry &entry)
{
    return {{"at_ms", entry.at.time_since_epoch().count()}, {"author", entry.author}, {"action", entry.action},
        {"write_id", entry.writeId}, {"generation_before", entry.generationBefore},
        {"generation_after", entry.generationAfter}, {"refusal", entry.refusal}, {"difference", entry.difference}};
}

std::string textOf(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

template <typename Integer>
Integer integerOf(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_number_integer() ? found->get<Integer>() : Integer(0);
}

AuditEntry decodeEntry(const Json &json)
{
    return {.at = WallTime(milliseconds(integerOf<std::int64_t>(json, "at_ms"))),
        .author = textOf(json, "author"),
        .action = textOf(json, "action"),
        .writeId = textOf(json, "write_id"),
        .generationBefore = integerOf<std::uint64_t>(json, "generation_before"),
        .generationAfter = integerOf<std::uint64_t>(json, "generation_after"),
        .refusal = textOf(json, "refusal"),
        .difference = textOf(json, "difference")};
}

} // namespace

std::string encodeOperatorRecord(const OperatorRecord &record)
{
    Json audit = Json::array();
    for (const AuditEntry &entry : record.audit) {
        audit.push_back(encodeEntry(entry));
    }
    const Json json = {{"generation", record.generation}, {"state", record.cancelled ? "cancelled" : "active"},
        {"settings", record.settings}, {"audit", std::move(audit)}};
    // Settings are checked UTF-8; only a difference that was cut inside a character is changed by `replace`.
    return dumpJson(json);
}

std::optional<OperatorRecord> decodeOperatorRecord(std::string_view text, std::string &problem)
{
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        problem = "expected a JSON object";
        return std::nullopt;
    }
    const auto generation = json.find("generation");
    const auto settings = json.find("settings");
    const std::string state = textOf(json, "state");
    if (generation == json.end() || !generation->is_number_unsigned()) {
        problem = "field 'generation': expected a whole number of at least 0";
        return std::nullopt;
    }
    if (settings == json.end() || !settings->is_string()) {
        problem = "field 'settings': expected a text";
        return std::nullopt;
    }
    if (state != "active" && state != "cancelled") {
        problem = "field 'state': expected 'active' or 'cancelled'";
        return std::nullopt;
    }
    OperatorRecord record{.generation = generation->get<std::uint64_t>(),
        .cancelled = state == "cancelled",
        .settings = settings->get<std::string>(),
        .audit = {}};
    const auto audit = json.find("audit");
    if (audit != json.end() && audit->is_array()) {
        for (const Json &entry : *audit) {
            record.audit.push_back(decodeEntry(entry));
        }
    }
    return record;
}

} // namespace wigeonkeel
