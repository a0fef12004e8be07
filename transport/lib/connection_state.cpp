#include "connection_state.hpp"

#include <array>
#include <cerrno>

#include <libwebsockets.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace chicorydrum::transport
{

remote_state remote_state_of(lws* connection)
{
    char byte = 0;
    const ssize_t count = ::recv(lws_get_socket_fd(connection), &byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return remote_state::sending;
    const bool is_open = count < 0 && (errno == EAGAIN || errno == EINTR);
    return is_open ? remote_state::idle : remote_state::closed;
}

void discard_received(lws* connection)
{
    constexpr int max_reads = 16;
    std::array<char, 4096> part{};
    for (int i = 0; i < max_reads; ++i)
        if (::recv(lws_get_socket_fd(connection), part.data(), part.size(),
                   MSG_DONTWAIT) <= 0)
            return;
}

support::milliseconds time_since_last_bytes(lws* connection)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(lws_get_socket_fd(connection), IPPROTO_TCP, TCP_INFO,
                     &info, &size) != 0)
        return support::milliseconds(0);
    return support::milliseconds(info.tcpi_last_data_recv);
}

} // namespace chicorydrum::transport
