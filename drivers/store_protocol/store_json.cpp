#include "drivers/store_protocol/store_json.h"

#include "core/json_text.h"
#include "drivers/store_protocol/base64.h"

#include <algorithm>
#include <array>
#include <memory>

#include <event2/http.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

constexpr std::array<std::string_view, 6> callNames = {"get", "list", "put", "remove", "open_lease", "renew_lease"};

// Only these three come in an answer; the others are found out by the adapter.
constexpr std::array<std::string_view, 3> statusNames = {"ok", "conflict", "not_found"};

template <std::size_t count>
std::size_t indexOf(const std::array<std::string_view, count> &names, std::string_view name, const Json &json)
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) {
        throw Json::other_error::create(0, fmt::format("unknown name '{}'", name), &json);
    }
    return static_cast<std::size_t>(found - names.begin());
}

void writeValue(Json &json, const std::string &value)
{
    try {
        // dumpJson() is nlohmann_json's check for UTF-8; it throws for other bytes.
        (void)Json(value).dump();
        json["value"] = value;
    } catch (const Json::exception &) {
        json["value_base64"] = encodeBase64(value);
    }
}

std::string readValue(const Json &json)
{
    if (!json.contains("value_base64")) {
        return json.value("value", "");
    }
    auto bytes = decodeBase64(json.at("value_base64").get<std::string>());
    if (!bytes) {
        throw Json::other_error::create(0, "value_base64 is not base64", &json);
    }
    return std::move(*bytes);
}

Json toJson(const StoreEntry &entry)
{
    Json json = {{"key", entry.key}, {"version", entry.version}};
    writeValue(json, entry.value);
    return json;
}

Json toJson(const std::vector<StoreEntry> &entries)
{
    Json json = Json::array();
    for (const StoreEntry &entry : entries) {
        json.push_back(toJson(entry));
    }
    return json;
}

std::vector<StoreEntry> entriesFrom(const Json &json)
{
    std::vector<StoreEntry> entries;
    for (const Json &entry : json) {
        entries.push_back({.key = entry.at("key").get<std::string>(),
            .value = readValue(entry),
            .version = entry.at("version").get<std::uint64_t>()});
    }
    return entries;
}

} // namespace

std::string encodeStoreCall(const StoreCall &call)
{
    Json json = {{"op", callNames[static_cast<std::size_t>(call.kind)]}};
    if (!call.key.empty() || call.kind == StoreCallKind::List) {
        json["key"] = call.key;
    }
    if (call.kind == StoreCallKind::Put) {
        writeValue(json, call.value);
    }
    if (call.kind == StoreCallKind::Put || call.kind == StoreCallKind::Remove) {
        json["expected_version"] = call.expectedVersion;
    }
    if (call.lease != 0) {
        json["lease"] = call.lease;
    }
    if (call.kind == StoreCallKind::OpenLease || call.kind == StoreCallKind::RenewLease) {
        json["lease_ms"] = call.leaseTime.count();
    }
    return dumpJson(json);
}

std::string encodeStoreReply(const StoreReply &reply)
{
    Json json = {{"status", statusNames.at(static_cast<std::size_t>(reply.status))}, {"revision", reply.revision},
        {"entries", toJson(reply.entries)}};
    if (reply.lease != 0) {
        json["lease"] = reply.lease;
    }
    return dumpJson(json);
}

std::string encodeStoreWatchUpdate(const StoreWatchUpdate &update)
{
    return dumpJson({{"revision", update.revision}, {"full", update.full}, {"changed", toJson(update.changed)},
        {"removed", update.removed}});
}

std::string storeWatchPath(const StoreWatchRequest &request)
{
    const std::unique_ptr<char, decltype(&free)> prefix(
        evhttp_uriencode(request.prefix.data(), static_cast<ev_ssize_t>(request.prefix.size()), 0), &free);
    return fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}", prefix.get(), request.after, request.wait.count());
}

std::optional<StoreCall> decodeStoreCall(std::string_view text, std::string &problem)
{
    return decodeJson<StoreCall>(text, problem, [](const Json &json) {
        return StoreCall{.kind = static_cast<StoreCallKind>(indexOf(callNames, json.at("op").get<std::string>(), json)),
            .key = json.value("key", ""),
            .value = readValue(json),
            .expectedVersion = json.value("expected_version", std::uint64_t{0}),
            .lease = json.value("lease", std::uint64_t{0}),
            .leaseTime = milliseconds(json.value("lease_ms", std::int64_t{0}))};
    });
}

std::optional<StoreReply> decodeStoreReply(std::string_view text, std::string &problem)
{
    return decodeJson<StoreReply>(text, problem, [](const Json &json) {
        return StoreReply{
            .status = static_cast<StoreStatus>(indexOf(statusNames, json.at("status").get<std::string>(), json)),
            .revision = json.at("revision").get<std::uint64_t>(),
            .lease = json.value("lease", std::uint64_t{0}),
            .entries = entriesFrom(json.at("entries")),
            .detail = {}};
    });
}

std::optional<StoreWatchUpdate> decodeStoreWatchUpdate(std::string_view text, std::string &problem)
{
    return decodeJson<StoreWatchUpdate>(text, problem, [](const Json &json) {
        return StoreWatchUpdate{.revision = json.at("revision").get<std::uint64_t>(),
            .changed = entriesFrom(json.at("changed")),
            .removed = json.at("removed").get<std::vector<std::string>>(),
            .full = json.at("full").get<bool>()};
    });
}

} // namespace wigeonkeel
