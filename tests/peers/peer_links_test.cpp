#include "drivers/clock/system_clock.h"
#include "main/daemon_setup.h"
#include "modules/peer_link/peer_links.h"

#include <functional>
#include <optional>

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace wigeonkeel;

namespace
{

constexpr milliseconds patience{10000};

/// A scheduler with a real peer_link module on loopback.
struct LinkedDaemon
{
    Settings settings;
    Registry registry;
    prometheus::Registry metrics;
    Scheduler scheduler;
    Kernel kernel;
    PeerLinks links;

    LinkedDaemon(EventLoop &loop, std::string name, milliseconds heartbeat)
        : kernel{.loop = loop,
            .clock = systemClock(),
            .settings = settings,
            .registry = registry,
            .metrics = metrics,
            .scheduler = scheduler,
            .signals = {}}
        , links{.kernel = kernel,
              .options = {.self = {.name = std::move(name), .address = "127.0.0.1", .zone = "z", .incarnation = 1},
                  .heartbeat = heartbeat},
              .random = {.value = 1},
              .sendConnection = {},
              .keepConnection = {}}
    {
        kernel.signals.sendToPeer.connect([this](const SendToPeer &action) { sendToPeer(links, action); });
        kernel.signals.keepPeer.connect([this](const KeepPeer &action) { keepPeer(links, action); });
        CHECK_FALSE(static_cast<bool>(startLinks(links, "127.0.0.1", 0)));
        scheduler.membership.options.self = links.options.self;
        scheduler.membership.options.heartbeat = heartbeat;
    }

    bool connected(std::string_view peer) const
    {
        const auto found = scheduler.membership.peers.find(peer);
        return found != scheduler.membership.peers.end() && found->second.linkUp;
    }

    void keep(std::uint16_t port) { keepPeer(links, {.peer = {.address = "127.0.0.1", .port = port}, .keep = true}); }
};

/// A peer that says Hello and then does only what the test tells it.
struct FakePeer
{
    EventLoop &loop;
    std::unique_ptr<FrameListener> listener;
    std::vector<int> sockets;

    explicit FakePeer(EventLoop &eventLoop)
        : loop(eventLoop)
        , listener(std::make_unique<FrameListener>(
              eventLoop, [](void *self, int socket) { static_cast<FakePeer *>(self)->accept(socket); }, this))
    {
        CHECK_FALSE(static_cast<bool>(listener->listen("127.0.0.1", 0)));
    }

    ~FakePeer()
    {
        for (const int socket : sockets) {
            close(socket);
        }
    }

    void accept(int socket)
    {
        sockets.push_back(socket);
        write(*encodeFrame(HelloMessage{
            .from = {.name = "b", .address = "127.0.0.1", .port = listener->port(), .zone = "z", .incarnation = 7}}));
    }

    void write(std::string_view bytes) const
    {
        LONGS_EQUAL(bytes.size(), ::send(sockets.back(), bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }
};

/// Runs the loop until the condition holds. False if it took too long.
bool runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    const Clock clock = systemClock();
    const MonotonicTime end = clock.now() + patience;
    Timer timer(loop, [&] {
        if (condition() || clock.now() >= end) {
            loop.stop();
        }
    });
    timer.startRepeating(milliseconds(2));
    loop.run();
    return condition();
}

} // namespace

TEST_GROUP(PeerLinks){};

// Guards against two connections staying between daemons that dial each other, or each side closing the other one.
TEST(PeerLinks, OneConnectionOfAPairStays)
{
    EventLoop loop{systemClock()};
    LinkedDaemon a(loop, "a", milliseconds(50));
    LinkedDaemon b(loop, "b", milliseconds(50));
    a.keep(b.links.listener->port());
    b.keep(a.links.listener->port());
    b.keep(b.links.listener->port());
    const auto settled = [&] {
        return a.connected("b") && b.connected("a") && a.links.connections.size() == 1
            && b.links.connections.size() == 1;
    };
    CHECK_TRUE(runUntil(loop, settled));
    CHECK_TRUE(a.links.connections.begin()->second.dialled);
    CHECK_FALSE(b.links.connections.begin()->second.dialled);
    const std::uint64_t inUse = a.links.byName.at("b");
    // The connection stays alive without any message of the scheduler.
    const MonotonicTime end = a.kernel.clock.now() + milliseconds(500);
    CHECK_TRUE(runUntil(loop, [&] { return a.kernel.clock.now() >= end; }));
    LONGS_EQUAL(inUse, a.links.byName.at("b"));
    LONGS_EQUAL(0, a.scheduler.counters.peerSilentClosed);
}

// Guards against messages that are lost or changed on the way between two modules.
TEST(PeerLinks, MessagesArrive)
{
    EventLoop loop{systemClock()};
    // Both modules run on one loop, and reading the settings takes over 400 ms in an unoptimised build with sanitizers.
    // Within the patience no connection may be taken for a silent one.
    LinkedDaemon a(loop, "a", patience / 2);
    LinkedDaemon b(loop, "b", patience / 2);
    b.scheduler.configTable.operators["x"] = {.generation = 1, .version = 3, .text = std::string(1000000, 'v')};
    b.scheduler.configTable.operators["y"] = {.generation = 1, .version = 4, .text = std::string(900000, 'y')};
    b.scheduler.configTable.revision = 9;
    a.keep(b.links.listener->port());
    CHECK_TRUE(runUntil(loop, [&] { return a.connected("b") && b.connected("a"); }));
    sendToPeer(a.links, {.peer = "b", .message = ConfigPullMessage{.revision = 0}});
    CHECK_TRUE(runUntil(loop, [&] { return a.scheduler.configTable.revision == 9; }));
    CHECK_TRUE(a.scheduler.configTable.operators.at("x").text == std::string(1000000, 'v'));
    CHECK_TRUE(a.scheduler.configTable.operators.at("y").text == std::string(900000, 'y'));
    LONGS_EQUAL(0, a.scheduler.counters.peerSilentClosed + b.scheduler.counters.peerSilentClosed);
}

// Guards against a connection that stays open and delivers nothing being kept (the platform's links do that).
TEST(PeerLinks, SilentConnectionIsReplaced)
{
    EventLoop loop{systemClock()};
    LinkedDaemon a(loop, "a", milliseconds(50));
    FakePeer fake(loop);
    a.keep(fake.listener->port());
    CHECK_TRUE(runUntil(loop, [&] { return a.connected("b"); }));
    const MonotonicTime start = a.kernel.clock.now();
    CHECK_TRUE(runUntil(loop, [&] { return fake.sockets.size() >= 2; }));
    CHECK_TRUE(a.kernel.clock.now() - start >= milliseconds(80));
    CHECK_TRUE(runUntil(loop, [&] { return a.connected("b"); }));
    CHECK_TRUE(a.scheduler.counters.peerSilentClosed >= 1);
}

// Guards against a heartbeat that is not told whole to a new connection, is lost on the way through its short forms,
// or costs its full size although nothing changed.
TEST(PeerLinks, HeartbeatsArriveAsChangesAndRepeats)
{
    EventLoop loop{systemClock()};
    LinkedDaemon a(loop, "a", milliseconds(200));
    LinkedDaemon b(loop, "b", milliseconds(200));
    a.keep(b.links.listener->port());
    CHECK_TRUE(runUntil(loop, [&] { return a.connected("b") && b.connected("a"); }));
    HeartbeatMessage sent{.from = {.name = "a", .incarnation = 1},
        .capacity = {.cpuMilli = 16000, .memoryMib = 32768, .slots = 8},
        .free = {.cpuMilli = 16000, .memoryMib = 32768, .slots = 8},
        .ownedWorkers = 3,
        .leavingWorkers = {"w-1"},
        .alivePeers = {"b"}};
    const auto send = [&] {
        ++sent.sequence;
        const std::uint64_t before = a.scheduler.counters.peerBytesSent;
        sendToPeer(a.links, {.peer = "b", .message = sent});
        const std::uint64_t bytes = a.scheduler.counters.peerBytesSent - before;
        CHECK_TRUE(runUntil(loop, [&] { return b.scheduler.membership.peers.at("a").heartbeat == sent; }));
        return bytes;
    };
    const std::uint64_t whole = send();
    LONGS_EQUAL(shortFrame(ShortFrame::Repeat).size(), send());
    sent.free.cpuMilli = 100;
    sent.queuedTasks = 7;
    CHECK_TRUE(send() < whole);
    LONGS_EQUAL(shortFrame(ShortFrame::Repeat).size(), send());
    sent.leavingWorkers = {"w-1", "w-2"};
    CHECK_TRUE(send() > whole);
    // What the new connection has not carried can't be left out.
    const std::uint64_t former = a.links.byName.at("b");
    keepPeer(a.links, {.peer = {.address = "127.0.0.1", .port = b.links.listener->port()}, .keep = false});
    a.keep(b.links.listener->port());
    CHECK_TRUE(runUntil(loop, [&] { return a.connected("b") && a.links.byName.at("b") != former; }));
    CHECK_TRUE(send() > whole);
}

// Guards against connections without messages costing as much as heartbeats, and against one of them that went silent
// being kept after it was used: the answer to a message must come within two heartbeats.
TEST(PeerLinks, IdleConnectionCostsLittleAndIsReplacedWhenUsed)
{
    EventLoop loop{systemClock()};
    constexpr milliseconds heartbeat{50};
    LinkedDaemon a(loop, "a", heartbeat);
    LinkedDaemon c(loop, "c", heartbeat);
    FakePeer fake(loop);
    a.keep(c.links.listener->port());
    a.keep(fake.listener->port());
    CHECK_TRUE(runUntil(loop, [&] { return a.connected("b") && a.connected("c"); }));
    fake.write(shortFrame(ShortFrame::Idle));
    const MonotonicTime settled = a.kernel.clock.now() + heartbeat * 8;
    CHECK_TRUE(runUntil(loop, [&] { return a.kernel.clock.now() >= settled; }));
    fake.write(shortFrame(ShortFrame::Idle));
    const std::uint64_t framesBefore = c.scheduler.counters.peerFramesSent;
    const MonotonicTime end = a.kernel.clock.now() + heartbeat * 16;
    CHECK_TRUE(runUntil(loop, [&] { return a.kernel.clock.now() >= end; }));
    // One frame in 20 heartbeats, and the peer is content with it.
    CHECK_TRUE(c.scheduler.counters.peerFramesSent <= framesBefore + 1);
    LONGS_EQUAL(0, a.scheduler.counters.peerSilentClosed);
    LONGS_EQUAL(0, c.scheduler.counters.peerSilentClosed);
    sendToPeer(a.links, {.peer = "c", .message = ProbeMessage{.exchange = 1, .target = "c"}});
    sendToPeer(a.links, {.peer = "b", .message = ProbeMessage{.exchange = 1, .target = "b"}});
    const MonotonicTime used = a.kernel.clock.now();
    CHECK_TRUE(runUntil(loop, [&] { return a.scheduler.counters.peerSilentClosed == 1; }));
    // Far below the time after which an unused idle connection is given up, also on a busy machine.
    CHECK_TRUE(a.kernel.clock.now() - used < heartbeat * idleHeartbeats);
    CHECK_TRUE(runUntil(loop, [&] { return fake.sockets.size() == 2 && a.connected("b"); }));
    CHECK_TRUE(a.connected("c"));
}

// Guards against memory filling up for a peer that does not read.
TEST(PeerLinks, PeerThatDoesNotReadIsDisconnected)
{
    EventLoop loop{systemClock()};
    LinkedDaemon a(loop, "a", milliseconds(20000));
    FakePeer fake(loop);
    a.keep(fake.listener->port());
    CHECK_TRUE(runUntil(loop, [&] { return a.connected("b"); }));
    const AnswerMessage answer{.answer = {.result = std::string(800000, 'x')}};
    for (int i = 0; i < 100 && a.connected("b"); ++i) {
        sendToPeer(a.links, {.peer = "b", .message = answer});
    }
    CHECK_FALSE(a.connected("b"));
    LONGS_EQUAL(1, a.scheduler.counters.peerOverflowClosed);
}

// Guards against bad frames being read on, and against their reasons not being counted.
TEST(PeerLinks, BadFramesAreCountedAndEndTheConnection)
{
    struct Row
    {
        std::string bytes;
        std::uint64_t Counters::*counter = nullptr;
    };
    const std::vector<Row> rows = {
        {std::string("\xff\xff\xff\x7f", 4), &Counters::peerFramesTooLarge},
        {std::string("\x04\x00\x00\x00junk", 8), &Counters::peerFramesNotVerified},
        {*encodeFrame(HelloMessage{.from = {.name = "c"}}), &Counters::peerFramesBadValue},
        // Nothing was sent before that they could follow.
        {std::string(shortFrame(ShortFrame::Repeat)), &Counters::peerFramesBadValue},
        {*encodeFrame(HeartbeatChangeMessage{.ownedWorkers = 1}), &Counters::peerFramesBadValue},
    };
    for (const Row &row : rows) {
        EventLoop loop{systemClock()};
        LinkedDaemon a(loop, "a", milliseconds(20000));
        FakePeer fake(loop);
        a.keep(fake.listener->port());
        CHECK_TRUE(runUntil(loop, [&] { return a.connected("b"); }));
        fake.write(row.bytes);
        CHECK_TRUE(runUntil(loop, [&] { return a.scheduler.counters.*row.counter == 1; }));
        CHECK_FALSE(a.connected("b"));
    }
}

// Guards against messages of a connection whose sender has not said who it is.
TEST(PeerLinks, HelloMustComeFirst)
{
    EventLoop loop{systemClock()};
    LinkedDaemon a(loop, "a", milliseconds(20000));
    FakePeer other(loop);
    std::optional<std::string> closedFor;
    FrameConnection stranger(loop, "127.0.0.1", a.links.listener->port(),
        {.state = &closedFor,
            .connected = [](void *, std::uint64_t) {},
            .frame = [](void *, std::uint64_t, std::span<const std::byte>) {},
            .refused = [](void *, std::uint64_t, FrameProblem) {},
            .closed =
                [](void *state, std::uint64_t, std::string_view reason) {
                    *static_cast<std::optional<std::string> *>(state) = std::string(reason);
                }});
    stranger.send(*encodeFrame(ProbeMessage{.exchange = 1, .target = "a"}));
    CHECK_TRUE(runUntil(loop, [&] { return closedFor.has_value(); }));
    LONGS_EQUAL(1, a.scheduler.counters.peerFramesBadValue);
}
