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
constexpr std::chrono::microseconds maxShortRequest{60000};
/// One channel in this many is reserved for short requests; with fewer channels, none is.
constexpr std::size_t channelsPerReservedChannel = 3;
/// An advice call times out this long after the expected time. It allows for one resent packet.
constexpr milliseconds replySlack{500};
constexpr milliseconds pauseAfterFailure{500};

bool isReservedForShort(const Advisor &advisor, std::size_t channel)
{
    return channel < advisor.channels.size() / channelsPerReservedChannel;
}

/// The most urgent waiting request that may use the channel; the end iterator if there is none.
std::vector<AdviceRequest>::iterator nextRequest(Advisor &advisor, std::size_t channel)
{
    auto best = advisor.waiting.end();
    for (auto request = advisor.waiting.begin(); request != advisor.waiting.end(); ++request) {
        if (request->expectedTime > maxShortRequest && isReservedForShort(advisor, channel)) {
            continue;
        }
        const auto rank = [](const AdviceRequest &each) { return std::pair(each.priority, each.dueBy); };
        if (best == advisor.waiting.end() || rank(*request) < rank(*best)) {
            best = request;
        }
    }
    return best;
}

void sendAdviceRequest(Advisor &advisor, AdviceChannel &channel, AdviceRequest request, const WorkerTable &workers,
    Outbox &outbox, MonotonicTime now)
{
    const auto expected = std::chrono::ceil<milliseconds>(request.expectedTime);
    RequestAdvice call{.call = outbox.newCall(), .step = request.step, .workers = {}, .timeout = expected + replySlack};
    OpenAdviceRequest open{.request = std::move(request), .incarnations = {}};
    for (const WorkerSlot slot : open.request.workers) {
        call.workers.push_back(workers.workers[slot].entry.id);
        open.incarnations.push_back(workers.workers[slot].entry.incarnation);
    }
    channel.call = call.call;
    channel.replyDeadline = now + expected + replySlack * 2;
    advisor.open.emplace(call.call, std::move(open));
    if (channel.node.empty()) {
        outbox.add(std::move(call));
    } else {
        outbox.add(SendToNode{.node = channel.node, .body = AdviceOrder{.request = std::move(call)}});
    }
}

void expireOpenRequest(Advisor &advisor, AdviceChannel &channel, MonotonicTime now)
{
    if (channel.call == 0 || channel.replyDeadline > now) {
        return;
    }
    const auto open = advisor.open.find(channel.call);
    if (open != advisor.open.end()) {
        requeueAdviceRequest(advisor, std::move(open->second.request));
        advisor.open.erase(open);
    }
    channel.call = 0;
    channel.pausedUntil = now + pauseAfterFailure;
}

} // namespace

double allowedShare(const Advisor &advisor, std::string_view queue)
{
    const auto found = advisor.allowedShare.find(std::string(queue));
    return found == advisor.allowedShare.end() ? unknownShare : found->second;
}

void recordAllowedShare(Advisor &advisor, std::string_view queue, std::size_t requested, std::size_t allowed)
{
    if (requested == 0) {
        return;
    }
    const double seen = static_cast<double>(allowed) / static_cast<double>(requested);
    double &share = advisor.allowedShare.try_emplace(std::string(queue), seen).first->second;
    share += (seen - share) * shareWeight;
}

void setAdviceChannels(Advisor &advisor, std::span<const std::string> nodes)
{
    std::vector<AdviceChannel> channels;
    for (const std::string &node : nodes) {
        const auto known = std::ranges::find(advisor.channels, node, &AdviceChannel::node);
        channels.push_back(known == advisor.channels.end() ? AdviceChannel{.node = node} : *known);
    }
    for (const AdviceChannel &channel : advisor.channels) {
        const auto open = advisor.open.find(channel.call);
        if (std::ranges::find(nodes, channel.node) == nodes.end() && open != advisor.open.end()) {
            requeueAdviceRequest(advisor, std::move(open->second.request));
            advisor.open.erase(open);
        }
    }
    advisor.channels = std::move(channels);
}

void sendWaitingRequests(Advisor &advisor, const WorkerTable &workers, Outbox &outbox, MonotonicTime now)
{
    for (std::size_t i = 0; i < advisor.channels.size(); ++i) {
        AdviceChannel &channel = advisor.channels[i];
        expireOpenRequest(advisor, channel, now);
        if (channel.call != 0 || channel.pausedUntil > now || advisor.waiting.empty()) {
            continue;
        }
        const auto next = nextRequest(advisor, i);
        if (next == advisor.waiting.end()) {
            continue;
        }
        AdviceRequest request = std::move(*next);
        advisor.waiting.erase(next);
        sendAdviceRequest(advisor, channel, std::move(request), workers, outbox, now);
    }
}

std::optional<OpenAdviceRequest> closeAdviceRequest(Advisor &advisor, const AdviceReply &reply, MonotonicTime now)
{
    const auto open = advisor.open.find(reply.call);
    if (open == advisor.open.end()) {
        return std::nullopt;
    }
    const auto channel = std::ranges::find(advisor.channels, reply.call, &AdviceChannel::call);
    if (channel != advisor.channels.end()) {
        channel->call = 0;
        channel->pausedUntil = reply.status == CallStatus::Ok ? MonotonicTime{} : now + pauseAfterFailure;
    }
    OpenAdviceRequest request = std::move(open->second);
    advisor.open.erase(open);
    return request;
}

void requeueAdviceRequest(Advisor &advisor, AdviceRequest request)
{
    ++request.tries;
    advisor.waiting.push_back(std::move(request));
}

} // namespace wigeonkeel::dispatch
