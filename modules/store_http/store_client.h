#pragma once

#include "core/clock.h"
#include "core/event_loop.h"
#include "core/store_messages.h"
#include "drivers/http/http_client.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace wigeonkeel
{

using StoreEvent = std::variant<StoreReply, StoreWatchUpdate, StoreHealthChanged>;

struct StoreClientOptions
{
    std::string address;
    std::uint16_t port = 0;
    /// Bound of a call, from its arrival at this client to its reply.
    milliseconds timeout{1000};
    /// How long the store holds back the answer to a watch when nothing changes.
    milliseconds watchWait{5000};
    /// Calls under way at one time; each has a connection. Further calls wait.
    std::size_t maxCalls = 8;
    /// Empty for no watch.
    std::string watchPrefix = "w/";
    HttpByteCounts byteCounts;
    /// Counts the watches that were begun, if set.
    std::uint64_t *watchesBegun = nullptr;
};

struct WaitingStoreCall
{
    StoreCall call;
    MonotonicTime deadline;
};

/// One of the connections for calls.
struct StoreConnection
{
    std::unique_ptr<HttpConnection> http;
    bool busy = false;
};

/// Client of the store's HTTP protocol. It doesn't repeat calls; the caller decides, who knows what a call means.
struct StoreClient
{
    StoreClient(EventLoop &loop, const Clock &clock, StoreClientOptions options, std::function<void(StoreEvent)> emit);

    Clock clock;
    StoreClientOptions options;
    std::function<void(StoreEvent)> emit;
    std::vector<StoreConnection> connections;
    std::deque<WaitingStoreCall> waiting;
    /// Replies to calls that were not sent; emitted from the loop, because a call is made in the middle of a step.
    std::vector<StoreReply> rejected;
    /// Fires when the oldest waiting call has to be answered.
    Timer waitingTimer;
    HttpConnection watch;
    Timer watchTimer;
    /// Revision up to which the watch has delivered; 0 asks for the full listing.
    std::uint64_t revision = 0;
    std::uint32_t watchFailures = 0;
    std::uint32_t failures = 0;
    /// Nothing before the first answer or failure.
    std::optional<bool> reachable;
    std::mt19937_64 random;
};

/// Starts the watch.
void startWatch(StoreClient &client);

/// Makes a call; its reply is emitted once, from the loop, within the timeout.
void callStore(StoreClient &client, const StoreCall &call);

/// The reply that goes with an HTTP response. Truthful about whether the call may have been executed.
StoreReply toStoreReply(const StoreCall &call, const HttpResponse &response);

} // namespace wigeonkeel
