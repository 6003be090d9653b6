#include "core/dispatch/node.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr CallId submission = 77;

Presence presenceOfLeader(std::string_view name, std::uint64_t token)
{
    const Endpoint endpoint{.ip = "10.1.0.1", .port = 1};
    return {.node = std::string(name), .leader = {.token = token, .node = std::string(name), .endpoint = endpoint}};
}

/// A follower of "first" that has handed a submission on.
struct Follower
{
    Node node;
    Now now{.monotonic = MonotonicTime(milliseconds(5000)), .wall = WallTime(milliseconds(5000))};

    Follower()
    {
        node.options = {.name = "self", .endpoint = {.ip = "10.1.0.9", .port = 9}};
        nodeConnected(node, "first", now);
        takePeerMessage(node, "first", presenceOfLeader("first", 5), now);
        takeClient(node, {.call = submission, .kind = ClientCallKind::Submit, .queue = "q", .job = 1},
            milliseconds(3000), now);
        tick(node, now);
    }

    /// Counts since the last look.
    std::ptrdiff_t forwarded()
    {
        return std::ranges::count_if(takeActions(node), [](const Action &action) {
            const auto *message = std::get_if<SendToNode>(&action);
            return message != nullptr && std::holds_alternative<ForwardedCall>(message->body);
        });
    }

    void answer(std::string_view from, ClientOutcome outcome)
    {
        takePeerMessage(node, from, ForwardedAnswer{.answer = {.call = submission, .outcome = outcome}}, now);
    }
};

} // namespace

TEST_GROUP(DispatchForwarding){};

// Guards against a submission that the leader gets twice when it claims again after an outage of the store: it refuses
// one copy, accepts the other, and the job runs although its client was told that it will not. Found by a hunt (REFUSED
// at 34.5 s, Faraja, hunt-d705-27).
TEST(DispatchForwarding, ALeaderThatClaimedAgainIsNotGivenCallsTwice)
{
    Follower follower;
    CHECK_EQUAL(1, follower.forwarded());
    takePeerMessage(follower.node, "first", presenceOfLeader("first", 9), follower.now);
    tick(follower.node, follower.now);
    CHECK_EQUAL(0, follower.forwarded());
    follower.answer("first", ClientOutcome::Refused);
    CHECK(follower.node.entries.empty());
}

// Guards against the refusal of a former leader, after the call was given to its successor.
TEST(DispatchForwarding, AFormerLeadersRefusalIsPassedOver)
{
    Follower follower;
    CHECK_EQUAL(1, follower.forwarded());
    nodeConnected(follower.node, "second", follower.now);
    takePeerMessage(follower.node, "second", presenceOfLeader("second", 9), follower.now);
    tick(follower.node, follower.now);
    CHECK_EQUAL(1, follower.forwarded());
    follower.answer("first", ClientOutcome::Refused);
    CHECK_EQUAL(1, follower.node.entries.size());
    follower.answer("second", ClientOutcome::Ok);
    CHECK(follower.node.entries.empty());
}

// Guards against a call that is lost with a leader that was restarted under its name.
TEST(DispatchForwarding, ARestartedLeaderIsGivenTheCallAgain)
{
    Follower follower;
    CHECK_EQUAL(1, follower.forwarded());
    nodeDisconnected(follower.node, "first", follower.now);
    nodeConnected(follower.node, "first", follower.now);
    takePeerMessage(follower.node, "first", presenceOfLeader("first", 9), follower.now);
    tick(follower.node, follower.now);
    CHECK_EQUAL(1, follower.forwarded());
}
