#include "core/dispatch/node.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

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

namespace
{

constexpr std::size_t largeRecord = 300000;
constexpr milliseconds longDeadline{60000};

/// A daemon that knows no leader yet, with submissions of large records that wait for one.
struct Waiting
{
    Node node;
    Now now{.monotonic = MonotonicTime(milliseconds(5000)), .wall = WallTime(milliseconds(5000))};

    explicit Waiting(std::size_t callMemory = std::size_t{32} << 20)
    {
        node.options = {.name = "self", .endpoint = {.ip = "10.1.0.9", .port = 9}, .callMemoryBytes = callMemory};
    }

    void submit(CallId call, std::size_t recordSize = largeRecord)
    {
        handleClientCall(node,
            {.call = call,
                .kind = ClientCallKind::Submit,
                .queue = "q",
                .job = call,
                .record = std::string(recordSize, 'x')},
            longDeadline, now);
    }

    void connectLeader()
    {
        handleNodeConnected(node, "first", now);
        handlePeerMessage(node, "first", presenceOfLeader("first", 5), now);
    }

    /// Calls that were forwarded since the last invocation.
    std::vector<CallId> forwarded()
    {
        std::vector<CallId> calls;
        for (const Action &action : takeActions(node)) {
            const auto *message = std::get_if<SendToNode>(&action);
            if (message != nullptr && std::holds_alternative<ForwardedCall>(message->body)) {
                calls.push_back(std::get<ForwardedCall>(message->body).call.call);
            }
        }
        return calls;
    }

    std::vector<ClientAnswer> answers()
    {
        std::vector<ClientAnswer> answers;
        for (const Action &action : takeActions(node)) {
            if (const auto *answered = std::get_if<AnswerClient>(&action)) {
                answers.push_back(answered->answer);
            }
        }
        return answers;
    }
};

} // namespace

// Guards against a daemon that forwards all calls that waited for a leader at once: the link was closed because too
// much was queued, and again after each reconnection, as long as the calls waited.
TEST(DispatchForwarding, CallsThatWaitedAreForwardedInParts)
{
    Waiting waiting;
    for (CallId call = 1; call <= 10; ++call) {
        waiting.submit(call);
    }
    waiting.connectLeader();
    std::vector<CallId> all;
    for (int turn = 0; turn < 10 && all.size() < 10; ++turn) {
        tick(waiting.node, waiting.now);
        const std::vector<CallId> calls = waiting.forwarded();
        CHECK_TRUE(!calls.empty());
        CHECK_TRUE(calls.size() * largeRecord <= maxForwardedBytes);
        for (const CallId call : calls) {
            handlePeerMessage(waiting.node, "first",
                ForwardedAnswer{.answer = {.call = call, .outcome = ClientOutcome::Ok}}, waiting.now);
        }
        all.insert(all.end(), calls.begin(), calls.end());
    }
    UNSIGNED_LONGS_EQUAL(10, all.size());
    CHECK_TRUE(std::ranges::is_sorted(all));
}

TEST(DispatchForwarding, ACallThatIsLargerThanAPartIsForwardedAlone)
{
    Waiting waiting;
    waiting.submit(1, maxForwardedBytes * 2);
    waiting.submit(2);
    waiting.connectLeader();
    tick(waiting.node, waiting.now);
    UNSIGNED_LONGS_EQUAL(1, waiting.forwarded().size());
}

// Guards against calls whose answers never come and that keep others from the leader.
TEST(DispatchForwarding, UnansweredCallsDoNotKeepOthersFromTheLeader)
{
    Waiting waiting;
    for (CallId call = 1; call <= 10; ++call) {
        waiting.submit(call);
    }
    waiting.connectLeader();
    tick(waiting.node, waiting.now);
    const std::size_t first = waiting.forwarded().size();
    tick(waiting.node, waiting.now);
    UNSIGNED_LONGS_EQUAL(0, waiting.forwarded().size());
    waiting.now.monotonic += milliseconds(2500);
    handlePeerMessage(waiting.node, "first", presenceOfLeader("first", 5), waiting.now);
    tick(waiting.node, waiting.now);
    const std::size_t second = waiting.forwarded().size();
    CHECK_TRUE(first > 0 && second > 0);
}

// Guards against calls that fill the memory while no leader answers.
TEST(DispatchForwarding, CallsBeyondTheMemoryAreRefused)
{
    Waiting waiting(std::size_t{1} << 20);
    for (CallId call = 1; call <= 4; ++call) {
        waiting.submit(call);
    }
    const std::vector<ClientAnswer> answers = waiting.answers();
    UNSIGNED_LONGS_EQUAL(1, answers.size());
    UNSIGNED_LONGS_EQUAL(4, answers.front().call);
    CHECK_TRUE(answers.front().outcome == ClientOutcome::Refused);
    CHECK_TRUE(answers.front().retryAfter.count() > 0);
    UNSIGNED_LONGS_EQUAL(1, waiting.node.callsRefusedByMemory);
}

// Guards against clients that send and leave, and so keep the room of those that wait.
TEST(DispatchForwarding, CallsOfClientsThatAreGoneGiveRoomToOthers)
{
    Waiting waiting(std::size_t{1} << 20);
    for (CallId call = 1; call <= 3; ++call) {
        waiting.submit(call);
        handleClientGone(waiting.node, call);
    }
    waiting.submit(4);
    UNSIGNED_LONGS_EQUAL(3, waiting.answers().size());
    UNSIGNED_LONGS_EQUAL(1, waiting.node.entries.size());
    CHECK_TRUE(waiting.node.entries.contains(4));
    waiting.connectLeader();
    tick(waiting.node, waiting.now);
    handlePeerMessage(
        waiting.node, "first", ForwardedAnswer{.answer = {.call = 4, .outcome = ClientOutcome::Ok}}, waiting.now);
    UNSIGNED_LONGS_EQUAL(0, waiting.node.entryBytes);
}
