#pragma once

#include "core/dispatch/peer_messages.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace wigeonkeel::dispatch
{

/// Length header and message, as FrameConnection sends it.
std::string encodePeerBody(const PeerBody &body);

/// Nothing if the bytes, without the length header, are not a valid message.
std::optional<PeerBody> decodePeerBody(std::span<const std::byte> bytes);

} // namespace wigeonkeel::dispatch
