#include "core/dispatch/configuration.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace wigeonkeel::dispatch;

TEST_GROUP(DispatchConfiguration){};

// Guards against a request that is routed to a queue of another host, or to one with a shorter prefix.
TEST(DispatchConfiguration, TheLongestMatchingPrefixOfTheHostIsChosen)
{
    Configuration configuration;
    configuration.queues = {{.name = "short", .host = "a", .pathPrefix = "/x/"},
        {.name = "long", .host = "a", .pathPrefix = "/x/y/"}, {.name = "other", .host = "b", .pathPrefix = "/x/y/z/"}};
    indexQueues(configuration);
    CHECK(findQueue(configuration, "a", "/x/y/z/1")->name == "long");
    CHECK(findQueue(configuration, "a", "/x/1")->name == "short");
    CHECK(findQueue(configuration, "b", "/x/1") == nullptr);
    CHECK(findQueue(configuration, "c", "/x/1") == nullptr);
    CHECK(findQueueByName(configuration, "other")->host == "b");
    CHECK(findQueueByName(configuration, "gone") == nullptr);
}

// Guards against a linear search through thousands of queues for each job and scheduling pass.
TEST(DispatchConfiguration, ThousandsOfQueuesAreIndexed)
{
    Configuration configuration;
    constexpr std::size_t count = 5000;
    for (std::size_t i = 0; i < count; ++i) {
        configuration.queues.push_back({.name = fmt::format("q{}", i),
            .host = fmt::format("h{}", i % 100),
            .pathPrefix = fmt::format("/p{}/", i)});
    }
    indexQueues(configuration);
    CHECK_EQUAL(count, configuration.byName.size());
    CHECK(findQueue(configuration, "h99", "/p4999/1")->name == "q4999");
}
