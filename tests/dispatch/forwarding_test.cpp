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

/// A follower of "first" that has forwarded a submission to it.
struct Follower
{
    Node node;
    Now now{.monotonic = MonotonicTime(milliseconds(5000)), .wall = WallTime(milliseconds(5000))};

    Follower()
    {
        node.options = {.name = "self", .endpoint = {.ip = "10.1.0.9", .port = 9}};
        handleNodeConnected(node, "first", now);
        handlePeerMessage(node, "first", presenceOfLeader("first", 5), now);
        handleClientCall(node, {.call = submission, .kind = ClientCallKind::Submit, .queue = "q", .job = 1},
            milliseconds(3000), now);
        tick(node, now);
    }

    /// Number of calls forwarded since the last invocation.
    std::ptrdiff_t forwarded()
    {
        return std::ranges::count_if(takeActions(node), [](const Action &action) {
            const auto *message = std::get_if<SendToNode>(&action);
            return message != nullptr && std::holds_alternative<ForwardedCall>(message->body);
        });
    }

    void answer(std::string_view from, ClientOutcome outcome)
    {
        handlePeerMessage(node, from, ForwardedAnswer{.answer = {.call = submission, .outcome = outcome}}, now);
    }
};

} // namespace

TEST_GROUP(DispatchForwarding){};

// Guards against a submission that is sent twice to a leader that claims again after an outage of the store. The leader
// would reject one copy and accept the other, and the job would run although its client got a rejection.
TEST(DispatchForwarding, CallsAreNotSentTwiceToALeaderThatClaimsAgain)
{
    Follower follower;
    CHECK_EQUAL(1, follower.forwarded());
    handlePeerMessage(follower.node, "first", presenceOfLeader("first", 9), follower.now);
    tick(follower.node, follower.now);
    CHECK_EQUAL(0, follower.forwarded());
    follower.answer("first", ClientOutcome::Refused);
    CHECK(follower.node.entries.empty());
}

// Guards against a submission that is sent twice to the same leader because this daemon tried to replace it meanwhile.
// The leader would reject one copy and accept the other.
TEST(DispatchForwarding, CallsAreNotSentTwiceAfterAnAbandonedClaim)
{
    Follower follower;
    CHECK_EQUAL(1, follower.forwarded());
    follower.node.leadership.phase = ClaimPhase::ReadingControl;
    handlePeerMessage(follower.node, "first", presenceOfLeader("first", 9), follower.now);
    CHECK(follower.node.leadership.phase == ClaimPhase::Following);
    tick(follower.node, follower.now);
    const auto again = follower.forwarded();
    CHECK_EQUAL(0, again);
}

// Guards against a former leader's rejection ending a call that was also sent to its successor.
TEST(DispatchForwarding, AFormerLeadersRejectionIsIgnored)
{
    Follower follower;
    CHECK_EQUAL(1, follower.forwarded());
    handleNodeConnected(follower.node, "second", follower.now);
    handlePeerMessage(follower.node, "second", presenceOfLeader("second", 9), follower.now);
    tick(follower.node, follower.now);
    CHECK_EQUAL(1, follower.forwarded());
    follower.answer("first", ClientOutcome::Refused);
    CHECK_EQUAL(1, follower.node.entries.size());
    follower.answer("second", ClientOutcome::Ok);
    CHECK(follower.node.entries.empty());
}

// Guards against losing a call when the leader restarts under the same name.
TEST(DispatchForwarding, CallsAreSentAgainToARestartedLeader)
{
    Follower follower;
    CHECK_EQUAL(1, follower.forwarded());
    handleNodeDisconnected(follower.node, "first", follower.now);
    handleNodeConnected(follower.node, "first", follower.now);
    handlePeerMessage(follower.node, "first", presenceOfLeader("first", 9), follower.now);
    tick(follower.node, follower.now);
    CHECK_EQUAL(1, follower.forwarded());
}
