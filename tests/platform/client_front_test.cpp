#include "platform/client_front.h"

#include "core/dispatch/records.h"
#include "tests/contract/standin_process.h"
#include "tests/dispatch/kernel_test.h"
#include "tests/drivers/http/raw_socket.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;
using namespace wigeonkeel::platform;

namespace
{

constexpr const char *address = "127.93.17.9";
constexpr milliseconds pollInterval{5};
constexpr std::string_view secret = "s3cr3t-b";
constexpr std::string_view job = "00000000000000a1";

} // namespace

TEST_GROUP_BASE(ClientFront, KernelTest)
{
    platform::ClientFront front{kernel, {.ip = address}, {.ip = address}, platform::clientBounds({})};

    void setup() override
    {
        Configuration &configuration = kernel.node.configuration;
        configuration = {.version = 1,
            .queues = {{.name = "closed", .host = "h", .pathPrefix = "/c/", .pool = "p"},
                {.name = "open", .host = "h", .pathPrefix = "/o/", .pool = "p", .isPublic = true}},
            .pools = {{.name = "p"}}};
        configuration.tenants = std::vector<TenantConfig>{{.name = "birch", .keys = {std::string(secret)}}};
        indexQueues(configuration);
        indexKeys(configuration, 7);
        kernel.node.hasConfiguration = true;
        CHECK_FALSE(static_cast<bool>(listen(front)));
    }

    std::unique_ptr<RawSocket> send(
        std::string_view method, std::string_view path, std::string_view authorization, std::string_view body = {})
    {
        auto client = std::make_unique<RawSocket>(address, front.clients.port());
        const std::string header
            = authorization.empty() ? std::string() : fmt::format("Authorization: {}\r\n", authorization);
        client->send(fmt::format(
            "{} {} HTTP/1.1\r\nHost: h\r\n{}Content-Length: {}\r\n\r\n{}", method, path, header, body.size(), body));
        return client;
    }

    bool eventually(const std::function<bool()> &condition)
    {
        return runUntil(loop, [&] {
            runFor(loop, pollInterval);
            return condition();
        });
    }

    /// The response; it must come at once.
    std::string answerTo(
        std::string_view method, std::string_view path, std::string_view authorization, std::string_view body = {})
    {
        const auto client = send(method, path, authorization, body);
        CHECK(eventually([&] { return client->received().find("\r\n\r\n") != std::string::npos; }));
        return client->received();
    }

    /// The call that the node has received.
    ClientCall callOf(
        std::string_view method, std::string_view path, std::string_view authorization, std::string_view body = {})
    {
        const auto client = send(method, path, authorization, body);
        CHECK(eventually([&] { return !kernel.node.entries.empty(); }));
        ClientCall call = kernel.node.entries.begin()->second.call;
        kernel.node.entries.clear();
        front.waiting.clear();
        return call;
    }

    void checkCounted(std::string_view reason, int count)
    {
        const std::string text = prometheus::TextSerializer().Serialize(metrics.Collect());
        const std::string line = fmt::format("wigeonkeel_calls_refused_total{{reason=\"{}\"}} {}\n", reason, count);
        CHECK(text.find(line) != std::string::npos);
        CHECK(text.find(secret) == std::string::npos);
    }
};

// Guards against calls without a valid key that reach the leader, or whose body is parsed first: an invalid one would
// be answered with 400.
TEST(ClientFront, CallsWithoutAValidKeyAreAnsweredWith401)
{
    const std::string path = fmt::format("/c/{}", job);
    for (const char *method : {"GET", "POST", "DELETE"}) {
        for (const char *authorization : {"", "Basic s3cr3t-b", "Bearer s3cr3t-c"}) {
            const std::string answer = answerTo(method, path, authorization, "no json");
            CHECK(answer.starts_with("HTTP/1.1 401"));
            CHECK(answer.find("WWW-Authenticate: Bearer\r\n") != std::string::npos);
            CHECK(answer.find("s3cr3t") == std::string::npos);
        }
    }
    CHECK(answerTo("GET", "/c/", "").starts_with("HTTP/1.1 401"));
    CHECK(kernel.node.entries.empty());
    checkCounted("missing_key", 7);
    checkCounted("unknown_key", 3);
}

// Guards against a flood of refused calls that fills the log: five lines a second, the rest is counted.
TEST(ClientFront, MostRefusedCallsAreNotLogged)
{
    front.refusalLog.next = kernel.clock.now() + std::chrono::hours(1);
    for (int i = 0; i < 20; ++i) {
        CHECK(answerTo("GET", "/c/", "").starts_with("HTTP/1.1 401"));
    }
    CHECK_EQUAL(20U, front.refusalLog.suppressed);
    front.refusalLog.next = {};
    CHECK(answerTo("GET", "/c/", "").starts_with("HTTP/1.1 401"));
    CHECK_EQUAL(0U, front.refusalLog.suppressed);
    checkCounted("missing_key", 21);
}

// Guards against a call that loses its tenant on the way to the leader, and a job record without one.
TEST(ClientFront, TheTenantOfTheKeyGoesWithTheCall)
{
    const std::string path = fmt::format("/c/{}", job);
    const ClientCall query = callOf("GET", path, "Bearer s3cr3t-b");
    CHECK(query.tenant == "birch" && query.isRestricted);
    const ClientCall submission = callOf("POST", path, "Bearer s3cr3t-b", R"({"steps":[{"count":1}]})");
    std::string problem;
    const auto record = decodeJobRecord(submission.record, problem);
    CHECK(record.has_value() && record->tenant == "birch" && !record->isExcess);
    CHECK(submission.record.find(secret) == std::string::npos);
    const ClientCall pending = callOf("GET", "/c/", "Bearer s3cr3t-b");
    CHECK(pending.kind == ClientCallKind::CountPending);
}

// Guards against public routes that refuse calls or restrict them.
TEST(ClientFront, PublicRoutesNeedNoKey)
{
    const std::string path = fmt::format("/o/{}", job);
    for (const char *authorization : {"", "Bearer unknown"}) {
        const ClientCall call = callOf("GET", path, authorization);
        CHECK(call.tenant.empty() && !call.isRestricted);
    }
    const ClientCall call = callOf("GET", path, "Bearer s3cr3t-b");
    CHECK(call.tenant == "birch" && !call.isRestricted);
}

// Guards against another status for jobs of other tenants, and refusals that are not counted or flood the log.
TEST(ClientFront, CallsAboutJobsOfOthersAreAnsweredWith403)
{
    const auto client = send("GET", fmt::format("/c/{}", job), "Bearer s3cr3t-b");
    CHECK(eventually([&] { return !front.waiting.empty(); }));
    front.refusalLog.next = kernel.clock.now() + std::chrono::hours(1);
    const CallId call = front.waiting.begin()->first;
    handleAction(front, AnswerClient{.answer = {.call = call, .outcome = ClientOutcome::Forbidden, .detail = {}}});
    CHECK(eventually([&] { return client->received().find("\r\n\r\n") != std::string::npos; }));
    CHECK(client->received().starts_with("HTTP/1.1 403"));
    CHECK_EQUAL(1U, front.refusalLog.suppressed);
    checkCounted("other_tenant", 1);
}

// Guards against a refusal for a cap that doesn't say so.
TEST(ClientFront, ARefusalForACapNamesItsReason)
{
    const auto client = send("GET", fmt::format("/c/{}", job), "Bearer s3cr3t-b");
    CHECK(eventually([&] { return !front.waiting.empty(); }));
    const CallId call = front.waiting.begin()->first;
    handleAction(
        front, AnswerClient{.answer = {.call = call, .outcome = ClientOutcome::Impossible, .detail = "above the cap"}});
    CHECK(eventually([&] { return client->received().find("above the cap") != std::string::npos; }));
    CHECK(client->received().starts_with("HTTP/1.1 429"));
}
