#include "core/dispatch/advice_lines.h"

#include <algorithm>
#include <tuple>

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
/// A request that has waited this long is overdue. Users expect a job to start within 3 s if there is capacity for it.
/// The call takes up to 1 s of that; the rest is for the overdue requests that are older.
constexpr milliseconds overdueAfter{1000};
/// Overdue requests up to this long may use the reserved channels: half of the time that an urgent job has until it is
/// late.
constexpr std::chrono::microseconds maxOverdueOnReserved{150000};
/// An advice call times out this long after the expected time. It allows for one resent packet.
constexpr milliseconds replySlack{500};
constexpr milliseconds pauseAfterFailure{500};

bool isReservedForShort(const Advisor &advisor, std::size_t channel)
{
    return channel < advisor.channels.size() / channelsPerReservedChannel;
}

bool isOverdue(const AdviceRequest &request, MonotonicTime now)
{
    return !request.isExcess && now - request.queuedAt >= overdueAfter;
}

bool mayUseChannel(const Advisor &advisor, std::size_t channel, const AdviceRequest &request, MonotonicTime now)
{
    const auto longest = isOverdue(request, now) ? maxOverdueOnReserved : maxShortRequest;
    return !isReservedForShort(advisor, channel) || request.expectedTime <= longest;
}

/// The waiting request that the channel sends next; the end iterator if there is none. That is the oldest of the
/// overdue requests, unless the channel owes time to the most urgent ones.
std::vector<AdviceRequest>::iterator nextRequest(Advisor &advisor, std::size_t channel, MonotonicTime now)
{
    const bool overdueFirst = advisor.channels[channel].timeOwedToUrgent.count() == 0;
    const auto rank = [overdueFirst, now](const AdviceRequest &each) {
        const bool first = overdueFirst && isOverdue(each, now);
        return first ? std::tuple(false, false, 0U, each.queuedAt)
                     : std::tuple(true, each.isExcess, each.priority, each.dueBy);
    };
    auto best = advisor.waiting.end();
    for (auto request = advisor.waiting.begin(); request != advisor.waiting.end(); ++request) {
        if (mayUseChannel(advisor, channel, *request, now)
            && (best == advisor.waiting.end() || rank(*request) < rank(*best))) {
            best = request;
        }
    }
    return best;
}

/// Without this accounting, a line of overdue requests would leave no time for urgent ones, which are late sooner.
void accountForCall(AdviceChannel &channel, const AdviceRequest &request, MonotonicTime now)
{
    const bool wasFirst = channel.timeOwedToUrgent.count() == 0 && isOverdue(request, now);
    channel.timeOwedToUrgent = wasFirst
        ? request.expectedTime
        : std::max(std::chrono::microseconds(0), channel.timeOwedToUrgent - request.expectedTime);
}

/// Removes the request that the channel sends next from the line. Requests that are no longer needed are dropped; one
/// that names more workers than before, and now takes too long for the channel, stays in the line.
std::optional<AdviceRequest> takeNextRequest(
    Advisor &advisor, std::size_t channel, MonotonicTime now, PrepareAdvice prepare)
{
    for (auto next = nextRequest(advisor, channel, now); next != advisor.waiting.end();
         next = nextRequest(advisor, channel, now)) {
        AdviceRequest request = std::move(*next);
        advisor.waiting.erase(next);
        if (!prepare(request)) {
            continue;
        }
        if (mayUseChannel(advisor, channel, request, now)) {
            return request;
        }
        advisor.waiting.push_back(std::move(request));
    }
    return std::nullopt;
}

void sendAdviceRequest(Advisor &advisor, AdviceChannel &channel, AdviceRequest request, const WorkerTable &workers,
    Outbox &outbox, MonotonicTime now)
{
    const auto expected = std::chrono::ceil<milliseconds>(request.expectedTime);
    RequestAdvice call{.call = outbox.newCall(), .step = request.step, .workers = {}, .timeout = expected + replySlack};
    OpenAdviceRequest open{.request = std::move(request), .incarnations = {}, .sentAt = now};
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

void sendWaitingRequests(
    Advisor &advisor, const WorkerTable &workers, Outbox &outbox, MonotonicTime now, PrepareAdvice prepare)
{
    for (std::size_t i = 0; i < advisor.channels.size(); ++i) {
        AdviceChannel &channel = advisor.channels[i];
        expireOpenRequest(advisor, channel, now);
        if (channel.call != 0 || channel.pausedUntil > now) {
            continue;
        }
        auto request = takeNextRequest(advisor, i, now, prepare);
        if (request) {
            accountForCall(channel, *request, now);
            sendAdviceRequest(advisor, channel, std::move(*request), workers, outbox, now);
        }
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
