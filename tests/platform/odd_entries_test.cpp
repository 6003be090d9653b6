#include "core/dispatch/records.h"
#include "core/routing/random.h"
#include "platform/wire.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <fmt/format.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr std::size_t deepNesting = 200000;
constexpr int fuzzRounds = 4000;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

constexpr std::string_view validEntry
    = R"({"service":"s","addr":"10.0.0.7:8080","zone":"z","born":1700000000000,"state":"draining","remainingMs":900,)"
      R"("capacity":{"cpu":4000,"memMb":512,"gpu":1},"labels":["a","r1"],"seq":9})";

/// The valid entry with `from` replaced by `to`.
std::string entryWith(std::string_view from, std::string_view to)
{
    std::string text(validEntry);
    text.replace(text.find(from), from.size(), to);
    return text;
}

void mutate(std::string &text, RandomState &random)
{
    static constexpr std::string_view pieces[] = {"-1", "1e999", "1e300", "99999999999999999999", "70000", "null",
        "\"\"", "[]", "{}", "\\u0000", "\xff", "[[[[[[[[", "{\"a\":", ":", "0.5"};
    const std::size_t at = randomBelow(random, text.size() + 1);
    switch (randomBelow(random, 4)) {
    case 0:
        text.resize(at);
        return;
    case 1:
        text.erase(at, randomBelow(random, 8));
        return;
    case 2:
        text.insert(at, pieces[randomBelow(random, std::size(pieces))]);
        return;
    default:
        if (at < text.size()) {
            text[at] = static_cast<char>(nextRandom(random));
        }
    }
}

} // namespace

TEST_GROUP(OddEntries)
{
    std::string problem;

    void checkUnreadable(std::string_view text)
    {
        problem.clear();
        const bool isRead = platform::readWorkerEntry("servers/w", text, problem).has_value();
        CHECK_FALSE_TEXT(isRead, std::string(text.substr(0, 300)).c_str());
        CHECK_FALSE(problem.empty());
        CHECK(problem.size() <= 300);
    }
};

TEST(OddEntries, ValidEntryIsRead)
{
    const auto entry = platform::readWorkerEntry("servers/w", validEntry, problem);
    CHECK(entry.has_value());
    CHECK(entry->endpoint == (Endpoint{.ip = "10.0.0.7", .port = 8080}));
    CHECK(entry->leavesIn == milliseconds(900) && entry->incarnation == 1700000000000);
    CHECK(entry->capacity.cpuMilli == 4000 && entry->capacity.memoryMib == 512 && entry->capacity.accelerators == 1);
}

// Guards against numbers that are truncated to the range of a type. This could yield port 0 or another worker's port, a
// negative capacity, or an incarnation above all later ones of the worker.
TEST(OddEntries, EntriesWithNumbersOutOfRangeAreRejected)
{
    for (const char *address : {"10.0.0.7", "10.0.0.7:", "10.0.0.7:0", "10.0.0.7:70000", "10.0.0.7:-1", "10.0.0.7:80x",
             "10.0.0.7: 80", ":8080", "", "10.0.0.7:99999999999999999999"}) {
        checkUnreadable(entryWith("10.0.0.7:8080", address));
    }
    for (const char *born : {"0", "-1", "1.5", "1e30", "1e999", "18446744073709551615", "9223372036854775807", "[1]",
             "99999999999999999999", "true"}) {
        checkUnreadable(entryWith("1700000000000", born));
    }
    for (const char *amount : {"-1", "1e30", "0.5", "18446744073709551615", "9223372036854775807", "1099511627777"}) {
        checkUnreadable(entryWith("4000", amount));
        checkUnreadable(entryWith("512", amount));
        checkUnreadable(entryWith("\"gpu\":1", fmt::format("\"gpu\":{}", amount)));
    }
    for (const char *time : {"1e30", "18446744073709551615", "9223372036854775807", "-9223372036854775808"}) {
        checkUnreadable(entryWith("900", time));
    }
}

// Guards against host names: libevent would resolve them in the loop's thread and block the daemon meanwhile.
TEST(OddEntries, EntriesWithoutNumericAddressAreRejected)
{
    for (const char *address :
        {"worker.example:8080", "10.0.0:8080", "10.0.0.7.8:8080", "a b:8080", "10.0.0.7\\r\\n:80"}) {
        checkUnreadable(entryWith("10.0.0.7:8080", address));
    }
}

// Guards against entries that are costly to read: valid directory entries have at most two levels of nesting.
TEST(OddEntries, DeeplyNestedEntriesAreRejected)
{
    const std::string deep = nested(deepNesting);
    checkUnreadable(deep);
    checkUnreadable(deep.substr(0, deepNesting));
    checkUnreadable(entryWith("[\"a\",\"r1\"]", deep));
    checkUnreadable(entryWith("9}", deep + "}"));
    CHECK_FALSE(platform::readJobSpec(R"({"steps":)" + deep + "}", problem).has_value());
    CHECK_TRUE(decodeWorkers(deep, problem).empty());
}

// Guards against a stack overflow that ends the daemon: nlohmann_json copies values recursively.
TEST(OddEntries, DeeplyNestedRepliesAreRejected)
{
    const std::string deep = nested(deepNesting);
    CHECK_FALSE(platform::readRenewReply(R"({"clockMs":5,"running":)" + deep + "}", problem).has_value());
    CHECK_FALSE(platform::readStoreBody(R"({"items":)" + deep + "}", problem).has_value());
    CHECK_FALSE(platform::readConfiguration(R"({"version":1,"routes":[],"services":[],"limits":)" + deep + "}", problem)
                    .has_value());
    CHECK_FALSE(platform::readAdvice(R"({"allowed":)" + deep + "}", problem).has_value());
    CHECK(platform::readRefusal(409, R"({"reason":)" + deep + "}") == StartRefusal::Invalid);
}

// Guards against an exception that ends the daemon: keys in the store's reply have not been validated.
TEST(OddEntries, EntriesWithInvalidKeysAreRejected)
{
    for (const char *key : {"", "s", "servers", "servers/", "others/w", "servers/a b", "servers/a\r\nX: y"}) {
        problem.clear();
        CHECK_FALSE(platform::readWorkerEntry(key, validEntry, problem).has_value());
        CHECK_FALSE(problem.empty());
    }
}

// Guards against replies to renewals with numbers that no run can have.
TEST(OddEntries, RenewRepliesWithNumbersOutOfRangeAreRejected)
{
    for (const char *text : {R"({"clockMs":9223372036854775807})", R"({"clockMs":1e30})", R"({"clockMs":-1})",
             R"({"clockMs":5,"born":-7})", R"({"clockMs":5,"running":[["00000000000000ab.0.1.2",4294967296,"",4]]})",
             R"({"clockMs":5,"running":[["00000000000000ab.0.1.2",1,"",1e30]]})",
             R"({"clockMs":5,"running":[["00000000000000ab.0.1.2",1,"",-4]]})",
             R"({"clockMs":5,"finished":[[-1,"00000000000000ab.0.1.3",1,"done",""]]})",
             R"({"clockMs":5,"finished":[[1,"00000000000000ab.0.1.3",-1,"done",""]]})"}) {
        problem.clear();
        CHECK_FALSE_TEXT(platform::readRenewReply(text, problem).has_value(), text);
        CHECK_FALSE(problem.empty());
    }
}

// Guards against submissions with numbers that would be truncated or times whose sum would overflow.
TEST(OddEntries, SubmissionsWithNumbersOutOfRangeAreRejected)
{
    for (const char *text : {R"({"steps":[{"count":4294967297}]})", R"({"steps":[{"count":1.5}]})",
             R"({"steps":[{"cpu":9223372036854775807}]})", R"({"steps":[{"cpu":1e30}]})",
             R"({"steps":[{"estimateMs":9223372036854775807}]})", R"({"steps":[{"estimateMs":-1}]})",
             R"({"steps":[{"targetMs":1e300}]})", R"({"steps":[{},{"after":[4294967296]}]})",
             R"({"steps":[{"maxPerServer":-1}]})", R"({"steps":[{"mayMiss":4294967296}]})",
             R"({"steps":[{}],"repeatCount":4294967295,"intervalMs":9})",
             R"({"steps":[{}],"repeatCount":2,"intervalMs":9223372036854775807})",
             R"({"steps":[{}],"repeatCount":2,"intervalMs":-5})",
             R"({"steps":[{}],"repeatCount":2,"firstMs":9223372036854775807,"intervalMs":5})"}) {
        problem.clear();
        CHECK_FALSE_TEXT(platform::readJobSpec(text, problem).has_value(), text);
        CHECK_FALSE(problem.empty());
    }
}

// Guards against a successor that connects to a wrong port because the recorded one was truncated, or that loses all
// recorded workers because of one invalid row.
TEST(OddEntries, InvalidRowsInARecordOfWorkersAreSkippedAndReported)
{
    for (const char *row : {R"(["w","10.0.0.7",70000,5])", R"(["w","10.0.0.7",-1,5])", R"(["w","10.0.0.7",80,1e30])",
             R"(["w"])", "[]", "{}", "5"}) {
        problem.clear();
        const auto workers
            = decodeWorkers(fmt::format(R"([["a","10.0.0.6",80,5],{},["b","10.0.0.8",80,6]])", row), problem);
        CHECK_EQUAL_TEXT(2U, workers.size(), row);
        CHECK_TRUE_TEXT(workers.at(0).id == "a" && workers.at(1).id == "b", row);
        CHECK_FALSE(problem.empty());
    }
    problem.clear();
    CHECK_EQUAL(1U, decodeWorkers(R"([["w","10.0.0.7",80,0]])", problem).size());
}

// Guards against an entry that is accepted with values out of range, or that ends the process.
TEST(OddEntries, MutatedEntriesAreReadInRangeOrRejected)
{
    RandomState random{.value = 20261205};
    int readable = 0;
    for (int round = 0; round < fuzzRounds; ++round) {
        std::string text(validEntry);
        for (std::uint64_t changes = 1 + randomBelow(random, 3); changes > 0; --changes) {
            mutate(text, random);
        }
        problem.clear();
        const auto entry = platform::readWorkerEntry("servers/w", text, problem);
        CHECK_TRUE_TEXT(entry.has_value() || !problem.empty(), text.c_str());
        if (entry) {
            ++readable;
            CHECK_TRUE_TEXT(entry->endpoint.port != 0 && entry->incarnation > 0, text.c_str());
            CHECK_FALSE_TEXT(isNegative(entry->capacity), text.c_str());
        }
    }
    CHECK(readable > 0 && readable < fuzzRounds);
}

// Guards against an invalid entry of another writer that keeps the other entries of its page from being read.
TEST(OddEntries, OtherEntriesOfThePageAreReadDespiteAnInvalidOne)
{
    RandomState random{.value = 7};
    for (int round = 0; round < fuzzRounds; ++round) {
        std::string odd(validEntry);
        std::string key("servers/odd");
        mutate(odd, random);
        mutate(key, random);
        const std::vector<StoreItem> items = {{.key = "servers/a", .value = std::string(validEntry), .revision = 1},
            {.key = key, .value = odd, .revision = 2},
            {.key = "servers/z", .value = std::string(validEntry), .revision = 3}};
        WorkersReply workers;
        const auto unreadable = platform::readWorkerPage(items, workers);
        CHECK_EQUAL(3U, workers.workers.size() + workers.unreadable);
        CHECK_EQUAL(workers.unreadable, unreadable.size());
        CHECK_TRUE_TEXT(workers.workers.front().id == "a" && workers.workers.back().id == "z", odd.c_str());
        for (const platform::UnreadableEntry &entry : unreadable) {
            CHECK(entry.key.size() <= 200 && entry.problem.size() <= 200 && !entry.problem.empty());
            CHECK_TRUE(std::ranges::all_of(entry.key + entry.problem, [](char c) { return c >= ' ' && c <= '~'; }));
        }
    }
}

// Guards against an invalid row of the store's reply that keeps the other rows of its page from being read.
TEST(OddEntries, InvalidRowsOfTheStoreAreCounted)
{
    const auto body = platform::readStoreBody(
        R"({"items":[{"key":"a","value":"","revision":1},5,{"key":7},{"key":"c","value":"","revision":-1},
        {"key":"b","value":"","revision":2}],"morePages":true})",
        problem);
    CHECK(body.has_value());
    CHECK_EQUAL(3U, body->unreadable);
    CHECK_EQUAL(2U, body->items.size());
    CHECK(body->items.at(1).key == "b" && body->morePages);
}

// Guards against an invalid request for the next page if a page ended with a key of another writer.
TEST(OddEntries, KeysAreEscapedInQueries)
{
    CHECK(platform::rangePath({.prefix = "servers/", .after = "servers/w-1"})
        == "/v1/kv-range?prefix=servers/&after=servers/w-1");
    CHECK(platform::rangePath({.prefix = "servers/", .after = "servers/a b&c\n"})
        == "/v1/kv-range?prefix=servers/&after=servers/a%20b%26c%0A");
}
