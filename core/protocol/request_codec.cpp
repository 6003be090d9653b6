#include "core/protocol/request_codec.h"

#include "core/hex.h"
#include "core/json_text.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wigeonkeel
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t intentFields = 3;
constexpr std::size_t outcomeFields = 9;
/// Key, times, digits and punctuation of one entry.
constexpr std::size_t fixedEntryBytes = 120;

std::int64_t count(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime timeFrom(const Json &json)
{
    return WallTime(milliseconds(json.get<std::int64_t>()));
}

void appendString(std::string &text, std::string_view value)
{
    const bool plain = std::ranges::all_of(
        value, [](char symbol) { return symbol >= ' ' && symbol <= '~' && symbol != '"' && symbol != '\\'; });
    if (plain) {
        text.append("\"").append(value).append("\"");
        return;
    }
    text += dumpJson(std::string(value));
}

/// Written by hand: in a trial with 5,000 entries a tree of JSON values took 24 ms for each commit, this takes 5 ms.
void appendEntry(std::string &text, const RequestKey &key, const JournalEntry &entry)
{
    fmt::format_to(std::back_inserter(text), "[\"{:016x}{:016x}\",{},", key.high, key.low, count(entry.created));
    appendString(text, entry.holder);
    if (entry.ended) {
        fmt::format_to(std::back_inserter(text), ",\"{}\",", toString(entry.answer.outcome));
        appendString(text, entry.answer.reason);
        text += ",\"";
        appendHex(text, entry.answer.result);
        fmt::format_to(std::back_inserter(text), "\",{},", entry.answer.digest);
        appendString(text, entry.answer.worker);
        text += entry.resultOmitted ? ",true" : ",false";
    }
    text += "],";
}

bool readEntry(const Json &row, JournalRecord &record)
{
    if (row.size() != intentFields && row.size() != outcomeFields) {
        return false;
    }
    const auto key = parseRequestKey(row.at(0).get<std::string>());
    if (!key) {
        return false;
    }
    JournalEntry entry{.created = timeFrom(row.at(1)), .holder = row.at(2).get<std::string>()};
    if (row.size() == outcomeFields) {
        const auto outcome = parseOutcome(row.at(3).get<std::string>());
        if (!outcome) {
            return false;
        }
        entry.ended = true;
        auto result = bytesFromHex(row.at(5).get<std::string>());
        if (!result) {
            return false;
        }
        entry.answer = {.outcome = *outcome,
            .reason = row.at(4).get<std::string>(),
            .result = std::move(*result),
            .digest = row.at(6).get<std::uint64_t>(),
            .worker = row.at(7).get<std::string>()};
        entry.resultOmitted = row.at(8).get<bool>();
    }
    record.entries.insert_or_assign(*key, std::move(entry));
    return true;
}

std::optional<JournalRecord> readJournal(const Json &json)
{
    JournalRecord record{.floor = timeFrom(json.at("f"))};
    for (const Json &row : json.at("e")) {
        if (!readEntry(row, record)) {
            return std::nullopt;
        }
    }
    return record;
}

SessionRecord readSessions(const Json &json)
{
    SessionRecord record{.floor = timeFrom(json.at("floor"))};
    for (const Json &row : json.at("sessions")) {
        record.sessions.push_back({.daemon = row.at("daemon").get<std::string>(),
            .address = row.at("address").get<std::string>(),
            .port = row.at("port").get<std::uint16_t>(),
            .incarnation = row.at("incarnation").get<std::uint64_t>()});
    }
    return record;
}

} // namespace

std::string encodeJournal(const JournalRecord &record)
{
    std::string text = fmt::format("{{\"f\":{},\"e\":[", count(record.floor));
    for (const auto &[key, entry] : record.entries) {
        appendEntry(text, key, entry);
    }
    if (text.back() == ',') {
        text.pop_back();
    }
    return text + "]}";
}

std::optional<JournalRecord> decodeJournal(std::string_view text)
{
    // The library reports wrong types by exceptions; they end here.
    try {
        return readJournal(Json::parse(text));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::size_t encodedSize(const JournalEntry &entry)
{
    // A byte of a result takes two characters; a character of a reason up to six.
    constexpr std::size_t bytesPerResultByte = 2;
    constexpr std::size_t bytesPerCharacter = 6;
    return fixedEntryBytes + entry.holder.size() + entry.answer.worker.size()
        + bytesPerResultByte * entry.answer.result.size() + bytesPerCharacter * entry.answer.reason.size();
}

std::string encodeSessions(const SessionRecord &record)
{
    Json rows = Json::array();
    for (const Session &session : record.sessions) {
        rows.push_back({{"daemon", session.daemon}, {"address", session.address}, {"port", session.port},
            {"incarnation", session.incarnation}});
    }
    return dumpJson({{"floor", count(record.floor)}, {"sessions", std::move(rows)}});
}

std::optional<SessionRecord> decodeSessions(std::string_view text)
{
    try {
        return readSessions(Json::parse(text));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace wigeonkeel
