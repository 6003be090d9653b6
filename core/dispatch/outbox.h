#pragma once

#include "core/dispatch/messages.h"
#include "core/dispatch/order_pace.h"
#include "core/dispatch/peer_messages.h"

#include <utility>
#include <variant>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Answers a client that is connected to this daemon.
struct AnswerClient
{
    ClientCallKind kind = ClientCallKind::Query;
    ClientAnswer answer;
};

/// The leader's answer to a call. It goes to the daemon that received the call from the client.
struct LeaderAnswer
{
    ClientAnswer answer;
};

enum class DurationKind : std::uint8_t {
    /// From a submission's arrival at the leader until it was stored.
    Acceptance,
    /// From a submission until the first start was confirmed.
    FirstStart,
    /// From a submission until the end was stored.
    Completion,
    /// From an advice request until its reply, including the wait for a free channel.
    Advice,
};
inline constexpr std::size_t durationKindCount = 4;

/// Adds a duration to the histogram of its kind.
struct ObserveDuration
{
    DurationKind kind = DurationKind::Acceptance;
    milliseconds duration{0};
};

/// What the plug-ins have to carry out.
using Action = std::variant<StoreRange, StoreTransaction, StoreOpenLease, StoreKeepAlive, StoreEndLease,
    ReadConfiguration, WatchConfiguration, ReadWorkers, StartRun, StopRun, RenewWorker, RequestAdvice, AnswerClient,
    LeaderAnswer, SendToNode, DialNode, ReadinessChanged, ObserveDuration>;

/// Estimate of the bytes that carrying out the action sends over this daemon's link, with the heads of HTTP and TCP; 0
/// if it sends nothing.
std::size_t estimatedSize(const Action &action);

/// Collects actions in the order in which they were decided, and numbers calls.
struct Outbox
{
    std::vector<Action> actions;
    CallId nextCall = 1;
    LinkBudget link;

    CallId newCall() { return nextCall++; }
    template <typename T>
    void add(T &&action)
    {
        actions.emplace_back(std::forward<T>(action));
        spend(link, estimatedSize(actions.back()));
    }
};

} // namespace wigeonkeel::dispatch
