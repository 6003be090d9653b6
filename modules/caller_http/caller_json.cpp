#include "modules/caller_http/caller_json.h"

#include "core/json_text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxNameLength = 200;
constexpr std::int64_t maxAmount = 1'000'000'000;
constexpr std::int64_t maxTasks = 100'000;
constexpr std::int64_t maxUrgency = 9;
constexpr milliseconds maxDuration{std::chrono::hours(24 * 366)};

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnprocessable = 422;

/// Reads fields of a JSON object and keeps the first problem.
struct FieldReader
{
    const Json &json;
    std::string &problem;

    std::string text(const char *name, bool required)
    {
        const auto found = json.find(name);
        if (found == json.end()) {
            if (required) {
                fail(fmt::format("field '{}' is missing", name));
            }
            return {};
        }
        if (!found->is_string()) {
            fail(fmt::format("field '{}': expected a string", name));
            return {};
        }
        return found->get<std::string>();
    }

    std::string name(const char *name, bool required)
    {
        std::string value = text(name, required);
        if (value.size() > maxNameLength || (required && value.empty())) {
            fail(fmt::format("field '{}': expected 1 to {} bytes", name, maxNameLength));
        }
        return value;
    }

    std::int64_t integer(const char *name, std::int64_t fallback, std::int64_t min, std::int64_t max)
    {
        const auto found = json.find(name);
        if (found == json.end()) {
            return fallback;
        }
        if (!found->is_number_integer()) {
            fail(fmt::format("field '{}': expected a whole number", name));
            return fallback;
        }
        const auto value = found->get<std::int64_t>();
        if (value < min || value > max) {
            fail(fmt::format("field '{}': expected {} to {}, found {}", name, min, max, value));
        }
        return value;
    }

    bool boolean(const char *name, bool fallback)
    {
        const auto found = json.find(name);
        if (found == json.end()) {
            return fallback;
        }
        if (!found->is_boolean()) {
            fail(fmt::format("field '{}': expected true or false", name));
            return fallback;
        }
        return found->get<bool>();
    }

    void fail(std::string text)
    {
        if (problem.empty()) {
            problem = std::move(text);
        }
    }
};

Resources readSize(FieldReader &fields)
{
    const auto found = fields.json.find("size");
    if (found == fields.json.end()) {
        return {.cpuMilli = 100, .memoryMib = 64, .accelerators = 0, .slots = 1};
    }
    if (!found->is_object()) {
        fields.fail("field 'size': expected an object");
        return {};
    }
    FieldReader size{*found, fields.problem};
    return {.cpuMilli = size.integer("cpu_milli", 0, 0, maxAmount),
        .memoryMib = size.integer("memory_mib", 0, 0, maxAmount),
        .accelerators = size.integer("accelerators", 0, 0, maxAmount),
        .slots = size.integer("slots", 0, 0, maxAmount)};
}

TaskKind readKind(FieldReader &fields)
{
    if (!fields.json.contains("kind")) {
        return TaskKind::Request;
    }
    const std::string text = fields.text("kind", true);
    const auto kind = parseTaskKind(text);
    if (!kind) {
        fields.fail(
            fmt::format("field 'kind': expected request, service, gang or batch, found '{}'", text.substr(0, 40)));
    }
    return kind.value_or(TaskKind::Request);
}

GivenFields readGiven(const Json &json)
{
    return {.kind = json.contains("kind"),
        .urgency = json.contains("urgency"),
        .idempotent = json.contains("idempotent"),
        .size = json.contains("size"),
        .runTime = json.contains("run_ms"),
        .startWithin = json.contains("start_within_ms"),
        .tasks = json.contains("tasks"),
        .team = json.contains("team")};
}

} // namespace

std::optional<SubmitEvent> decodeSubmission(std::string_view text, std::string &problem)
{
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        problem = "the body is not a JSON object";
        return std::nullopt;
    }
    FieldReader fields{json, problem};
    SubmitEvent event;
    Submission &submission = event.submission;
    submission.operatorName = fields.name("operator", true);
    submission.id = fields.name("id", true);
    submission.created = WallTime(milliseconds(fields.integer("created_ms", 0, 0, INT64_MAX)));
    submission.attempt = static_cast<std::uint32_t>(fields.integer("attempt", 0, 0, 1'000'000));
    submission.idempotent = fields.boolean("idempotent", false);
    submission.kind = readKind(fields);
    submission.urgency = static_cast<std::uint8_t>(fields.integer("urgency", 0, 0, maxUrgency));
    submission.team = fields.name("team", false);
    submission.workload = fields.name("workload", false);
    submission.taskCount = static_cast<std::uint32_t>(fields.integer("tasks", 1, 1, maxTasks));
    submission.size = readSize(fields);
    submission.payload = fields.text("payload", false);
    submission.declaredRunTime = milliseconds(fields.integer("run_ms", 0, 0, maxDuration.count()));
    submission.startWithin = milliseconds(fields.integer("start_within_ms", 0, 0, maxDuration.count()));
    event.given = readGiven(json);
    event.wait = fields.boolean("wait", true);
    if (!problem.empty()) {
        return std::nullopt;
    }
    return event;
}

std::string encodeAnswer(const Answer &answer)
{
    Json json = {{"outcome", toString(answer.outcome)}};
    if (!answer.reason.empty()) {
        json["reason"] = answer.reason;
    }
    if (answer.outcome == Outcome::Done || answer.outcome == Outcome::Failed) {
        json["result"] = answer.result;
        json["length"] = answer.result.size();
        json["digest"] = fmt::format("{:016x}", answer.digest);
    }
    if (!answer.worker.empty()) {
        json["worker"] = answer.worker;
    }
    if (answer.retryAfter.count() > 0) {
        json["retry_after_ms"] = answer.retryAfter.count();
    }
    return dumpJson(json);
}

int statusOf(const Answer &answer)
{
    switch (answer.outcome) {
    case Outcome::Done:
    case Outcome::Failed:
    case Outcome::Unknown:
        return statusOk;
    case Outcome::Running:
        return statusAccepted;
    case Outcome::NotRun:
        return answer.retryAfter.count() > 0 ? statusTooManyRequests : statusUnprocessable;
    }
    return statusOk;
}

} // namespace wigeonkeel
