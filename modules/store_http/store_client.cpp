#include "modules/store_http/store_client.h"

#include "core/log.h"
#include "drivers/store_protocol/store_json.h"

#include <algorithm>
#include <utility>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "store";
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusServerError = 500;
constexpr int statusThrottled = 429;
constexpr std::size_t maxValueBytes = 1 << 20;
// Calls that wait for a connection, for each call that may be under way. With the store's rate limits, a longer queue
// could not be worked off within the timeout.
constexpr std::size_t waitingPerCall = 256;
constexpr milliseconds minBackOff{20};
constexpr milliseconds maxBackOff{2000};
constexpr std::uint32_t maxDoublings = 7;
// One broken connection does not mean that the store is down.
constexpr std::uint32_t failuresUntilUnreachable = 2;

void setReachable(StoreClient &client, bool reachable)
{
    if (client.reachable == reachable) {
        return;
    }
    client.reachable = reachable;
    logLine(reachable ? LogLevel::Info : LogLevel::Warning, logPart, "The store at {} {}.", client.watch.peer(),
        reachable ? "answers" : "does not answer");
    client.emit(StoreHealthChanged{.reachable = reachable});
}

/// Any answer shows that the store is there, also one that refuses the call.
void noteResponse(StoreClient &client, const HttpResponse &response)
{
    if (!response.error) {
        client.failures = 0;
        setReachable(client, true);
        return;
    }
    ++client.failures;
    if (response.error.code == Errc::Unreachable || client.failures >= failuresUntilUnreachable) {
        setReachable(client, false);
    }
}

StoreReply notExecuted(const StoreCall &call, StoreStatus status, std::string detail)
{
    return {.id = call.id, .status = status, .entries = {}, .detail = std::move(detail)};
}

void scheduleWaiting(StoreClient &client)
{
    if (!client.rejected.empty()) {
        client.waitingTimer.startOnce(milliseconds(0));
        return;
    }
    if (client.waiting.empty()) {
        client.waitingTimer.cancel();
        return;
    }
    const auto left = std::chrono::ceil<milliseconds>(client.waiting.front().deadline - client.clock.now());
    client.waitingTimer.startOnce(std::max(milliseconds(0), left));
}

void onCallResponse(
    StoreClient &client, StoreConnection &connection, const StoreCall &call, const HttpResponse &response);

void sendCall(StoreClient &client, StoreConnection &connection, const WaitingStoreCall &waiting)
{
    connection.busy = true;
    const auto left = std::chrono::ceil<milliseconds>(waiting.deadline - client.clock.now());
    connection.http->request("POST", "/v1/call", encodeStoreCall(waiting.call), left,
        [&client, &connection, call = waiting.call](
            const HttpResponse &response) { onCallResponse(client, connection, call, response); });
}

/// Gives waiting calls to free connections. Those that have waited too long are left to the timer.
void sendWaiting(StoreClient &client)
{
    while (!client.waiting.empty() && client.waiting.front().deadline > client.clock.now()) {
        const auto free = std::ranges::find(client.connections, false, &StoreConnection::busy);
        if (free == client.connections.end()) {
            break;
        }
        const WaitingStoreCall next = std::move(client.waiting.front());
        client.waiting.pop_front();
        sendCall(client, *free, next);
    }
    scheduleWaiting(client);
}

void onCallResponse(
    StoreClient &client, StoreConnection &connection, const StoreCall &call, const HttpResponse &response)
{
    connection.busy = false;
    sendWaiting(client);
    noteResponse(client, response);
    client.emit(toStoreReply(call, response));
}

void onWaitingTimer(StoreClient &client)
{
    for (const StoreReply &reply : std::exchange(client.rejected, {})) {
        client.emit(reply);
    }
    while (!client.waiting.empty() && client.waiting.front().deadline <= client.clock.now()) {
        const StoreCall call = std::move(client.waiting.front().call);
        client.waiting.pop_front();
        client.emit(notExecuted(call, StoreStatus::Unavailable, "timed out while it waited to be sent"));
    }
    sendWaiting(client);
}

/// Full jitter: any delay up to a bound that doubles with each failure.
milliseconds watchDelay(StoreClient &client)
{
    const auto bound = std::min(maxBackOff, minBackOff * (1 << std::min(client.watchFailures, maxDoublings)));
    return milliseconds(std::uniform_int_distribution<std::int64_t>(1, bound.count())(client.random));
}

void repeatWatch(StoreClient &client, std::string_view problem)
{
    logLine(LogLevel::Debug, logPart, "watch at {} failed: {}", client.watch.peer(), problem);
    ++client.watchFailures;
    client.watchTimer.startOnce(watchDelay(client));
}

void onWatchResponse(StoreClient &client, const HttpResponse &response)
{
    noteResponse(client, response);
    if (response.error) {
        repeatWatch(client, describe(response.error));
        return;
    }
    std::string problem = fmt::format("HTTP status {}", response.status);
    const auto update = response.status == statusOk ? decodeStoreWatchUpdate(response.body, problem) : std::nullopt;
    if (!update) {
        repeatWatch(client, problem);
        return;
    }
    client.watchFailures = 0;
    client.revision = update->revision;
    // Posted from the loop, so that a store that always answers at once can't keep the loop in this callback.
    client.watchTimer.startOnce(milliseconds(0));
    if (update->full || !update->changed.empty() || !update->removed.empty()) {
        client.emit(*update);
    }
}

} // namespace

StoreClient::StoreClient(
    EventLoop &loop, const Clock &daemonClock, StoreClientOptions clientOptions, std::function<void(StoreEvent)> sink)
    : clock(daemonClock)
    , options(std::move(clientOptions))
    , emit(std::move(sink))
    , connections(options.maxCalls)
    , waitingTimer(loop, [this] { onWaitingTimer(*this); })
    , watch(loop, options.address, options.port)
    , watchTimer(loop, [this] { startWatch(*this); })
    , random(std::random_device()())
{
    watch.countBytes(options.byteCounts);
    for (StoreConnection &connection : connections) {
        connection.http = std::make_unique<HttpConnection>(loop, options.address, options.port);
        connection.http->countBytes(options.byteCounts);
    }
}

void startWatch(StoreClient &client)
{
    const StoreClientOptions &options = client.options;
    if (options.watchPrefix.empty()) {
        return;
    }
    if (options.watchesBegun != nullptr) {
        ++*options.watchesBegun;
    }
    const std::string path
        = storeWatchPath({.prefix = options.watchPrefix, .after = client.revision, .wait = options.watchWait});
    client.watch.request("GET", path, {}, options.watchWait + options.timeout,
        [&client](const HttpResponse &response) { onWatchResponse(client, response); });
}

void callStore(StoreClient &client, const StoreCall &call)
{
    if (call.value.size() > maxValueBytes) {
        client.rejected.push_back(notExecuted(call, StoreStatus::Unavailable, "the value is larger than 1 MiB"));
    } else if (client.waiting.size() >= client.options.maxCalls * waitingPerCall) {
        client.rejected.push_back(notExecuted(call, StoreStatus::Throttled, "too many calls wait at this daemon"));
    } else {
        client.waiting.push_back({.call = call, .deadline = client.clock.now() + client.options.timeout});
    }
    sendWaiting(client);
}

StoreReply toStoreReply(const StoreCall &call, const HttpResponse &response)
{
    if (response.error) {
        const bool sent = response.error.code != Errc::Unreachable;
        return notExecuted(call, sent ? StoreStatus::Ambiguous : StoreStatus::Unavailable, describe(response.error));
    }
    if (response.status == statusThrottled) {
        return notExecuted(call, StoreStatus::Throttled, "refused for its rate");
    }
    if (response.status >= statusBadRequest && response.status < statusServerError) {
        return notExecuted(call, StoreStatus::Unavailable, fmt::format("refused with HTTP status {}", response.status));
    }
    std::string problem = fmt::format("HTTP status {}", response.status);
    auto reply = response.status == statusOk ? decodeStoreReply(response.body, problem) : std::nullopt;
    if (!reply) {
        // An answer that can't be read does not tell whether the call was carried out.
        return notExecuted(call, StoreStatus::Ambiguous, problem);
    }
    reply->id = call.id;
    return *reply;
}

} // namespace wigeonkeel
