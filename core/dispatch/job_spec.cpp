#include "core/dispatch/job_spec.h"

#include "core/number_text.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::size_t idDigits = 16;
/// Limits of one job, far above what clients submit.
constexpr std::size_t maxSteps = 256;
constexpr std::uint32_t maxTasksOfStep = 10000;
constexpr std::size_t maxPayloadBytes = 4000;
/// About two years of one occurrence a minute. Multiplied by the longest interval, it stays below 2^63 milliseconds, so
/// that the due time of the last occurrence doesn't overflow.
constexpr std::uint32_t maxOccurrences = 1U << 20;

std::string findStepProblem(const StepSpec &step, std::size_t number)
{
    if (step.count == 0 || step.count > maxTasksOfStep) {
        return fmt::format("step {}: expected 1 to {} tasks, found {}", number, maxTasksOfStep, step.count);
    }
    if (isNegative(step.size) || step.estimate.count() < 0 || step.tailTarget.count() < 0) {
        return fmt::format("step {}: sizes and times must not be negative", number);
    }
    for (const std::uint32_t before : step.after) {
        if (before >= number) {
            return fmt::format("step {}: it can only follow earlier steps, found {}", number, before);
        }
    }
    return {};
}

} // namespace

std::string findSpecProblem(const JobSpec &spec)
{
    if (spec.steps.empty() || spec.steps.size() > maxSteps) {
        return fmt::format("expected 1 to {} steps, found {}", maxSteps, spec.steps.size());
    }
    if (spec.payload.size() > maxPayloadBytes) {
        return fmt::format("expected at most {} bytes of payload, found {}", maxPayloadBytes, spec.payload.size());
    }
    if (spec.repeatCount > maxOccurrences || spec.interval.count() < 0) {
        return fmt::format("expected at most {} occurrences and no negative interval, found {} and {} ms",
            maxOccurrences, spec.repeatCount, spec.interval.count());
    }
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        std::string problem = findStepProblem(spec.steps[number], number);
        if (!problem.empty()) {
            return problem;
        }
    }
    return {};
}

std::string formatJobId(JobId id)
{
    return fmt::format("{:016x}", id);
}

std::optional<JobId> parseJobId(std::string_view text)
{
    if (text.size() != idDigits || text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return std::nullopt;
    }
    JobId id = 0;
    std::from_chars(text.data(), text.data() + text.size(), id, 16);
    return id;
}

std::string formatStepKey(const StepKey &key)
{
    return fmt::format("{:016x}.{}.{}", key.job, key.occurrence, key.step);
}

std::string formatTaskKey(const TaskKey &key)
{
    return fmt::format("{:016x}.{}.{}.{}", key.step.job, key.step.occurrence, key.step.step, key.index);
}

std::optional<TaskKey> parseTaskKey(std::string_view text)
{
    const auto job = parseJobId(text.substr(0, idDigits));
    if (!job || text.size() <= idDigits || text[idDigits] != '.') {
        return std::nullopt;
    }
    std::array<std::uint32_t, 3> numbers{};
    std::string_view rest = text.substr(idDigits + 1);
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const std::size_t dot = i + 1 < numbers.size() ? rest.find('.') : rest.size();
        const auto number
            = dot == std::string_view::npos ? std::nullopt : parseInteger<std::uint32_t>(rest.substr(0, dot));
        if (!number) {
            return std::nullopt;
        }
        numbers.at(i) = *number;
        rest.remove_prefix(std::min(rest.size(), dot + 1));
    }
    return TaskKey{.step = {.job = *job, .occurrence = numbers[0], .step = numbers[1]}, .index = numbers[2]};
}

} // namespace wigeonkeel::dispatch
