#pragma once

#include "core/dispatch/messages.h"
#include "core/dispatch/peer_messages.h"

#include <utility>
#include <variant>
#include <vector>

namespace wigeonkeel::dispatch
{

/// The answer to a client that waits at this daemon.
struct AnswerClient
{
    ClientCallKind kind = ClientCallKind::Query;
    ClientAnswer answer;
};

/// The leader's answer to a call, on its way to the daemon that took the call.
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
    /// From a question to the adviser until its answer, the wait for a line included.
    Advice,
};
inline constexpr std::size_t durationKindCount = 4;

/// A duration for the histograms.
struct ObserveDuration
{
    DurationKind kind = DurationKind::Acceptance;
    milliseconds duration{0};
};

/// What the decisions ask the plug-ins to do.
using Action = std::variant<StoreRange, StoreTransaction, StoreOpenLease, StoreKeepLease, StoreEndLease,
    ReadConfiguration, WatchConfiguration, ReadWorkers, StartRun, StopRun, RenewWorker, RequestAdvice, AnswerClient,
    LeaderAnswer, SendToNode, DialNode, ReadinessChanged, ObserveDuration>;

/// Collects actions in the order in which they were decided, and numbers calls.
struct Outbox
{
    std::vector<Action> actions;
    CallId nextCall = 1;

    CallId newCall() { return nextCall++; }
    template <typename T>
    void add(T &&action)
    {
        actions.emplace_back(std::forward<T>(action));
    }
};

} // namespace wigeonkeel::dispatch
