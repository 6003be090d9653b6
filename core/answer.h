#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// What a caller is told about a request.
enum class Outcome : std::uint8_t {
    /// Ran to its end; the answer holds the whole result.
    Done,
    /// Ran and failed; the answer holds what the task reported.
    Failed,
    /// No start was sent, or the worker refused it.
    NotRun,
    /// Accepted and not finished.
    Running,
    /// It can't be shown whether it ran.
    Unknown,
};

std::string_view toString(Outcome outcome);
/// XXH3 64-bit digest of a result.
std::uint64_t digestOf(std::string_view result);
std::optional<Outcome> parseOutcome(std::string_view text);

/// The answer to one request.
struct Answer
{
    Outcome outcome = Outcome::Unknown;
    /// Why, for every outcome but Done.
    std::string reason;
    /// The whole result; empty unless Done or Failed.
    std::string result;
    /// XXH3 64-bit digest of the result.
    std::uint64_t digest = 0;
    /// When to ask again; 0 if asking again is of no use.
    milliseconds retryAfter{0};
    /// The worker that ran the task, if known.
    std::string worker;
};

} // namespace wigeonkeel
