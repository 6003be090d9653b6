#include "core/protocol/member_records.h"

#include "core/ini.h"

#include <charconv>
#include <set>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

/// Renewals per lease time: two may be lost.
constexpr int renewalsPerLease = 3;

std::string keyOf(const PeerInfo &self)
{
    return fmt::format("{}{}", memberPrefix, self.name);
}

void call(MemberRecord &record, StoreCall storeCall, std::uint64_t callId, Actions &actions)
{
    storeCall.id = callId;
    record.callUnderWay = callId;
    actions.push_back(std::move(storeCall));
}

void onWritten(MemberRecord &record, const Now &now)
{
    record.step = MemberRecordStep::Written;
    record.nextCall = now.monotonic + record.leaseTime / renewalsPerLease;
}

void onPutReply(MemberRecord &record, const PeerInfo &self, const StoreReply &reply, const Now &now)
{
    if (reply.status == StoreStatus::Ok) {
        record.version = reply.entries.empty() ? reply.revision : reply.entries.front().version;
        onWritten(record, now);
        return;
    }
    if (reply.status == StoreStatus::Conflict) {
        record.version = reply.entries.empty() ? 0 : reply.entries.front().version;
        // A write whose answer was lost took effect.
        if (!reply.entries.empty() && reply.entries.front().value == encodeMember(self, record.lease)) {
            onWritten(record, now);
            return;
        }
        record.nextCall = now.monotonic;
        return;
    }
    if (reply.status == StoreStatus::NotFound) {
        // The lease has lapsed.
        record.step = MemberRecordStep::Idle;
    }
}

template <typename Number>
void readNumber(std::string_view text, Number &value)
{
    std::from_chars(text.data(), text.data() + text.size(), value);
}

} // namespace

std::string encodeMember(const PeerInfo &peer, std::uint64_t lease)
{
    return fmt::format("[member]\nname = {}\naddress = {}\nport = {}\nzone = {}\nincarnation = {}\nlease = {}\n",
        peer.name, peer.address, peer.port, peer.zone, peer.incarnation, lease);
}

std::optional<PeerInfo> decodeMember(std::string_view text)
{
    const IniDocument document = parseIni(text);
    PeerInfo peer;
    for (const IniEntry &entry : document.entries) {
        if (entry.key == "name") {
            peer.name = entry.value;
        } else if (entry.key == "address") {
            peer.address = entry.value;
        } else if (entry.key == "port") {
            readNumber(entry.value, peer.port);
        } else if (entry.key == "zone") {
            peer.zone = entry.value;
        } else if (entry.key == "incarnation") {
            readNumber(entry.value, peer.incarnation);
        }
    }
    if (!document.problems.empty() || peer.name.empty() || peer.address.empty() || peer.port == 0) {
        return std::nullopt;
    }
    return peer;
}

bool tickMemberRecord(
    MemberRecord &record, const PeerInfo &self, std::uint64_t callId, const Now &now, Actions &actions)
{
    if (record.callUnderWay != 0 || now.monotonic < record.nextCall) {
        return false;
    }
    record.nextCall = now.monotonic + record.retryDelay;
    switch (record.step) {
    case MemberRecordStep::Idle:
    case MemberRecordStep::OpeningLease:
        record.step = MemberRecordStep::OpeningLease;
        call(record, {.kind = StoreCallKind::OpenLease, .leaseTime = record.leaseTime}, callId, actions);
        return true;
    case MemberRecordStep::Writing:
        call(record,
            {.kind = StoreCallKind::Put,
                .key = keyOf(self),
                .value = encodeMember(self, record.lease),
                .expectedVersion = record.version,
                .lease = record.lease},
            callId, actions);
        return true;
    case MemberRecordStep::Written:
        call(record, {.kind = StoreCallKind::RenewLease, .lease = record.lease, .leaseTime = record.leaseTime}, callId,
            actions);
        return true;
    }
    return false;
}

void onMemberReply(MemberRecord &record, const PeerInfo &self, const StoreReply &reply, const Now &now)
{
    if (reply.id != record.callUnderWay) {
        return;
    }
    record.callUnderWay = 0;
    if (record.step == MemberRecordStep::OpeningLease) {
        if (reply.status == StoreStatus::Ok) {
            record.lease = reply.lease;
            record.step = MemberRecordStep::Writing;
            record.nextCall = now.monotonic;
        }
        return;
    }
    if (record.step == MemberRecordStep::Writing) {
        onPutReply(record, self, reply, now);
        return;
    }
    if (reply.status == StoreStatus::Ok) {
        record.nextCall = now.monotonic + record.leaseTime / renewalsPerLease;
    } else if (reply.status == StoreStatus::NotFound) {
        record.step = MemberRecordStep::Idle;
        record.version = 0;
        record.nextCall = now.monotonic;
    }
}

void onMemberWatch(MemberRecord &record, MembershipTable &table, const StoreWatchUpdate &update, Actions &actions)
{
    const std::string ownKey = keyOf(table.options.self);
    std::set<std::string, std::less<>> named;
    for (const StoreEntry &entry : update.changed) {
        if (!entry.key.starts_with(memberPrefix)) {
            continue;
        }
        if (entry.key == ownKey) {
            record.version = entry.version;
            continue;
        }
        const auto peer = decodeMember(entry.value);
        if (peer && entry.key == keyOf(*peer)) {
            named.insert(peer->name);
            addListedPeer(table, *peer, actions);
        }
    }
    for (const std::string &key : update.removed) {
        if (key == ownKey) {
            record.version = 0;
            record.step = MemberRecordStep::Idle;
        } else if (key.starts_with(memberPrefix)) {
            removeListedPeer(table, std::string_view(key).substr(memberPrefix.size()));
        }
    }
    if (!update.full) {
        return;
    }
    for (const auto &[name, peer] : table.peers) {
        if (!named.contains(name)) {
            removeListedPeer(table, name);
        }
    }
}

} // namespace wigeonkeel
