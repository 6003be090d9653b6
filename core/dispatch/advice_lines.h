#pragma once

#include "core/dispatch/job_table.h"
#include "core/dispatch/outbox.h"

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel::dispatch
{

/// A daemon through which advice requests are sent. The adviser serves one call at a time for each calling VM.
struct AdviceChannel
{
    /// Name of the daemon; empty for this one.
    std::string node;
    /// The open call; 0 if the channel is free.
    CallId call = 0;
    MonotonicTime replyDeadline{};
    /// No request is sent before this time, after a failure.
    MonotonicTime pausedUntil{};
    /// Time of calls that the channel spends on the most urgent requests before it takes an overdue one again.
    std::chrono::microseconds timeOwedToUrgent{0};
};

/// A request for the adviser's decision on which of the workers may run tasks of the step.
struct AdviceRequest
{
    StepKey step;
    std::vector<WorkerSlot> workers;
    /// The step's job is beyond its tenant's rate: the request waits behind all others, however long.
    bool isExcess = false;
    std::uint32_t priority = 0;
    MonotonicTime dueBy{};
    std::chrono::microseconds expectedTime{0};
    MonotonicTime queuedAt{};
    std::uint32_t tries = 0;
};

/// Brings a request up to date right before it is sent; false if its step no longer needs it.
using PrepareAdvice = absl::FunctionRef<bool(AdviceRequest &)>;

struct OpenAdviceRequest
{
    AdviceRequest request;
    std::vector<std::int64_t> incarnations;
    MonotonicTime sentAt{};
};

/// Sends advice requests through the channels, the most urgent first. A request for a gang takes about as long as an
/// urgent job has until it is late. So that short urgent requests don't wait behind such requests, part of the channels
/// is reserved for short ones. So that no request waits forever behind more urgent ones, a channel spends up to half of
/// its time on overdue requests, the oldest first.
struct Advisor
{
    std::vector<AdviceChannel> channels;
    std::vector<AdviceRequest> waiting;
    absl::flat_hash_map<CallId, OpenAdviceRequest> open;
    /// Moving average of the share of workers that the adviser allowed, by queue.
    absl::flat_hash_map<std::string, double> allowedShare;
};

/// Expected share of allowed workers; one half before the first reply.
double allowedShare(const Advisor &advisor, std::string_view queue);
void recordAllowedShare(Advisor &advisor, std::string_view queue, std::size_t requested, std::size_t allowed);

/// Sets one channel for each daemon. The open requests of removed channels are queued again.
void setAdviceChannels(Advisor &advisor, std::span<const std::string> nodes);

/// Sends waiting requests through the free channels. Requests without a reply by the deadline are queued again.
void sendWaitingRequests(
    Advisor &advisor, const WorkerTable &workers, Outbox &outbox, MonotonicTime now, PrepareAdvice prepare);

/// Removes the open request that the reply belongs to and frees its channel; nothing if there is no such request.
std::optional<OpenAdviceRequest> closeAdviceRequest(Advisor &advisor, const AdviceReply &reply, MonotonicTime now);

/// Queues a failed request again.
void requeueAdviceRequest(Advisor &advisor, AdviceRequest request);

} // namespace wigeonkeel::dispatch
