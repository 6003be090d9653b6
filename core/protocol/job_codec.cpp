#include "core/protocol/job_codec.h"

#include "core/hex.h"
#include "core/json_text.h"

#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t bitsPerByte = 8;

std::string hexOf(std::string_view bytes)
{
    std::string text;
    appendHex(text, bytes);
    return text;
}

/// One bit per task, lowest first, so that a job of 100,000 tasks takes 25 KB.
std::string hexOf(const std::vector<bool> &flags)
{
    std::string bytes((flags.size() + bitsPerByte - 1) / bitsPerByte, '\0');
    for (std::size_t i = 0; i < flags.size(); ++i) {
        if (flags[i]) {
            bytes[i / bitsPerByte] = static_cast<char>(bytes[i / bitsPerByte] | (1 << (i % bitsPerByte)));
        }
    }
    return hexOf(bytes);
}

bool readFlags(std::string_view text, std::size_t count, std::vector<bool> &flags)
{
    const auto bytes = bytesFromHex(text);
    if (!bytes || bytes->size() != (count + bitsPerByte - 1) / bitsPerByte) {
        return false;
    }
    flags.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        flags[i] = ((static_cast<unsigned char>((*bytes)[i / bitsPerByte]) >> (i % bitsPerByte)) & 1) != 0;
    }
    return true;
}

Json jsonOf(const Submission &submission)
{
    const Resources &size = submission.size;
    return {{"operator", submission.operatorName}, {"id", submission.id},
        {"created", submission.created.time_since_epoch().count()}, {"kind", toString(submission.kind)},
        {"urgency", submission.urgency}, {"idempotent", submission.idempotent}, {"team", submission.team},
        {"workload", submission.workload}, {"tasks", submission.taskCount},
        {"size", {size.cpuMilli, size.memoryMib, size.accelerators, size.slots}},
        {"payload", hexOf(submission.payload)}, {"run_time", submission.declaredRunTime.count()}};
}

std::optional<Submission> readSubmission(const Json &json)
{
    const auto kind = parseTaskKind(json.at("kind").get<std::string>());
    auto payload = bytesFromHex(json.at("payload").get<std::string>());
    if (!kind || !payload) {
        return std::nullopt;
    }
    const Json &size = json.at("size");
    return Submission{.operatorName = json.at("operator").get<std::string>(),
        .id = json.at("id").get<std::string>(),
        .created = WallTime(milliseconds(json.at("created").get<std::int64_t>())),
        .idempotent = json.at("idempotent").get<bool>(),
        .kind = *kind,
        .urgency = json.at("urgency").get<std::uint8_t>(),
        .team = json.at("team").get<std::string>(),
        .workload = json.at("workload").get<std::string>(),
        .taskCount = json.at("tasks").get<std::uint32_t>(),
        .size = {.cpuMilli = size.at(0).get<std::int64_t>(),
            .memoryMib = size.at(1).get<std::int64_t>(),
            .accelerators = size.at(2).get<std::int64_t>(),
            .slots = size.at(3).get<std::int64_t>()},
        .payload = std::move(*payload),
        .declaredRunTime = milliseconds(json.at("run_time").get<std::int64_t>())};
}

std::optional<JobRecord> readJob(const Json &json)
{
    auto submission = readSubmission(json.at("job"));
    const auto outcome = parseOutcome(json.at("outcome").get<std::string>());
    auto result = bytesFromHex(json.at("result").get<std::string>());
    if (!submission || !outcome || !result) {
        return std::nullopt;
    }
    JobRecord record{.submission = std::move(*submission),
        .holder = json.at("holder").get<std::string>(),
        .cancelled = json.at("cancelled").get<bool>(),
        .ended = json.at("ended").get<bool>(),
        .endedAt = WallTime(milliseconds(json.at("ended_at").get<std::int64_t>())),
        .answer = {.outcome = *outcome,
            .reason = json.at("reason").get<std::string>(),
            .result = std::move(*result),
            .digest = json.at("digest").get<std::uint64_t>()},
        .resultsOmitted = json.at("results_omitted").get<bool>()};
    const std::size_t count = record.submission.taskCount;
    if (!readFlags(json.at("done").get<std::string>(), count, record.done)
        || !readFlags(json.at("failed").get<std::string>(), count, record.failed)) {
        return std::nullopt;
    }
    for (const Json &row : json.at("results")) {
        auto bytes = bytesFromHex(row.at(1).get<std::string>());
        if (!bytes) {
            return std::nullopt;
        }
        record.results.emplace(row.at(0).get<std::uint32_t>(), std::move(*bytes));
    }
    for (const Json &row : json.at("attempts")) {
        record.attempts.emplace(row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>());
    }
    return record;
}

} // namespace

std::string encodeJob(const JobRecord &record)
{
    Json results = Json::array();
    for (const auto &[index, result] : record.results) {
        results.push_back({index, hexOf(result)});
    }
    Json attempts = Json::array();
    for (const auto &[index, count] : record.attempts) {
        attempts.push_back({index, count});
    }
    const Json json = {{"job", jsonOf(record.submission)}, {"holder", record.holder}, {"cancelled", record.cancelled},
        {"ended", record.ended}, {"ended_at", record.endedAt.time_since_epoch().count()},
        {"outcome", toString(record.answer.outcome)}, {"reason", record.answer.reason},
        {"result", hexOf(record.answer.result)}, {"digest", record.answer.digest},
        {"results_omitted", record.resultsOmitted}, {"done", hexOf(record.done)}, {"failed", hexOf(record.failed)},
        {"results", std::move(results)}, {"attempts", std::move(attempts)}};
    return dumpJson(json);
}

std::optional<JobRecord> decodeJob(std::string_view text)
{
    // The library reports wrong types by exceptions; they end here.
    try {
        return readJob(Json::parse(text));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace wigeonkeel
