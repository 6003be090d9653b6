#include "drivers/peer_protocol/frame_bytes.h"

#include "drivers/peer_protocol/peer_codec.h"

#include <algorithm>

namespace wigeonkeel
{

std::string withFrameHeader(std::span<const std::uint8_t> message)
{
    std::string frame;
    frame.reserve(frameHeaderSize + message.size());
    for (std::size_t i = 0; i < frameHeaderSize; ++i) {
        frame.push_back(static_cast<char>((message.size() >> (8 * i)) & 0xff));
    }
    frame.append(reinterpret_cast<const char *>(message.data()), message.size());
    return frame;
}

AlignedMessage::AlignedMessage(std::span<const std::byte> bytes)
    : m_words((bytes.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t))
    , m_size(bytes.size())
{
    std::ranges::copy(bytes, reinterpret_cast<std::byte *>(m_words.data()));
}

} // namespace wigeonkeel
