#include "core/dispatch/end_retention.h"

#include "core/number_text.h"

#include <algorithm>
#include <optional>

#include <fmt/format.h>

namespace wigeonkeel::dispatch
{

namespace
{

/// Time between two observations. A leader that is lost takes up to this much of the counted time with it.
constexpr milliseconds observationInterval{5000};

std::optional<ObservedRevision> parseObservation(std::string_view text, MonotonicTime now)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto revision = parseInteger<std::uint64_t>(text.substr(0, colon));
    const auto age = parseInteger<std::uint32_t>(text.substr(colon + 1));
    if (!revision || !age) {
        return std::nullopt;
    }
    return ObservedRevision{.revision = *revision, .at = now - milliseconds(*age)};
}

/// Empty if a part can't be read, or if the observations contradict each other or the present revision.
std::optional<std::deque<ObservedRevision>> parseObservations(
    std::string_view text, std::uint64_t revision, MonotonicTime now)
{
    std::deque<ObservedRevision> observed;
    while (!text.empty()) {
        const std::size_t blank = std::min(text.find(' '), text.size());
        const auto next = parseObservation(text.substr(0, blank), now);
        const bool ascends = next && next->revision <= revision
            && (observed.empty() || (next->revision > observed.back().revision && next->at >= observed.back().at));
        if (!ascends) {
            return std::nullopt;
        }
        observed.push_back(*next);
        text.remove_prefix(std::min(blank + 1, text.size()));
    }
    return observed;
}

} // namespace

EndRetention continueRetention(
    milliseconds kept, std::string_view stored, std::uint64_t revision, MonotonicTime now, std::string &problem)
{
    EndRetention retention(kept);
    if (auto observed = parseObservations(stored, revision, now)) {
        retention.observed = std::move(*observed);
        if (!retention.observed.empty()) {
            // Leaders that are lost one after the other must not each add an observation.
            retention.nextObservation = retention.observed.back().at + observationInterval;
        }
    } else {
        problem = "expected REVISION:AGE_MS in ascending order of revisions";
    }
    return retention;
}

bool observeRevision(EndRetention &retention, std::uint64_t revision, MonotonicTime now)
{
    std::deque<ObservedRevision> &observed = retention.observed;
    if (now < retention.nextObservation || (!observed.empty() && revision <= observed.back().revision)) {
        return false;
    }
    retention.nextObservation = now + observationInterval;
    observed.push_back({.revision = revision, .at = now});
    // Of the observations that prove the whole time, the newest covers the others.
    while (observed.size() > 1 && now - observed[1].at >= retention.kept) {
        observed.pop_front();
    }
    return true;
}

MonotonicTime provenSince(const EndRetention &retention, std::uint64_t revision, MonotonicTime now)
{
    const auto found = std::ranges::lower_bound(retention.observed, revision, {}, &ObservedRevision::revision);
    return found == retention.observed.end() ? now : found->at;
}

std::string encodeRetention(const EndRetention &retention, MonotonicTime now)
{
    std::string text;
    for (const ObservedRevision &each : retention.observed) {
        const auto age = std::min(std::chrono::floor<milliseconds>(now - each.at), retention.kept);
        text += fmt::format("{}{}:{}", text.empty() ? "" : " ", each.revision, age.count());
    }
    return text;
}

} // namespace wigeonkeel::dispatch
