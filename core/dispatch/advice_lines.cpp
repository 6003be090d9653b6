#include "core/dispatch/advice_lines.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr double unknownShare = 0.5;
constexpr double shareWeight = 0.1;
/// Questions that take longer than this are kept off the lines for short ones.
constexpr std::chrono::microseconds shortQuestion{60000};
/// One line in this many is for short questions only; with fewer lines none is.
constexpr std::size_t linesPerShortLine = 3;
/// Time over the expected one after which the answer is taken as lost. It covers one resent packet.
constexpr milliseconds answerSlack{500};
constexpr milliseconds restAfterFailure{500};

bool isForShortOnly(const Advisor &advisor, std::size_t line)
{
    return line < advisor.lines.size() / linesPerShortLine;
}

/// Most urgent question that may use the line; the end if there is none.
std::vector<AdviceQuestion>::iterator nextQuestion(Advisor &advisor, std::size_t line)
{
    auto best = advisor.waiting.end();
    for (auto question = advisor.waiting.begin(); question != advisor.waiting.end(); ++question) {
        if (question->cost > shortQuestion && isForShortOnly(advisor, line)) {
            continue;
        }
        const auto rank = [](const AdviceQuestion &each) { return std::pair(each.priority, each.dueBy); };
        if (best == advisor.waiting.end() || rank(*question) < rank(*best)) {
            best = question;
        }
    }
    return best;
}

void ask(Advisor &advisor, AdviceLine &line, AdviceQuestion question, const WorkerTable &workers, Outbox &outbox,
    MonotonicTime now)
{
    const auto expected = std::chrono::ceil<milliseconds>(question.cost);
    RequestAdvice call{
        .call = outbox.newCall(), .step = question.step, .workers = {}, .timeout = expected + answerSlack};
    OpenQuestion open{.question = std::move(question), .incarnations = {}};
    for (const WorkerSlot slot : open.question.workers) {
        call.workers.push_back(workers.workers[slot].entry.id);
        open.incarnations.push_back(workers.workers[slot].entry.incarnation);
    }
    line.call = call.call;
    line.expectedBy = now + expected + answerSlack * 2;
    advisor.open.emplace(call.call, std::move(open));
    if (line.node.empty()) {
        outbox.add(std::move(call));
    } else {
        outbox.add(SendToNode{.node = line.node, .body = AdviceOrder{.request = std::move(call)}});
    }
}

void expireLine(Advisor &advisor, AdviceLine &line, MonotonicTime now)
{
    if (line.call == 0 || line.expectedBy > now) {
        return;
    }
    const auto open = advisor.open.find(line.call);
    if (open != advisor.open.end()) {
        askAgain(advisor, std::move(open->second.question));
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

void setAdviceLines(Advisor &advisor, std::span<const std::string> nodes)
{
    std::vector<AdviceLine> lines;
    for (const std::string &node : nodes) {
        const auto known = std::ranges::find(advisor.lines, node, &AdviceLine::node);
        lines.push_back(known == advisor.lines.end() ? AdviceLine{.node = node} : *known);
    }
    for (const AdviceLine &line : advisor.lines) {
        const auto open = advisor.open.find(line.call);
        if (std::ranges::find(nodes, line.node) == nodes.end() && open != advisor.open.end()) {
            askAgain(advisor, std::move(open->second.question));
            advisor.open.erase(open);
        }
    }
    advisor.lines = std::move(lines);
}

void askWaiting(Advisor &advisor, const WorkerTable &workers, Outbox &outbox, MonotonicTime now)
{
    for (std::size_t i = 0; i < advisor.lines.size(); ++i) {
        AdviceLine &line = advisor.lines[i];
        expireLine(advisor, line, now);
        if (line.call != 0 || line.restUntil > now || advisor.waiting.empty()) {
            continue;
        }
        const auto next = nextQuestion(advisor, i);
        if (next == advisor.waiting.end()) {
            continue;
        }
        AdviceQuestion question = std::move(*next);
        advisor.waiting.erase(next);
        ask(advisor, line, std::move(question), workers, outbox, now);
    }
}

std::optional<OpenQuestion> takeAdviceReply(Advisor &advisor, const AdviceReply &reply, MonotonicTime now)
{
    const auto open = advisor.open.find(reply.call);
    if (open == advisor.open.end()) {
        return std::nullopt;
    }
    const auto line = std::ranges::find(advisor.lines, reply.call, &AdviceLine::call);
    if (line != advisor.lines.end()) {
        line->call = 0;
        line->restUntil = reply.status == CallStatus::Ok ? MonotonicTime{} : now + restAfterFailure;
    }
    OpenQuestion question = std::move(open->second);
    advisor.open.erase(open);
    return question;
}

void askAgain(Advisor &advisor, AdviceQuestion question)
{
    ++question.tries;
    advisor.waiting.push_back(std::move(question));
}

} // namespace wigeonkeel::dispatch
