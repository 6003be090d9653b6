#pragma once

#include "core/caller_messages.h"
#include "core/operator_messages.h"
#include "core/peer_messages.h"
#include "core/store_messages.h"
#include "core/worker_messages.h"

#include <variant>

namespace wigeonkeel
{

/// Time has passed; sent every scheduler tick.
struct TickEvent
{
};

/// Stop taking new work, finish what is in flight, then report DrainedAction.
struct DrainEvent
{
};

/// Everything that decisions react to.
using Event = std::variant<TickEvent, DrainEvent, SubmitEvent, QueryEvent, CancelEvent, CallerGoneEvent, OperatorEvent,
    PeerReceived, PeerLinkChanged, WorkerReport, WorkerExchangeFailed, VmListUpdate, StoreReply, StoreWatchUpdate,
    StoreHealthChanged>;

} // namespace wigeonkeel
