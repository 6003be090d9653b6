#pragma once

#include "core/event_loop.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonkeel
{

/// A plain TCP socket, for what a real HTTP client or server would not send. Reads and writes don't block.
class RawSocket
{
public:
    /// Connects.
    RawSocket(std::string_view address, std::uint16_t port);
    /// Takes over a file descriptor.
    explicit RawSocket(int fd);
    ~RawSocket();
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    static int listenOn(std::string_view address, std::uint16_t &port);

    /// Returns how many bytes the system took; 0 if the peer has closed.
    std::size_t send(std::string_view bytes);
    void close();
    /// What has arrived so far.
    const std::string &received();
    /// True if the other side has closed or reset the connection.
    bool ended();

private:
    int m_fd;
    bool m_ended = false;
    std::string m_received;
};

} // namespace wigeonkeel
