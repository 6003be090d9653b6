#include "core/dispatch/client_access.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr milliseconds takeoverLimit{8000};
constexpr JobId job = 0xa1;

Configuration configurationWith(std::optional<std::vector<TenantConfig>> tenants)
{
    Configuration configuration{
        .version = 1, .queues = {{.name = "open", .isPublic = true}, {.name = "closed"}}, .pools = {}};
    configuration.tenants = std::move(tenants);
    indexQueues(configuration);
    indexKeys(configuration, 42);
    return configuration;
}

std::vector<TenantConfig> twoTenants()
{
    return {{.name = "alder", .keys = {"key a", "key-a2"}, .weight = 100},
        {.name = "birch", .keys = {"key-b"}, .weight = 100}};
}

AccessRefusal refusalOf(const Configuration &configuration, std::string_view queue, std::string_view authorization)
{
    return checkAccess(configuration, *findQueueByName(configuration, std::string(queue)), authorization).refusal;
}

ClientOutcome outcomeAs(World &world, ClientCallKind kind, std::string_view tenant)
{
    const std::size_t count = world.nodes.size();
    ClientOutcome outcome = ClientOutcome::Unknown;
    // Calls through the leader and through a follower are decided alike.
    for (std::size_t node = 0; node < count; ++node) {
        if (!world.nodes[node].up) {
            continue;
        }
        const CallId call = world.callAs(node, kind, job, tenant);
        CHECK(world.runUntil([&] { return world.answerTo(call).has_value(); }, milliseconds(4000)));
        outcome = world.answerTo(call)->outcome;
        if (outcome != ClientOutcome::Forbidden) {
            return outcome;
        }
    }
    return outcome;
}

void checkForeignCallsAreRefused(World &world)
{
    for (const ClientCallKind kind : {ClientCallKind::Query, ClientCallKind::Submit, ClientCallKind::Cancel}) {
        CHECK(outcomeAs(world, kind, "birch") == ClientOutcome::Forbidden);
    }
    CHECK(outcomeAs(world, ClientCallKind::Query, "alder") == ClientOutcome::Ok);
}

/// A world in which a job of alder has been submitted.
struct AlderJob
{
    World world{3, 2};

    explicit AlderJob(milliseconds estimate)
    {
        world.configuration.tenants = twoTenants();
        world.tenants[job] = "alder";
        world.run(settleTime);
        world.submit(0, job, {.payload = "p", .steps = {stepOf(1, 1000, estimate)}}, "batch");
    }
};

} // namespace

TEST_GROUP(DispatchTenantAccess){};

// Guards against keys that are asked for in deployments without tenants.
TEST(DispatchTenantAccess, WithoutTenantsNoKeyIsNeeded)
{
    const Configuration configuration = configurationWith(std::nullopt);
    for (const char *header : {"", "Bearer x", "Basic x"}) {
        const ClientAccess access = checkAccess(configuration, *findQueueByName(configuration, "closed"), header);
        CHECK(access.refusal == AccessRefusal::None && access.tenant.empty() && !access.isRestricted);
    }
}

// Guards against an empty list of tenants that opens the routes to everybody.
TEST(DispatchTenantAccess, AnEmptyListOfTenantsClosesAllButPublicRoutes)
{
    const Configuration configuration = configurationWith(std::vector<TenantConfig>());
    CHECK(refusalOf(configuration, "closed", "") == AccessRefusal::MissingKey);
    CHECK(refusalOf(configuration, "closed", "Bearer key a") == AccessRefusal::UnknownKey);
    CHECK(refusalOf(configuration, "open", "Bearer key a") == AccessRefusal::None);
}

// Guards against calls that are served without a valid key, and valid ones that are refused for their spelling.
TEST(DispatchTenantAccess, ACallNeedsAKeyOfATenant)
{
    const Configuration configuration = configurationWith(twoTenants());
    for (const char *header : {"", "Bearer", "Bearer ", "Bearer\t ", "Basic key-b", "key-b", "Bearerkey-b"}) {
        CHECK(refusalOf(configuration, "closed", header) == AccessRefusal::MissingKey);
    }
    for (const char *header : {"Bearer key", "Bearer key-bb", "Bearer KEY-B", "Bearer key-b,key-b", "Bearer birch"}) {
        CHECK(refusalOf(configuration, "closed", header) == AccessRefusal::UnknownKey);
    }
    const QueueConfig &closed = *findQueueByName(configuration, "closed");
    for (const char *header : {"Bearer key-b", "bearer key-b", "BEARER   key-b", "Bearer\tkey-b \t"}) {
        const ClientAccess access = checkAccess(configuration, closed, header);
        CHECK(access.refusal == AccessRefusal::None && access.tenant == "birch" && access.isRestricted);
    }
    CHECK(checkAccess(configuration, closed, "Bearer key a").tenant == "alder");
    CHECK(checkAccess(configuration, closed, "Bearer key-a2").tenant == "alder");
}

// Guards against public routes that refuse calls, restrict them to a tenant's jobs or ignore a valid key.
TEST(DispatchTenantAccess, PublicRoutesTakeAnyCallAndCountValidKeys)
{
    const Configuration configuration = configurationWith(twoTenants());
    const QueueConfig &open = *findQueueByName(configuration, "open");
    for (const char *header : {"", "Bearer unknown", "Basic x"}) {
        const ClientAccess access = checkAccess(configuration, open, header);
        CHECK(access.refusal == AccessRefusal::None && access.tenant.empty() && !access.isRestricted);
    }
    const ClientAccess access = checkAccess(configuration, open, "Bearer key-b");
    CHECK(access.tenant == "birch" && !access.isRestricted);
}

// Guards against jobs of another tenant that are served, and jobs of earlier versions that nobody may use.
TEST(DispatchTenantAccess, RestrictedCallsMayUseJobsOfTheirTenantAndOfNone)
{
    CHECK(mayUseJob(true, "a", "a") && mayUseJob(true, "a", "") && mayUseJob(false, "", "a"));
    CHECK_FALSE(mayUseJob(true, "a", "b"));
    CHECK_FALSE(mayUseJob(true, "a", "A"));
}

// Guards against a key that a daemon still accepts after it has applied the version that revoked it.
TEST(DispatchTenantAccess, ARevokedKeyIsRefusedOnceTheVersionIsInForce)
{
    World world(3, 1);
    world.configuration.tenants = twoTenants();
    world.run(settleTime);
    const auto refusalAt = [&](std::size_t node, std::string_view header) {
        const Configuration &inForce = world.nodes[node].node->configuration;
        return checkAccess(inForce, inForce.queues[0], header).refusal;
    };
    for (std::size_t node = 0; node < world.nodes.size(); ++node) {
        CHECK(refusalAt(node, "Bearer key-a2") == AccessRefusal::None);
    }
    world.configuration.tenants->at(0).keys.pop_back();
    world.configuration.version = 5;
    // The store refuses one daemon's calls: it gets the new version from another daemon.
    world.store.refusedNodes.insert(world.leaderIndex() == 0 ? 1 : 0);
    world.run(milliseconds(4000));
    for (std::size_t node = 0; node < world.nodes.size(); ++node) {
        CHECK_EQUAL(5U, world.nodes[node].node->configuration.version);
        CHECK(refusalAt(node, "Bearer key-a2") == AccessRefusal::UnknownKey);
        CHECK(refusalAt(node, "Bearer key a") == AccessRefusal::None);
    }
}

// Guards against a version with invalid tenants that another daemon sends and that replaces the last good one.
TEST(DispatchTenantAccess, AnInvalidVersionOfAnotherDaemonChangesNothing)
{
    World world(2, 1);
    world.configuration.tenants = twoTenants();
    world.run(settleTime);
    Configuration invalid = world.configuration;
    invalid.version = 9;
    invalid.tenants->at(1).keys = {""};
    handlePeerMessage(*world.nodes[0].node, "n1", ConfigurationTransfer{.configuration = invalid}, world.nowAt(0));
    CHECK_EQUAL(1U, world.nodes[0].node->configuration.version);
    invalid.tenants->at(1).keys = {"key-new"};
    handlePeerMessage(*world.nodes[0].node, "n1", ConfigurationTransfer{.configuration = invalid}, world.nowAt(0));
    CHECK_EQUAL(9U, world.nodes[0].node->configuration.version);
}

// Guards against another tenant's key that reads, cancels or repeats a live job.
TEST(DispatchTenantAccess, AForeignKeyIsRefusedForALiveJob)
{
    AlderJob owned(milliseconds(20000));
    World &world = owned.world;
    world.run(milliseconds(500));
    CHECK_EQUAL(1U, world.starts);
    checkForeignCallsAreRefused(world);
    CHECK(outcomeAs(world, ClientCallKind::Cancel, "alder") == ClientOutcome::Ok);
    checkNoViolations(world);
}

// Guards against another tenant's key that reads a job after its end.
TEST(DispatchTenantAccess, AForeignKeyIsRefusedForAnEndedJob)
{
    AlderJob owned(milliseconds(200));
    World &world = owned.world;
    CHECK(world.runUntil([&] { return world.leader()->dispatcher->jobs.ended.contains(job); }, milliseconds(3000)));
    checkForeignCallsAreRefused(world);
    checkNoViolations(world);
}

// Guards against a new leader that has lost the tenants of the jobs, live or ended.
TEST(DispatchTenantAccess, AForeignKeyIsRefusedAfterATakeover)
{
    for (const milliseconds estimate : {milliseconds(200), milliseconds(60000)}) {
        AlderJob owned(estimate);
        World &world = owned.world;
        world.run(milliseconds(1500));
        CHECK_EQUAL(estimate < settleTime, world.leader()->dispatcher->jobs.ended.contains(job));
        world.kill(world.leaderIndex());
        CHECK(world.runUntil([&] { return world.leader() != nullptr; }, takeoverLimit));
        checkForeignCallsAreRefused(world);
        world.run(milliseconds(3000));
        checkForeignCallsAreRefused(world);
        checkNoViolations(world);
    }
}

// Guards against an id that another tenant takes by cancelling it before its submission arrives.
TEST(DispatchTenantAccess, AnIdThatWasWithdrawnBelongsToItsTenant)
{
    World world(2, 1);
    world.configuration.tenants = twoTenants();
    world.run(settleTime);
    CHECK(outcomeAs(world, ClientCallKind::Cancel, "alder") == ClientOutcome::NoSuchJob);
    CHECK(outcomeAs(world, ClientCallKind::Query, "birch") == ClientOutcome::Forbidden);
    CHECK(outcomeAs(world, ClientCallKind::Query, "alder") == ClientOutcome::NoSuchJob);
}
