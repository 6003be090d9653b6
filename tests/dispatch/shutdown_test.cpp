#include "core/dispatch/node.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds turn{25};
/// The process ends by itself this long after SIGTERM, with the usual grace time.
constexpr milliseconds processEnd{5300};

/// A daemon that was told to shut down; its clients go on using their connections.
struct LeavingDaemon
{
    Node node;
    Now now{.monotonic = MonotonicTime(milliseconds(5000)), .wall = WallTime(milliseconds(5000))};
    MonotonicTime toldAt = now.monotonic;
    CallId nextCall = 1;
    std::size_t forwarded = 0;
    std::map<CallId, ClientOutcome> outcomes;

    LeavingDaemon()
    {
        node.options = {.name = "self", .endpoint = {.ip = "10.1.0.9", .port = 9}};
        beginShutdown(node, now);
    }

    void connectLeader()
    {
        const Endpoint endpoint{.ip = "10.1.0.1", .port = 1};
        handleNodeConnected(node, "first", now);
        handlePeerMessage(node, "first",
            Presence{.node = "first", .leader = {.token = 5, .node = "first", .endpoint = endpoint}}, now);
    }

    CallId take(milliseconds timeLeft = milliseconds(3000))
    {
        const CallId call = nextCall++;
        handleClientCall(
            node, {.call = call, .kind = ClientCallKind::Submit, .queue = "q", .job = call}, timeLeft, now);
        return call;
    }

    void settle()
    {
        tick(node, now);
        for (const Action &action : takeActions(node)) {
            if (const auto *answered = std::get_if<AnswerClient>(&action)) {
                outcomes[answered->answer.call] = answered->answer.outcome;
            } else if (const auto *message = std::get_if<SendToNode>(&action)) {
                forwarded += std::holds_alternative<ForwardedCall>(message->body) ? 1 : 0;
            }
        }
    }

    /// Until this long after SIGTERM.
    void runUntil(milliseconds sinceTold)
    {
        for (; now.monotonic < toldAt + sinceTold; now.monotonic += turn) {
            settle();
        }
    }
};

} // namespace

TEST_GROUP(DispatchShutdown){};

// Guards against a call that waits for a leader when the process ends: its client sees the connection close without an
// answer. Found on random days (LOST, Faraja, seeds 1228, 20208 and 20295): all daemons were told to shut down within
// 2.5 s, so none could lead, and calls that came 0.7 s to 1.1 s before the end waited longer than that for a leader.
TEST(DispatchShutdown, CallsWithoutALeaderAreRefusedBeforeTheProcessEnds)
{
    LeavingDaemon daemon;
    std::vector<CallId> calls;
    for (milliseconds at{4000}; at < processEnd - 2 * turn; at += turn) {
        daemon.runUntil(at);
        calls.push_back(daemon.take());
    }
    daemon.runUntil(processEnd - turn);
    CHECK(daemon.node.entries.empty());
    for (const CallId call : calls) {
        CHECK(daemon.outcomes.contains(call));
        CHECK(daemon.outcomes.at(call) == ClientOutcome::Refused);
    }
}

// Guards against a call that waits for the leader's answer when the process ends. The leader may have accepted it, so
// its outcome is unknown.
TEST(DispatchShutdown, CallsThatALeaderHasAreAnsweredBeforeTheProcessEnds)
{
    LeavingDaemon daemon;
    daemon.connectLeader();
    daemon.runUntil(milliseconds(4300));
    const CallId call = daemon.take();
    daemon.runUntil(processEnd - milliseconds(200));
    CHECK_EQUAL(1, daemon.forwarded);
    CHECK(daemon.outcomes.contains(call));
    CHECK(daemon.outcomes.at(call) == ClientOutcome::Unknown);
}

// Guards against a shutdown that refuses calls while a leader can still answer them.
TEST(DispatchShutdown, CallsAreHandedOnUntilShortlyBeforeTheEnd)
{
    LeavingDaemon daemon;
    daemon.connectLeader();
    daemon.runUntil(milliseconds(4800));
    const CallId call = daemon.take();
    daemon.settle();
    CHECK_EQUAL(1, daemon.forwarded);
    handlePeerMessage(
        daemon.node, "first", ForwardedAnswer{.answer = {.call = call, .outcome = ClientOutcome::Ok}}, daemon.now);
    daemon.settle();
    CHECK(daemon.outcomes.at(call) == ClientOutcome::Ok);
}

// Guards against a call that is handed on when its answer can't come in time, and against the refusal of a call that a
// leader was given.
TEST(DispatchShutdown, ACallInTheLastMomentIsRefusedAtOnceAndNotHandedOn)
{
    LeavingDaemon daemon;
    daemon.connectLeader();
    daemon.runUntil(processEnd - milliseconds(100));
    const CallId call = daemon.take();
    daemon.settle();
    CHECK_EQUAL(0, daemon.forwarded);
    CHECK(daemon.outcomes.contains(call));
    CHECK(daemon.outcomes.at(call) == ClientOutcome::Refused);
}
