#pragma once

#include "core/dispatch/placement/step_order.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Whether the members of a gang are kept on workers of one speed class where enough of them have room.
enum class GangSpeeds : std::uint8_t { Alike, Any };

/// Places for all members of a gang within the given room of the allowed workers; nothing if not all of them fit. To
/// limit fragmentation, workers that would have the least room left over are filled first. One rack is preferred if the
/// gang runs slower on several, and then workers of like speed, because a gang is as slow as its slowest member.
std::optional<std::vector<PlannedPlace>> placeGang(const Dispatcher &dispatcher, const ReadyStep &ready,
    std::span<const Resources> room, GangSpeeds speeds, MonotonicTime now);

/// Starts the gang if all of its members have a place, otherwise reserves places, requests advice or pre-empts. Returns
/// whether the members found no room, and none can be made by pre-emption.
bool placeWholeGang(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

} // namespace wigeonkeel::dispatch
