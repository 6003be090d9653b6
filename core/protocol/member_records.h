#pragma once

#include "core/action.h"
#include "core/protocol/membership.h"
#include "core/store_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Prefix of the records by which daemons find each other.
inline constexpr std::string_view memberPrefix = "w/members/";

enum class MemberRecordStep : std::uint8_t {
    /// No lease yet.
    Idle,
    OpeningLease,
    /// The lease is open; the record is being written.
    Writing,
    Written,
};

/// How far this daemon is in publishing its own record under a store lease.
struct MemberRecord
{
    MemberRecordStep step = MemberRecordStep::Idle;
    std::uint64_t lease = 0;
    /// The call that is waited for; 0 for none.
    std::uint64_t callUnderWay = 0;
    /// Version of the record in the store, as last seen; 0 if absent.
    std::uint64_t version = 0;
    MonotonicTime nextCall{};
    /// The record vanishes this long after the daemon has ended or lost the store.
    milliseconds leaseTime{30000};
    milliseconds retryDelay{1000};
};

/// Text of a member record: one INI section. The lease is part of it, so that a record with an older lease is told
/// apart from the present one.
std::string encodeMember(const PeerInfo &peer, std::uint64_t lease);
std::optional<PeerInfo> decodeMember(std::string_view text);

/// Makes the next call if one is due. `callId` is used if a call is made; returns whether it was.
bool tickMemberRecord(
    MemberRecord &record, const PeerInfo &self, std::uint64_t callId, const Now &now, Actions &actions);

/// Takes note of the reply to a call of tickMemberRecord(); other replies are ignored.
void onMemberReply(MemberRecord &record, const PeerInfo &self, const StoreReply &reply, const Now &now);

/// Takes over the member records of a watch update.
void onMemberWatch(MemberRecord &record, MembershipTable &table, const StoreWatchUpdate &update, Actions &actions);

} // namespace wigeonkeel
