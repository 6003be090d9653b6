#pragma once

#include "core/peer_messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// Bytes of the little-endian length before each message.
inline constexpr std::size_t frameHeaderSize = 4;
/// Largest message in bytes, without the header. A store value of 1 MB and its envelope fit.
inline constexpr std::size_t maxFrameSize = std::size_t{1} << 20;

/// Why a frame was refused.
enum class FrameProblem : std::uint8_t { None, Empty, TooLarge, NotVerified, BadValue };
inline constexpr std::size_t frameProblemCount = 5;

std::string_view toString(FrameProblem problem);

/// Frames without a message: the header, and for the others one byte that says which it is. No message is this short.
enum class ShortFrame : std::uint8_t {
    KeepAlive = 0,
    /// The last heartbeat on this connection, once more.
    Repeat = 1,
    /// As a keep-alive; the next frame may come only after `idleHeartbeats`, unless the receiver sends a message.
    Idle = 2,
};

/// Interval of frames on an idle connection, in heartbeats.
inline constexpr int idleHeartbeats = 20;

/// Header and content.
std::string_view shortFrame(ShortFrame kind);

/// Nothing if the bytes after the header are none of these.
std::optional<ShortFrame> parseShortFrame(std::span<const std::byte> bytes);

/// Header and message. Nothing if the message is larger than maxFrameSize.
std::optional<std::string> encodeFrame(const PeerMessage &message);

/// Length of the message that follows a header.
std::size_t frameSize(std::span<const std::byte, frameHeaderSize> header);

/// Reads one message without its header. Nothing is read before the verifier has checked the whole buffer.
std::optional<PeerMessage> decodeMessage(std::span<const std::byte> bytes, FrameProblem &problem);

} // namespace wigeonkeel
