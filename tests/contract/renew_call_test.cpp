#include "drivers/clock/system_clock.h"
#include "drivers/worker_protocol/renew_call.h"
#include "modules/worker_http/worker_link.h"
#include "tests/contract/standin_process.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;

namespace
{

constexpr std::uint16_t port = 7201;
constexpr milliseconds lease{60000};
// The name needs escapes in a query.
const std::string holder = "d 1&x=/%/00ff";

/// A worker stand-in behind the adapter.
struct RenewedWorker
{
    EventLoop loop{systemClock()};
    StandinProcess process;
    std::uint64_t sent = 0;
    std::optional<WorkerReport> answer;
    bool failed = false;
    std::size_t changes = 0;
    WorkerLinks links{.loop = loop,
        .clock = systemClock(),
        .emit = [this](const Event &event) { note(event); },
        .links = {},
        .byteCounts = {.sent = &sent},
        .exchangeTimeout = milliseconds(5000),
        .sendConnection = {},
        .forgetConnection = {}};

    explicit RenewedWorker(std::vector<std::string> flags = {})
        : process(loop, "worker_standin", port, std::move(flags))
    {
    }

    void note(const Event &event)
    {
        const auto *report = std::get_if<WorkerReport>(&event);
        if (report == nullptr) {
            failed = true;
        } else if (report->answersExchange) {
            answer = *report;
        } else {
            ++changes;
        }
    }

    /// Nothing if the exchange failed.
    std::optional<WorkerReport> exchange(std::vector<WorkerCommand> commands)
    {
        answer.reset();
        failed = false;
        sendExchange(
            links, {.worker = "w-1", .address = process.address(), .port = port, .commands = std::move(commands)});
        CHECK_TRUE(runUntil(loop, [this] { return answer.has_value() || failed; }));
        return answer;
    }

    /// Takes the worker. Returns the end of the lease. The start is a change, after which the waiting call is sent
    /// anew; its bytes are counted too and must not fall into what a test measures.
    WorkerTime own()
    {
        const WorkerTime until = exchange({})->clock + lease;
        exchange({{.kind = CommandKind::Start, .task = ownerTaskId, .leaseUntil = until, .holder = holder}});
        CHECK_TRUE(runUntil(loop, [this] { return changes > 0; }));
        return until;
    }
};

WorkerCommand renewal(WorkerTime until, std::string by)
{
    return {.kind = CommandKind::Renew, .task = ownerTaskId, .leaseUntil = until, .holder = std::move(by)};
}

} // namespace

TEST_GROUP(RenewCall){};

// Guards against a short call that renews something else than the whole exchange would, or that another daemon can
// use, and against one that is not short: an idle daemon sends hardly anything else.
TEST(RenewCall, RenewsAsTheExchangeDoes)
{
    RenewedWorker worker;
    const WorkerTime until = worker.own();
    CHECK_TRUE(worker.links.links.at("w-1").renewCall);
    const std::uint64_t before = worker.sent;
    const auto renewed = worker.exchange({renewal(until + lease, holder)});
    CHECK_TRUE(worker.sent - before < 180);
    CHECK_TRUE(renewed && renewed->results.size() == 1 && renewed->results[0].task == ownerTaskId);
    CHECK_TRUE(renewed->results[0].status == CommandStatus::Renewed && renewed->results[0].leaseUntil == until + lease);
    CHECK_TRUE(renewed->results[0].holder == holder && renewed->answersExchange);
    const auto refused = worker.exchange({renewal(until + lease * 2, "d-2")});
    CHECK_TRUE(refused && refused->results[0].status == CommandStatus::NotHolder);
    CHECK_TRUE(worker.exchange({renewal(until, holder)})->results[0].leaseUntil == until + lease);
}

// Guards against a worker that can't be renewed because it does not know the short call, from the start or since it was
// replaced by an older one.
TEST(RenewCall, WorkersWithoutItGetWholeExchanges)
{
    RenewedWorker worker({"--norenew_call"});
    const WorkerTime until = worker.own();
    CHECK_TRUE(worker.exchange({renewal(until + lease, holder)})->results[0].status == CommandStatus::Renewed);
    worker.links.links.at("w-1").renewCall = true;
    CHECK_FALSE(worker.exchange({renewal(until + lease * 2, holder)}).has_value());
    CHECK_TRUE(worker.exchange({renewal(until + lease * 2, holder)})->results[0].leaseUntil == until + lease * 2);
}

// Guards against a command or a request for a full report that is left out because the short form has no place for it.
TEST(RenewCall, OnlyALoneRenewalIsShort)
{
    const WorkerCommand renew = renewal(WorkerTime(lease), holder);
    WorkerCommand fenced = renew;
    fenced.epoch = 1;
    WorkerCommand other = renew;
    other.task = {.job = makeRequestKey("faraja", "r-1"), .index = 0};
    WorkerCommand stop = renew;
    stop.kind = CommandKind::Stop;
    CHECK_TRUE(renewCallPath({.commands = {renew}}).has_value());
    for (const std::vector<WorkerCommand> &commands :
        std::vector<std::vector<WorkerCommand>>{{}, {renew, stop}, {fenced}, {other}, {stop}}) {
        CHECK_FALSE(renewCallPath({.commands = commands}).has_value());
    }
    CHECK_FALSE(renewCallPath({.commands = {renew}, .full = true}).has_value());
    CHECK_TRUE(renewCallPath({.commands = {renew}, .since = 17})->ends_with("&since=17"));
}
