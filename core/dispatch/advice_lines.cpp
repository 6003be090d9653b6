#include "core/dispatch/advice_lines.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

/// Assumed for queues without a reply so far.
constexpr double unknownShare = 0.5;
/// Weight of the newest reply in the moving average.
constexpr double shareWeight = 0.1;
/// Requests that take longer than this are not sent through the channels reserved for short ones.
constexpr std::chrono::microseconds shortQuestion{60000};
/// One channel in this many is reserved for short requests; with fewer channels, none is.
constexpr std::size_t linesPerShortLine = 3;
/// The reply counts as lost this long after the expected time. It allows for one resent packet.
constexpr milliseconds answerSlack{500};
constexpr milliseconds restAfterFailure{500};

bool isForShortOnly(const Advisor &advisor, std::size_t line)
{
    return line < advisor.lines.size() / linesPerShortLine;
}

/// The most urgent waiting request that may use the channel; the end iterator if there is none.
std::vector<AdviceRequest>::iterator nextQuestion(Advisor &advisor, std::size_t line)
{
    auto best = advisor.waiting.end();
    for (auto request = advisor.waiting.begin(); request != advisor.waiting.end(); ++request) {
        if (request->expectedTime > shortQuestion && isForShortOnly(advisor, line)) {
            continue;
        }
        const auto rank = [](const AdviceRequest &each) { return std::pair(each.priority, each.dueBy); };
        if (best == advisor.waiting.end() || rank(*request) < rank(*best)) {
            best = request;
        }
    }
    return best;
}

void ask(Advisor &advisor, AdviceChannel &line, AdviceRequest request, const WorkerTable &workers, Outbox &outbox,
    MonotonicTime now)
{
    const auto expected = std::chrono::ceil<milliseconds>(request.expectedTime);
    AskAdvice call{.call = outbox.newCall(), .step = request.step, .workers = {}, .timeout = expected + answerSlack};
    OpenAdviceRequest open{.request = std::move(request), .incarnations = {}};
    for (const WorkerSlot slot : open.request.workers) {
        call.workers.push_back(workers.workers[slot].entry.id);
        open.incarnations.push_back(workers.workers[slot].entry.incarnation);
    }
    line.call = call.call;
    line.expectedBy = now + expected + answerSlack * 2;
    advisor.open.emplace(call.call, std::move(open));
    if (line.node.empty()) {
        outbox.add(std::move(call));
    } else {
        outbox.add(SendToNode{.node = line.node, .body = AdviceOrder{.ask = std::move(call)}});
    }
}

void expireLine(Advisor &advisor, AdviceChannel &line, MonotonicTime now)
{
    if (line.call == 0 || line.expectedBy > now) {
        return;
    }
    const auto open = advisor.open.find(line.call);
    if (open != advisor.open.end()) {
        askAgain(advisor, std::move(open->second.request));
        advisor.open.erase(open);
    }
    line.call = 0;
    line.restUntil = now + restAfterFailure;
}

} // namespace

double allowedShare(const Advisor &advisor, std::string_view queue)
{
    const auto found = advisor.allowedShare.find(std::string(queue));
    return found == advisor.allowedShare.end() ? unknownShare : found->second;
}

void learnShare(Advisor &advisor, std::string_view queue, std::size_t asked, std::size_t allowed)
{
    if (asked == 0) {
        return;
    }
    const double seen = static_cast<double>(allowed) / static_cast<double>(asked);
    double &share = advisor.allowedShare.try_emplace(std::string(queue), seen).first->second;
    share += (seen - share) * shareWeight;
}

void setAdviceChannels(Advisor &advisor, std::span<const std::string> nodes)
{
    std::vector<AdviceChannel> lines;
    for (const std::string &node : nodes) {
        const auto known = std::ranges::find(advisor.lines, node, &AdviceChannel::node);
        lines.push_back(known == advisor.lines.end() ? AdviceChannel{.node = node} : *known);
    }
    for (const AdviceChannel &line : advisor.lines) {
        const auto open = advisor.open.find(line.call);
        if (std::ranges::find(nodes, line.node) == nodes.end() && open != advisor.open.end()) {
            askAgain(advisor, std::move(open->second.request));
            advisor.open.erase(open);
        }
    }
    advisor.lines = std::move(lines);
}

void askWaiting(Advisor &advisor, const WorkerTable &workers, Outbox &outbox, MonotonicTime now)
{
    for (std::size_t i = 0; i < advisor.lines.size(); ++i) {
        AdviceChannel &line = advisor.lines[i];
        expireLine(advisor, line, now);
        if (line.call != 0 || line.restUntil > now || advisor.waiting.empty()) {
            continue;
        }
        const auto next = nextQuestion(advisor, i);
        if (next == advisor.waiting.end()) {
            continue;
        }
        AdviceRequest request = std::move(*next);
        advisor.waiting.erase(next);
        ask(advisor, line, std::move(request), workers, outbox, now);
    }
}

std::optional<OpenAdviceRequest> takeAdviceReply(Advisor &advisor, const AdviceReply &reply, MonotonicTime now)
{
    const auto open = advisor.open.find(reply.call);
    if (open == advisor.open.end()) {
        return std::nullopt;
    }
    const auto line = std::ranges::find(advisor.lines, reply.call, &AdviceChannel::call);
    if (line != advisor.lines.end()) {
        line->call = 0;
        line->restUntil = reply.status == CallStatus::Ok ? MonotonicTime{} : now + restAfterFailure;
    }
    OpenAdviceRequest request = std::move(open->second);
    advisor.open.erase(open);
    return request;
}

void askAgain(Advisor &advisor, AdviceRequest request)
{
    ++request.tries;
    advisor.waiting.push_back(std::move(request));
}

} // namespace wigeonkeel::dispatch
