#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace wigeonkeel
{

/// The little-endian length header and the message, as FrameConnection sends it.
std::string withFrameHeader(std::span<const std::uint8_t> message);

/// A copy of a message that FlatBuffers may read in place: its buffer is aligned for the largest of its numbers.
class AlignedMessage
{
public:
    explicit AlignedMessage(std::span<const std::byte> bytes);

    const std::uint8_t *data() const { return reinterpret_cast<const std::uint8_t *>(m_words.data()); }
    std::size_t size() const { return m_size; }

private:
    std::vector<std::uint64_t> m_words;
    std::size_t m_size;
};

} // namespace wigeonkeel
