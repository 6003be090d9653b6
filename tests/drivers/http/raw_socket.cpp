#include "tests/drivers/http/raw_socket.h"

#include <cerrno>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace wigeonkeel
{

namespace
{

sockaddr_in toSocketAddress(std::string_view address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    CHECK_EQUAL(1, inet_pton(AF_INET, std::string(address).c_str(), &result.sin_addr));
    return result;
}

} // namespace

RawSocket::RawSocket(std::string_view address, std::uint16_t port)
    : RawSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in to = toSocketAddress(address, port);
    const int result = connect(m_fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    // The kernel completes a connection to the loopback without the other side's accept().
    CHECK_TRUE(result == 0 || errno == EINPROGRESS);
}

RawSocket::RawSocket(int fd)
    : m_fd(fd)
{
    fcntl(m_fd, F_SETFL, O_NONBLOCK);
}

RawSocket::~RawSocket()
{
    close();
}

int RawSocket::listenOn(std::string_view address, std::uint16_t &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in at = toSocketAddress(address, 0);
    socklen_t length = sizeof(at);
    CHECK_EQUAL(0, bind(fd, reinterpret_cast<sockaddr *>(&at), length));
    CHECK_EQUAL(0, listen(fd, 16));
    CHECK_EQUAL(0, getsockname(fd, reinterpret_cast<sockaddr *>(&at), &length));
    port = ntohs(at.sin_port);
    return fd;
}

std::size_t RawSocket::send(std::string_view bytes)
{
    // A peer that has closed is no failure of the test by itself.
    const ssize_t sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

void RawSocket::close()
{
    if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
    }
}

const std::string &RawSocket::received()
{
    char buffer[4096];
    while (m_fd >= 0 && !m_ended) {
        const ssize_t got = recv(m_fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (got > 0) {
            m_received.append(buffer, static_cast<std::size_t>(got));
            continue;
        }
        m_ended = got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        break;
    }
    return m_received;
}

bool RawSocket::ended()
{
    received();
    return m_ended;
}

} // namespace wigeonkeel
