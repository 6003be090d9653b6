#include "core/dispatch/node.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds turn{25};
/// With the default grace time, the process exits this long after SIGTERM.
constexpr milliseconds processExit{5300};

/// A daemon that is shutting down while its clients continue to send calls over open connections.
struct StoppingDaemon
{
    Node node;
    Now now{.monotonic = MonotonicTime(milliseconds(5000)), .wall = WallTime(milliseconds(5000))};
    MonotonicTime shutdownStartedAt = now.monotonic;
    CallId nextCall = 1;
    std::size_t forwarded = 0;
    std::map<CallId, ClientOutcome> outcomes;

    StoppingDaemon()
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

    CallId receiveCall(milliseconds timeLeft = milliseconds(3000))
    {
        const CallId call = nextCall++;
        handleClientCall(
            node, {.call = call, .kind = ClientCallKind::Submit, .queue = "q", .job = call}, timeLeft, now);
        return call;
    }

    void finishTurn()
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

    /// Runs the daemon until this long after SIGTERM.
    void runUntil(milliseconds sinceShutdown)
    {
        for (; now.monotonic < shutdownStartedAt + sinceShutdown; now.monotonic += turn) {
            finishTurn();
        }
    }
};

} // namespace

TEST_GROUP(DispatchShutdown){};

// Guards against a call that still waits for a leader when the process exits, so that its client sees the connection
// close without an answer. Happens when all daemons are shut down within 2.5 s, so that none can lead, and a call that
// arrives 0.7 s to 1.1 s before the exit waits longer than that for a leader. Seen in randomised fault runs (LOST,
// Faraja, seeds 1228, 20208 and 20295).
TEST(DispatchShutdown, CallsWithoutALeaderAreRejectedBeforeTheProcessExits)
{
    StoppingDaemon daemon;
    std::vector<CallId> calls;
    for (milliseconds at{4000}; at < processExit - 2 * turn; at += turn) {
        daemon.runUntil(at);
        calls.push_back(daemon.receiveCall());
    }
    daemon.runUntil(processExit - turn);
    CHECK(daemon.node.entries.empty());
    for (const CallId call : calls) {
        CHECK(daemon.outcomes.contains(call));
        CHECK(daemon.outcomes.at(call) == ClientOutcome::Refused);
    }
}

// Guards against a call that still waits for the leader's answer when the process exits. The leader may have accepted
// the call, so its outcome is unknown.
TEST(DispatchShutdown, ForwardedCallsAreAnsweredBeforeTheProcessExits)
{
    StoppingDaemon daemon;
    daemon.connectLeader();
    daemon.runUntil(milliseconds(4300));
    const CallId call = daemon.receiveCall();
    daemon.runUntil(processExit - milliseconds(200));
    CHECK_EQUAL(1, daemon.forwarded);
    CHECK(daemon.outcomes.contains(call));
    CHECK(daemon.outcomes.at(call) == ClientOutcome::Unknown);
}

// Guards against a shutdown that rejects calls while a leader can still answer them in time.
TEST(DispatchShutdown, CallsAreForwardedUntilShortlyBeforeTheProcessExits)
{
    StoppingDaemon daemon;
    daemon.connectLeader();
    daemon.runUntil(milliseconds(4800));
    const CallId call = daemon.receiveCall();
    daemon.finishTurn();
    CHECK_EQUAL(1, daemon.forwarded);
    handlePeerMessage(
        daemon.node, "first", ForwardedAnswer{.answer = {.call = call, .outcome = ClientOutcome::Ok}}, daemon.now);
    daemon.finishTurn();
    CHECK(daemon.outcomes.at(call) == ClientOutcome::Ok);
}

// Guards against a call that is forwarded to the leader although the answer can't arrive before the process exits, and
// against the rejection of a call that was forwarded and that the leader may run.
TEST(DispatchShutdown, ACallJustBeforeTheProcessExitsIsRejectedAtOnceAndNotForwarded)
{
    StoppingDaemon daemon;
    daemon.connectLeader();
    daemon.runUntil(processExit - milliseconds(100));
    const CallId call = daemon.receiveCall();
    daemon.finishTurn();
    CHECK_EQUAL(0, daemon.forwarded);
    CHECK(daemon.outcomes.contains(call));
    CHECK(daemon.outcomes.at(call) == ClientOutcome::Refused);
}
