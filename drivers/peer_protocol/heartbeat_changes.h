#pragma once

#include "core/peer_messages.h"

#include <cstdint>

namespace wigeonkeel
{

/// How a heartbeat is sent to a receiver that has the former one of the same connection. TCP delivers in order, so the
/// receiver has it whenever this one arrives; a new connection begins with a whole heartbeat.
enum class HeartbeatForm : std::uint8_t { Whole, Change, Repeat };

/// The shortest form that the next heartbeat has after the former one. Only sequence numbers differ in a repeat.
HeartbeatForm heartbeatForm(const HeartbeatMessage &former, const HeartbeatMessage &next);

/// The load of the next heartbeat, without amounts that did not change.
HeartbeatChangeMessage heartbeatChange(const HeartbeatMessage &former, const HeartbeatMessage &next);

/// The heartbeat that follows the former one. Its sequence is higher by one: the sender's may be higher, because it
/// counts heartbeats to all peers, but never lower.
HeartbeatMessage repeatedHeartbeat(const HeartbeatMessage &former);
HeartbeatMessage changedHeartbeat(const HeartbeatMessage &former, const HeartbeatChangeMessage &change);

} // namespace wigeonkeel
