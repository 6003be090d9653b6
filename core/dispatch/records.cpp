#include "core/dispatch/records.h"

#include "core/json_text.h"
#include "core/number_text.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

using Json = nlohmann::json;

constexpr IntegerRange microsRange{.least = 0, .most = durationRange.most * 1000};
/// Bits of the `flags` field of a stored step.
constexpr std::uint32_t flagCheckpointed = 1;
constexpr std::uint32_t flagGang = 2;
constexpr std::uint32_t flagSameRack = 4;
constexpr std::uint32_t flagSpeculative = 8;
constexpr std::uint32_t flagLongRunning = 16;
constexpr std::uint32_t flagUsesIdleCpu = 32;

std::uint32_t flagsOf(const StepSpec &step)
{
    std::uint32_t flags = step.checkpointed ? flagCheckpointed : 0;
    flags |= step.gang ? flagGang : 0;
    flags |= step.sameRack ? flagSameRack : 0;
    flags |= step.speculative ? flagSpeculative : 0;
    flags |= step.longRunning ? flagLongRunning : 0;
    flags |= step.usesIdleCpu ? flagUsesIdleCpu : 0;
    return flags;
}

Json toJson(const StepSpec &step)
{
    Json json = {{"n", step.count}, {"cpu", step.size.cpuMilli}, {"mem", step.size.memoryMib},
        {"est", step.estimate.count()}, {"flags", flagsOf(step)}};
    if (step.size.accelerators != 0) {
        json["acc"] = step.size.accelerators;
    }
    if (!step.after.empty()) {
        json["after"] = step.after;
    }
    if (!step.requiredLabel.empty()) {
        json["label"] = step.requiredLabel;
    }
    if (!step.dataRack.empty()) {
        json["rack"] = step.dataRack;
    }
    if (step.maxPerWorker != 0) {
        json["spread"] = step.maxPerWorker;
    }
    if (!step.image.empty()) {
        json["image"] = step.image;
    }
    if (step.tailTarget.count() != 0) {
        json["tail"] = step.tailTarget.count();
    }
    if (step.maxUnavailable != 0) {
        json["away"] = step.maxUnavailable;
    }
    return json;
}

StepSpec stepFromJson(const Json &json)
{
    const auto flags = readCount(json.at("flags"), "flags");
    return {.count = readCount(json.at("n"), "n"),
        .size = {.cpuMilli = readInteger(json.at("cpu"), "cpu", amountRange),
            .memoryMib = readInteger(json.at("mem"), "mem", amountRange),
            .accelerators = integerOr(json, "acc", 0, amountRange)},
        .estimate = readMillis(json.at("est"), "est"),
        .after = countsOf(json, "after"),
        .requiredLabel = json.value("label", std::string()),
        .dataRack = json.value("rack", std::string()),
        .maxPerWorker = countOr(json, "spread", 0),
        .checkpointed = (flags & flagCheckpointed) != 0,
        .gang = (flags & flagGang) != 0,
        .sameRack = (flags & flagSameRack) != 0,
        .speculative = (flags & flagSpeculative) != 0,
        .longRunning = (flags & flagLongRunning) != 0,
        .usesIdleCpu = (flags & flagUsesIdleCpu) != 0,
        .image = json.value("image", std::string()),
        .tailTarget = millisOr(json, "tail"),
        .maxUnavailable = countOr(json, "away", 0)};
}

Json toJson(const QueueConfig &queue)
{
    Json json = {{"name", queue.name}, {"pool", queue.pool}, {"prio", queue.priority}, {"tries", queue.maxAttempts},
        {"stretch", queue.stretch}, {"target", queue.target.count()}};
    if (queue.advice) {
        json["advice"]
            = {queue.advice->base.count(), queue.advice->perWorker.count(), queue.advice->ticketValidity.count()};
    }
    return json;
}

QueueConfig queueFromJson(const Json &json)
{
    QueueConfig queue{.name = json.at("name").get<std::string>(),
        .host = {},
        .pathPrefix = {},
        .pool = json.at("pool").get<std::string>(),
        .priority = readCount(json.at("prio"), "prio"),
        .maxAttempts = readCount(json.at("tries"), "tries"),
        .stretch = readReal(json.at("stretch"), "stretch", 0.0, maxStretch),
        .target = readMillis(json.at("target"), "target"),
        .advice = {}};
    if (json.contains("advice")) {
        const Json &times = json.at("advice");
        queue.advice = {.base = std::chrono::microseconds(readInteger(times.at(0), "advice", microsRange)),
            .perWorker = std::chrono::microseconds(readInteger(times.at(1), "advice", microsRange)),
            .ticketValidity = readMillis(times.at(2), "advice")};
    }
    return queue;
}

/// Encodes the indexes of done tasks, and [index, failed attempts, attempt, checkpoint] for each other task that was
/// attempted.
Json tasksToJson(const StepRun &step)
{
    Json done = Json::array();
    Json tried = Json::array();
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const Task &task = step.tasks[i];
        if (task.phase == TaskPhase::Done) {
            done.push_back(i);
        } else if (!task.failedAttempts.empty() || task.attempt != 0) {
            tried.push_back(Json::array({i, task.failedAttempts, task.attempt, task.checkpoint}));
        }
    }
    Json json = {{"done", std::move(done)}, {"tried", std::move(tried)}};
    if (!step.gangFailedAttempts.empty()) {
        json["gang"] = step.gangFailedAttempts;
    }
    return json;
}

bool applyStep(StepRun &step, const Json &json)
{
    for (const Json &index : json.at("done")) {
        const auto place = readCount(index, "done");
        if (place >= step.tasks.size() || step.tasks[place].phase == TaskPhase::Done) {
            return false;
        }
        step.tasks[place].phase = TaskPhase::Done;
        --step.remaining;
        --step.waiting;
    }
    for (const Json &row : json.at("tried")) {
        const auto place = readCount(row.at(0), "tried");
        if (place >= step.tasks.size()) {
            return false;
        }
        Task &task = step.tasks[place];
        task.failedAttempts = readCounts(row.at(1), "failed");
        task.attempt = readCount(row.at(2), "attempt");
        task.checkpoint = row.at(3).get<std::string>();
        step.gangAttempt = std::max(step.gangAttempt, task.attempt);
    }
    step.gangFailedAttempts = countsOf(json, "gang");
    return true;
}

bool applyOccurrence(Job &job, const Json &json)
{
    Occurrence occurrence = makeOccurrence(job.record.spec, readCount(json.at("k"), "k"));
    const Json &steps = json.at("steps");
    if (steps.size() != occurrence.steps.size()) {
        return false;
    }
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        if (!applyStep(occurrence.steps[i], steps.at(i))) {
            return false;
        }
        occurrence.stepsLeft -= occurrence.steps[i].remaining == 0 ? 1 : 0;
    }
    openSteps(job.record.spec, occurrence);
    job.occurrences.push_back(std::move(occurrence));
    return true;
}

std::optional<WorkerEntry> workerFromRow(const Json &row)
{
    const std::int64_t port = readInteger(row.at(2), "port", portRange);
    return WorkerEntry{.id = row.at(0).get<std::string>(),
        .endpoint = {.ip = row.at(1).get<std::string>(), .port = static_cast<std::uint16_t>(port)},
        .incarnation = readInteger(row.at(3), "incarnation", clockRange)};
}

constexpr std::array<std::pair<JobState, std::string_view>, 4> endTexts = {{{JobState::Done, "done"},
    {JobState::Failed, "failed"}, {JobState::Cancelled, "cancelled"}, {JobState::Withdrawn, "withdrawn"}}};

} // namespace

std::string jobKey(JobId id)
{
    return fmt::format("{}{:016x}", jobPrefix, id);
}

std::string progressKey(JobId id)
{
    return fmt::format("{}{:016x}", progressPrefix, id);
}

std::string endKey(JobId id)
{
    return fmt::format("{}{:016x}", endPrefix, id);
}

std::optional<JobId> jobIdFromKey(std::string_view key, std::string_view prefix)
{
    return key.starts_with(prefix) ? parseJobId(key.substr(prefix.size())) : std::nullopt;
}

std::string encodeJobRecord(const JobRecord &record)
{
    Json steps = Json::array();
    for (const StepSpec &step : record.spec.steps) {
        steps.push_back(toJson(step));
    }
    Json json = {{"id", formatJobId(record.id)}, {"queue", toJson(record.queue)},
        {"at", record.submittedAt.time_since_epoch().count()}, {"payload", record.spec.payload},
        {"steps", std::move(steps)}};
    if (!record.tenant.empty()) {
        json["tenant"] = record.tenant;
    }
    if (record.isExcess) {
        json["excess"] = true;
    }
    if (record.spec.repeatCount != 0) {
        json["repeat"]
            = {record.spec.repeatCount, record.spec.firstDue.time_since_epoch().count(), record.spec.interval.count()};
    }
    return dumpJson(json);
}

std::optional<JobRecord> decodeJobRecord(std::string_view text, std::string &problem)
{
    return decodeJson<JobRecord>(text, problem, [&problem](const Json &json) -> std::optional<JobRecord> {
        const auto id = parseJobId(json.at("id").get<std::string>());
        if (!id) {
            problem = "expected 16 hexadecimal digits as id";
            return std::nullopt;
        }
        JobRecord record{.id = *id,
            .queue = queueFromJson(json.at("queue")),
            .submittedAt = WallTime(readMillis(json.at("at"), "at", clockRange)),
            .spec = {.payload = json.at("payload").get<std::string>()},
            .tenant = json.value("tenant", std::string()),
            .isExcess = json.value("excess", false)};
        for (const Json &step : json.at("steps")) {
            record.spec.steps.push_back(stepFromJson(step));
        }
        if (json.contains("repeat")) {
            const Json &repeat = json.at("repeat");
            record.spec.repeatCount = readCount(repeat.at(0), "repeat");
            record.spec.firstDue = WallTime(readMillis(repeat.at(1), "repeat", clockRange));
            record.spec.interval = readMillis(repeat.at(2), "repeat");
        }
        return record;
    });
}

std::string encodeProgress(const Job &job)
{
    Json occurrences = Json::array();
    for (const Occurrence &occurrence : job.occurrences) {
        Json steps = Json::array();
        for (const StepRun &step : occurrence.steps) {
            steps.push_back(tasksToJson(step));
        }
        occurrences.push_back({{"k", occurrence.number}, {"steps", std::move(steps)}});
    }
    return dumpJson({{"next", job.nextOccurrence}, {"past", job.occurrencesDone}, {"runs", std::move(occurrences)}});
}

bool applyProgress(Job &job, std::string_view text, std::string &problem)
{
    const auto applied = decodeJson<bool>(text, problem, [&job](const Json &json) -> std::optional<bool> {
        job.occurrences.clear();
        job.nextOccurrence = readCount(json.at("next"), "next");
        job.occurrencesDone = readCount(json.at("past"), "past");
        const Json &runs = json.at("runs");
        return std::ranges::all_of(runs, [&job](const Json &run) { return applyOccurrence(job, run); });
    });
    if (!applied.value_or(false) && problem.empty()) {
        problem = "the progress names tasks that the job doesn't have";
    }
    return applied.value_or(false);
}

bool isRecorded(const Worker &worker)
{
    const bool acceptsStarts = worker.listed && worker.contacted;
    return acceptsStarts || !worker.runs.empty() || !worker.ends.empty() || hasUnreadEnds(worker);
}

std::string encodeWorkers(const WorkerTable &table)
{
    Json rows = Json::array();
    for (const Worker &worker : table.workers) {
        if (isRecorded(worker)) {
            const WorkerEntry &entry = worker.entry;
            const std::int64_t incarnation = areLeasesBounded(worker) ? entry.incarnation : 0;
            rows.push_back(Json::array({entry.id, entry.endpoint.ip, entry.endpoint.port, incarnation}));
        }
    }
    return dumpJson(rows);
}

std::vector<WorkerEntry> decodeWorkers(std::string_view text, std::string &problem)
{
    const auto entries = decodeJson<std::vector<WorkerEntry>>(text, problem, [&problem](const Json &rows) {
        std::vector<WorkerEntry> result;
        for (const Json &row : rows) {
            auto entry = decodeValue<WorkerEntry>(row, problem, workerFromRow);
            if (entry) {
                result.push_back(std::move(*entry));
            }
        }
        return std::optional(std::move(result));
    });
    return entries.value_or(std::vector<WorkerEntry>{});
}

std::string_view stateName(JobState state)
{
    const auto found = std::ranges::find(endTexts, state, &std::pair<JobState, std::string_view>::first);
    return found == endTexts.end() ? "failed" : found->second;
}

std::string encodeEnd(const EndRecord &record)
{
    std::string text = fmt::format("{} {}", stateName(record.state), record.endedAt.time_since_epoch().count());
    if (record.tenant.empty()) {
        return text;
    }
    // The name comes last, because it may contain spaces.
    return fmt::format("{} {} {} {} {}", text, record.stopping.cpuMilli, record.stopping.memoryMib,
        record.stopping.accelerators, record.tenant);
}

std::optional<EndRecord> decodeEnd(std::string_view text)
{
    const auto takeWord = [&text] {
        const std::size_t space = text.find(' ');
        const std::string_view word = text.substr(0, space);
        text = space == std::string_view::npos ? std::string_view() : text.substr(space + 1);
        return word;
    };
    const auto takeNumber = [&takeWord](IntegerRange range) -> std::optional<std::int64_t> {
        const auto number = parseInteger<std::int64_t>(takeWord());
        return number && *number >= range.least && *number <= range.most ? number : std::nullopt;
    };
    const auto found = std::ranges::find(endTexts, takeWord(), &std::pair<JobState, std::string_view>::second);
    const auto endedAt = takeNumber(clockRange);
    if (found == endTexts.end() || !endedAt) {
        return std::nullopt;
    }
    EndRecord record{.state = found->first, .endedAt = WallTime(milliseconds(*endedAt)), .tenant = {}};
    if (text.empty()) {
        return record;
    }
    const auto cpu = takeNumber(tenantCapRange);
    const auto memory = takeNumber(tenantCapRange);
    const auto accelerators = takeNumber(tenantCapRange);
    if (!cpu || !memory || !accelerators || text.empty()) {
        return std::nullopt;
    }
    record.stopping = {.cpuMilli = *cpu, .memoryMib = *memory, .accelerators = *accelerators};
    record.tenant = std::string(text);
    return record;
}

} // namespace wigeonkeel::dispatch
