#pragma once

#include "core/dispatch/job_table.h"
#include "core/dispatch/outbox.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel::dispatch
{

/// A daemon through which the adviser can be asked. The adviser serves one call at a time for each calling VM.
struct AdviceLine
{
    /// Empty for this daemon.
    std::string node;
    CallId call = 0;
    MonotonicTime expectedBy{};
    /// After a failure the line is not used until then.
    MonotonicTime restUntil{};
};

/// A question that waits for a line.
struct AdviceQuestion
{
    StepKey step;
    std::vector<WorkerSlot> workers;
    std::uint32_t priority = 0;
    MonotonicTime dueBy{};
    std::chrono::microseconds cost{0};
    MonotonicTime askedAt{};
    std::uint32_t tries = 0;
};

struct OpenQuestion
{
    AdviceQuestion question;
    std::vector<std::int64_t> incarnations;
};

/// Asks through the lines, most urgent question first. Pattern: short urgent questions behind long ones. A question on
/// a gang takes about as long as the whole slack of an urgent job, so that part of the lines takes short ones only.
struct Advisor
{
    std::vector<AdviceLine> lines;
    std::vector<AdviceQuestion> waiting;
    absl::flat_hash_map<CallId, OpenQuestion> open;
    /// Share of workers that the adviser allowed lately, by queue.
    absl::flat_hash_map<std::string, double> allowedShare;
};

/// Expected share of allowed workers; one half until something was learned.
double allowedShare(const Advisor &advisor, std::string_view queue);
void learnShare(Advisor &advisor, std::string_view queue, std::size_t asked, std::size_t allowed);

/// A line for each daemon that can be asked; lines of lost daemons give their questions back.
void setAdviceLines(Advisor &advisor, std::span<const std::string> nodes);

/// Gives waiting questions to free lines.
void askWaiting(Advisor &advisor, const WorkerTable &workers, Outbox &outbox, MonotonicTime now);

/// The question that a reply belongs to, with its line set free; nothing if it is not known.
std::optional<OpenQuestion> takeAdviceReply(Advisor &advisor, const AdviceReply &reply, MonotonicTime now);

/// Puts a failed question back.
void askAgain(Advisor &advisor, AdviceQuestion question);

} // namespace wigeonkeel::dispatch
