#include "core/guarded_call.h"
#include "core/routing/random.h"
#include "drivers/cluster_protocol/cluster_codec.h"
#include "drivers/peer_protocol/peer_codec.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

std::optional<PeerBody> roundTrip(const PeerBody &body)
{
    const std::string frame = encodePeerBody(body);
    return decodePeerBody(std::as_bytes(std::span(frame)).subspan(frameHeaderSize));
}

} // namespace

TEST_GROUP(ClusterCodec){};

TEST(ClusterCodec, MessagesAreUnchangedAfterARoundTrip)
{
    const auto call = roundTrip(ForwardedCall{.call
        = {.call = 7, .kind = ClientCallKind::Cancel, .queue = "q", .job = 0xabc, .record = std::string("\0x", 2)}});
    CHECK(call.has_value());
    const ClientCall &decoded = std::get<ForwardedCall>(*call).call;
    CHECK(decoded.call == 7 && decoded.kind == ClientCallKind::Cancel && decoded.job == 0xabc);
    CHECK(decoded.record == std::string("\0x", 2));
    const auto presence = roundTrip(
        Presence{.node = "a", .leader = {.token = 5, .node = "b", .endpoint = {.ip = "1.2.3.4", .port = 6}}});
    CHECK(presence.has_value() && std::get<Presence>(*presence).leader.endpoint.port == 6);
    const auto numbered
        = roundTrip(Presence{.node = "a", .leader = {.token = 5, .identity = 9}, .number = 1ULL << 62, .echo = 8});
    CHECK(numbered.has_value() && std::get<Presence>(*numbered).number == 1ULL << 62);
    CHECK(std::get<Presence>(*numbered).echo == 8);
    CHECK(std::get<Presence>(*numbered).leader.identity == 9);
    const auto advice = roundTrip(
        AdviceResult{.reply = {.call = 2, .status = CallStatus::Ok, .allowed = {{.worker = "w", .ticket = "t"}}}});
    CHECK(advice.has_value() && std::get<AdviceResult>(*advice).reply.allowed.at(0).ticket == "t");
}

// Guards against settings that are lost or altered when one daemon sends them to another.
TEST(ClusterCodec, ConfigurationIsUnchangedAfterARoundTrip)
{
    Configuration configuration{.version = 9,
        .queues = {{.name = "a",
                       .host = "h",
                       .pathPrefix = "/a/",
                       .pool = "p",
                       .priority = 2,
                       .maxAttempts = 3,
                       .stretch = 1.5,
                       .target = milliseconds(70),
                       .advice = AdviceTimes{.base = std::chrono::microseconds(11500),
                           .perWorker = std::chrono::microseconds(160),
                           .ticketValidity = milliseconds(2000)}},
            {.name = "b", .host = "h", .pathPrefix = "/b/", .pool = "p"}},
        .pools = {{.name = "p", .workersEnforceCapacity = true, .standby = true}},
        .limits
        = {.maxHeaderBytes = 1, .maxBodyBytes = 2, .headerTimeout = milliseconds(3), .idleTimeout = milliseconds(4)}};
    const auto body = roundTrip(ConfigurationTransfer{.configuration = configuration});
    CHECK(body.has_value());
    const Configuration &decoded = std::get<ConfigurationTransfer>(*body).configuration;
    CHECK(decoded.version == 9 && decoded.queues.size() == 2 && decoded.pools.size() == 1);
    const QueueConfig &first = decoded.queues[0];
    CHECK(first.name == "a" && first.host == "h" && first.pathPrefix == "/a/" && first.pool == "p");
    CHECK(first.priority == 2 && first.maxAttempts == 3 && first.target == milliseconds(70));
    DOUBLES_EQUAL(1.5, first.stretch, 0.0);
    CHECK(first.advice->base.count() == 11500 && first.advice->perWorker.count() == 160);
    CHECK(first.advice->ticketValidity == milliseconds(2000));
    CHECK_FALSE(decoded.queues[1].advice.has_value());
    CHECK(decoded.pools[0].workersEnforceCapacity && decoded.pools[0].standby);
    CHECK(decoded.limits.maxBodyBytes == 2 && decoded.limits.idleTimeout == milliseconds(4));
}

// Guards against a list of tenants, or a call's tenant, that is lost or altered between daemons: an empty list closes
// all routes, no list opens them.
TEST(ClusterCodec, TenantsAreUnchangedAfterARoundTrip)
{
    Configuration configuration{
        .version = 9, .queues = {{.name = "open", .isPublic = true}, {.name = "closed"}}, .pools = {}};
    const auto sent = [&configuration] {
        const auto body = roundTrip(ConfigurationTransfer{.configuration = configuration});
        CHECK(body.has_value());
        return std::get<ConfigurationTransfer>(*body).configuration;
    };
    CHECK_FALSE(sent().tenants.has_value());
    CHECK(sent().queues[0].isPublic && !sent().queues[1].isPublic);
    configuration.tenants.emplace();
    CHECK(sent().tenants.has_value() && sent().tenants->empty());
    configuration.tenants = {{.name = "a b",
                                 .keys = {"k1", std::string("\x80\xff=")},
                                 .weight = 0.25,
                                 .cap = {.cpuMilli = 1, .memoryMib = std::int64_t{1} << 53, .accelerators = 3}},
        {.name = "c", .keys = {}, .weight = 0}};
    const auto tenants = sent().tenants;
    CHECK(tenants.has_value());
    CHECK_EQUAL(2U, tenants->size());
    for (std::size_t i = 0; i < tenants->size(); ++i) {
        const TenantConfig &expected = configuration.tenants->at(i);
        CHECK(tenants->at(i).name == expected.name && tenants->at(i).keys == expected.keys);
        CHECK(tenants->at(i).cap == expected.cap);
        DOUBLES_EQUAL(expected.weight, tenants->at(i).weight, 0.0);
    }
}

// Guards against a leader that takes a call for one of another tenant, or of none, and answers that change on the way.
TEST(ClusterCodec, TheTenantOfACallIsUnchangedAfterARoundTrip)
{
    const auto call = roundTrip(ForwardedCall{.call = {.call = 7, .tenant = "a b", .isRestricted = true}});
    CHECK(call.has_value());
    CHECK(std::get<ForwardedCall>(*call).call.tenant == "a b" && std::get<ForwardedCall>(*call).call.isRestricted);
    const auto open = roundTrip(ForwardedCall{.call = {.call = 7}});
    CHECK(open.has_value());
    CHECK(std::get<ForwardedCall>(*open).call.tenant.empty() && !std::get<ForwardedCall>(*open).call.isRestricted);
    const auto answer
        = roundTrip(ForwardedAnswer{.answer = {.call = 7, .outcome = ClientOutcome::Forbidden, .detail = "why"}});
    CHECK(answer.has_value());
    CHECK(std::get<ForwardedAnswer>(*answer).answer.outcome == ClientOutcome::Forbidden);
    CHECK(std::get<ForwardedAnswer>(*answer).answer.detail == "why");
}

// Guards against reading past the end of a truncated frame or of one from another protocol.
TEST(ClusterCodec, TruncatedFramesAreRejected)
{
    const std::string frame = encodePeerBody(ForwardedCall{.call = {.call = 1, .queue = "queue", .record = "record"}});
    const auto bytes = std::as_bytes(std::span(frame)).subspan(frameHeaderSize);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        decodePeerBody(bytes.first(size));
    }
    CHECK_FALSE(decodePeerBody(bytes.first(bytes.size() / 2)).has_value());
    CHECK_FALSE(decodePeerBody({}).has_value());
}

namespace
{

std::vector<PeerBody> messagesOfAllKinds()
{
    const Configuration configuration{.version = 9,
        .queues = {{.name = "a", .host = "h", .pathPrefix = "/a/", .pool = "p", .advice = AdviceTimes{}}},
        .pools = {{.name = "p"}},
        .tenants = std::vector<TenantConfig>{{.name = "t", .keys = {"k"}, .cap = {.cpuMilli = 5}}}};
    return {Presence{.node = "n9",
                .leader = {.token = 5, .node = "n8", .endpoint = {.ip = "1.2.3.4", .port = 6}, .identity = 9},
                .cpuMilli = 500,
                .number = 7},
        ForwardedCall{.call = {.call = 1,
                          .queue = "batch",
                          .job = 0x1,
                          .tenant = "t",
                          .isRestricted = true,
                          .wait = milliseconds(300)}},
        ForwardedCall{.call = {.call = 1, .kind = ClientCallKind::Submit, .queue = "batch", .job = 2, .record = "{}"}},
        ForwardedAnswer{.answer = {.call = 1, .outcome = ClientOutcome::Ok, .retryAfter = milliseconds(5)}},
        AdviceOrder{.request = {.call = 2, .workers = {"w0", "w1"}, .timeout = milliseconds(90)}},
        AdviceResult{.reply = {.call = 2,
                         .status = CallStatus::Ok,
                         .allowed = {{.worker = "w0", .ticket = "t"}},
                         .validity = milliseconds(2000)}},
        ConfigurationRequest{.newerThan = 3}, ConfigurationTransfer{.configuration = configuration}};
}

} // namespace

// Guards against one malformed message of another daemon that ends the process of a leader or of a follower.
TEST(ClusterCodec, AlteredFramesDoNoHarm)
{
    constexpr int rounds = 3000;
    const std::vector<PeerBody> messages = messagesOfAllKinds();
    RandomState random{.value = 11};
    World world(2, 2);
    world.run(milliseconds(3000));
    world.submit(0, 0x1, {.payload = "p", .steps = {stepOf(1, 100, milliseconds(60000))}}, "batch");
    world.run(milliseconds(300));
    const std::uint64_t errors = unexpectedErrors();
    for (int round = 0; round < rounds; ++round) {
        std::string frame = encodePeerBody(messages[randomBelow(random, messages.size())]);
        const std::size_t body = frame.size() - frameHeaderSize;
        for (std::uint64_t i = randomBelow(random, 4); i-- > 0;) {
            frame[frameHeaderSize + randomBelow(random, body)] = static_cast<char>(nextRandom(random));
        }
        const auto decoded = decodePeerBody(std::as_bytes(std::span(frame)).subspan(frameHeaderSize));
        for (const WorldNode &node : world.nodes) {
            if (decoded) {
                callGuarded("test", [&] { handlePeerMessage(*node.node, "n9", *decoded, world.now()); });
            }
        }
        world.run(milliseconds(round % 50 == 0 ? 10 : 0));
    }
    CHECK_EQUAL(errors, unexpectedErrors());
}
