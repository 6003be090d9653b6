#include "core/protocol/sessions.h"

#include "core/protocol/request_codec.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "sessions";

bool isOwn(const SessionTable &table, const Session &session)
{
    return session.daemon == table.options.self.name && session.incarnation == table.options.self.incarnation;
}

bool containsOwn(const SessionTable &table, const SessionRecord &record)
{
    return std::ranges::any_of(record.sessions, [&](const Session &session) { return isOwn(table, session); });
}

/// True if the session's daemon has surely failed: another incarnation runs at its address, or its VM is gone.
bool isResolvable(const SessionTable &table, const Session &session, const Now &now)
{
    if (isOwn(table, session)) {
        return false;
    }
    // Two daemons may share an address in a test set-up, but not a name or a port as well.
    const bool samePort = session.port != 0 && session.port == table.options.self.port;
    if (session.address == table.options.self.address && (session.daemon == table.options.self.name || samePort)) {
        return true;
    }
    const auto missing = table.missingSince.find(session.address);
    return missing != table.missingSince.end() && now.monotonic - missing->second >= table.options.vmListLag;
}

/// The record as this daemon wants it. Equal to the present one if there is nothing to change.
SessionRecord wantedRecord(const SessionTable &table, const Now &now, bool &changed)
{
    SessionRecord record = table.record;
    const auto resolved
        = std::erase_if(record.sessions, [&](const Session &session) { return isResolvable(table, session, now); });
    if (resolved > 0) {
        record.floor = std::max(record.floor, now.wall + table.options.floorMargin);
    }
    changed = resolved > 0;
    if (table.closing) {
        changed = std::erase_if(record.sessions, [&](const Session &session) { return isOwn(table, session); }) > 0
            || changed;
        return record;
    }
    if (!containsOwn(table, record)) {
        record.sessions.push_back({.daemon = table.options.self.name,
            .address = table.options.self.address,
            .port = table.options.self.port,
            .incarnation = table.options.self.incarnation});
        changed = true;
    }
    return record;
}

void startCall(SessionTable &table, SessionCallState state, StoreCall call, const Now &now, Actions &actions)
{
    call.id = table.options.callIdBase | table.nextCall++;
    call.key = sessionsKey;
    table.callId = call.id;
    table.state = state;
    table.sentAt = now.monotonic;
    actions.push_back(std::move(call));
}

void noteOpen(SessionTable &table, const Now &now)
{
    const bool present = containsOwn(table, table.record);
    if (present && !table.open) {
        table.opened = now.wall;
    }
    table.open = present;
}

void takeEntry(SessionTable &table, const StoreReply &reply)
{
    if (reply.entries.empty()) {
        table.record = {};
        table.version = 0;
        table.loaded = true;
        return;
    }
    auto record = decodeSessions(reply.entries.front().value);
    table.loaded = record.has_value();
    if (record) {
        table.record = std::move(*record);
        table.version = reply.entries.front().version;
    }
}

void finishWrite(SessionTable &table, const StoreReply &reply, const Now &now, Actions &actions)
{
    if (reply.status == StoreStatus::Ok) {
        table.record = std::move(table.proposed);
        table.version = reply.entries.empty() ? reply.revision : reply.entries.front().version;
        noteOpen(table, now);
        actions.push_back(LogAction{.level = LogLevel::Info,
            .part = logPart,
            .text = fmt::format("{} sessions are recorded; this daemon's is {}", table.record.sessions.size(),
                table.open ? "open" : "closed")});
        return;
    }
    if (reply.status == StoreStatus::Conflict) {
        takeEntry(table, reply);
        noteOpen(table, now);
        table.nextTry = now.monotonic;
        return;
    }
    // What the store holds is shown by a read before anything else is written.
    table.loaded = table.loaded && reply.status != StoreStatus::Ambiguous;
    table.nextTry = now.monotonic + table.options.retryDelay;
}

void pumpSessions(SessionTable &table, const Now &now, Actions &actions)
{
    if (table.state != SessionCallState::Idle || now.monotonic < table.nextTry) {
        return;
    }
    if (table.readWanted || !table.loaded) {
        table.readWanted = false;
        ++table.readsSent;
        startCall(table, SessionCallState::Reading, {.kind = StoreCallKind::Get}, now, actions);
        return;
    }
    bool changed = false;
    SessionRecord wanted = wantedRecord(table, now, changed);
    if (!changed) {
        return;
    }
    StoreCall call{.kind = StoreCallKind::Put, .value = encodeSessions(wanted), .expectedVersion = table.version};
    table.proposed = std::move(wanted);
    startCall(table, SessionCallState::Writing, std::move(call), now, actions);
}

} // namespace

std::uint64_t requestSessionsRead(SessionTable &table)
{
    table.readWanted = true;
    return table.readsSent + 1;
}

void onSessionsReply(SessionTable &table, const StoreReply &reply, const Now &now, Actions &actions)
{
    if (table.state == SessionCallState::Idle || reply.id != table.callId) {
        return;
    }
    const bool reading = table.state == SessionCallState::Reading;
    table.state = SessionCallState::Idle;
    if (!reading) {
        finishWrite(table, reply, now, actions);
        pumpSessions(table, now, actions);
        return;
    }
    const bool answered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound;
    if (answered) {
        takeEntry(table, reply);
    }
    if (!answered || !table.loaded) {
        table.readWanted = true;
        table.nextTry = now.monotonic + table.options.retryDelay;
        return;
    }
    table.readsDone = table.readsSent;
    noteOpen(table, now);
    pumpSessions(table, now, actions);
}

void onSessionsChanged(SessionTable &table, const StoreEntry &entry)
{
    auto record = decodeSessions(entry.value);
    if (!record || entry.version <= table.version || table.state == SessionCallState::Writing) {
        return;
    }
    table.record = std::move(*record);
    table.version = entry.version;
    table.loaded = true;
    // A session that another daemon resolved must be opened anew before anything is run from memory.
    table.open = table.open && containsOwn(table, table.record);
}

void noteVmList(SessionTable &table, std::span<const VmEntry> vms, const Now &now)
{
    const auto listed = [&](std::string_view address) {
        return std::ranges::any_of(vms, [&](const VmEntry &vm) { return vm.address == address; });
    };
    if (!listed(table.options.self.address)) {
        table.missingSince.clear();
        return;
    }
    std::map<std::string, MonotonicTime, std::less<>> missing;
    for (const Session &session : table.record.sessions) {
        if (listed(session.address)) {
            continue;
        }
        const auto known = table.missingSince.find(session.address);
        missing.emplace(session.address, known == table.missingSince.end() ? now.monotonic : known->second);
    }
    table.missingSince = std::move(missing);
}

void tickSessions(SessionTable &table, const Now &now, Actions &actions)
{
    if (table.state != SessionCallState::Idle && now.monotonic - table.sentAt >= table.options.callTimeout) {
        onSessionsReply(table, {.id = table.callId, .status = StoreStatus::Ambiguous}, now, actions);
        return;
    }
    if (now.monotonic >= table.nextRefresh) {
        table.readWanted = true;
        table.nextRefresh = now.monotonic + table.options.refreshInterval;
    }
    pumpSessions(table, now, actions);
}

bool isClosed(const SessionTable &table)
{
    return !table.open && table.state == SessionCallState::Idle && !containsOwn(table, table.record);
}

} // namespace wigeonkeel
