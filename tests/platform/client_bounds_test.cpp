#include "platform/client_bounds.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel::platform;

TEST_GROUP(ClientBounds){};

// Guards against clients that take the descriptors of links to workers, or the memory of the leader's tables.
TEST(ClientBounds, ClientsGetAShareOfTheProcess)
{
    const ClientBounds small = clientBounds({.memoryMb = 160, .maxFds = 1024});
    CHECK_EQUAL(40 << 20, small.maxHeldBytes);
    CHECK_EQUAL(412, small.maxConnections);
    // Memory is short before descriptors are.
    CHECK_EQUAL(853, clientBounds({.memoryMb = 160, .maxFds = 100000}).maxConnections);
}

// Guards against a daemon that serves nobody, or without bound, because a limit is missing or tiny.
TEST(ClientBounds, MissingAndTinyLimitsLeaveUsableBounds)
{
    const ClientBounds none = clientBounds({});
    CHECK_EQUAL(10000, none.maxConnections);
    CHECK_EQUAL(64 << 20, none.maxHeldBytes);
    const ClientBounds tiny = clientBounds({.memoryMb = 1, .maxFds = 100});
    CHECK_EQUAL(16, tiny.maxConnections);
    CHECK_EQUAL(4 << 20, tiny.maxHeldBytes);
}
