#include "tcp_proxy.hpp"

#include <array>
#include <cerrno>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicorydrum::faults
{

namespace
{

constexpr support::milliseconds injected_delay{80};

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int make_socket()
{
    const int created = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(created, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ::setsockopt(created, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return created;
}

} // namespace

tcp_proxy::tcp_proxy(int listen_port, int to_port)
    : listener(make_socket()), server_port(to_port)
{
    const sockaddr_in address = loopback(listen_port);
    const bool is_listening =
        ::bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) == 0 &&
        ::listen(this->listener, 128) == 0;
    if (!is_listening)
        throw std::runtime_error("the proxy cannot listen");
}

tcp_proxy::~tcp_proxy()
{
    for (const auto& one : this->connections)
        close_both(*one, false);
    ::close(this->listener);
}

void tcp_proxy::set_fault(link_fault new_fault)
{
    this->fault = new_fault;
    if (new_fault == link_fault::silent)
        for (const auto& one : this->connections)
            one->was_silenced = true;
}

void tcp_proxy::reset_all()
{
    for (const auto& one : this->connections)
        close_both(*one, true);
    this->connections.clear();
}

void tcp_proxy::close_both(connection& one, bool resets)
{
    const linger no_linger{.l_onoff = 1, .l_linger = 0};
    for (const int end : {one.client, one.server})
    {
        if (resets)
            ::setsockopt(end, SOL_SOCKET, SO_LINGER, &no_linger,
                         sizeof no_linger);
        ::close(end);
    }
}

void tcp_proxy::poll(support::instant now)
{
    this->accept_all();
    std::vector<std::unique_ptr<connection>> open;
    for (std::unique_ptr<connection>& one : this->connections)
    {
        if (this->relay(*one, now))
            open.push_back(std::move(one));
        else
            close_both(*one, false);
    }
    this->connections = std::move(open);
}

void tcp_proxy::accept_all()
{
    while (true)
    {
        const int accepted =
            ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (accepted < 0)
            return;
        auto created = std::make_unique<connection>();
        created->client = accepted;
        created->server = make_socket();
        const sockaddr_in address = loopback(this->server_port);
        const int connected = ::connect(
            created->server, reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
        if (connected < 0 && errno != EINPROGRESS)
            close_both(*created, true);
        else
            this->connections.push_back(std::move(created));
    }
}

bool tcp_proxy::relay(connection& one, support::instant now)
{
    // A silenced connection stays silent after the fault; new ones work.
    const bool is_silent =
        one.was_silenced || this->fault == link_fault::silent;
    const bool drops_to_server = this->fault == link_fault::cut_one_way;
    return this->receive(one.client, one.to_server,
                         is_silent || drops_to_server, now) &&
           this->receive(one.server, one.to_client, is_silent, now) &&
           deliver(one.server, one.to_server, now) &&
           deliver(one.client, one.to_client, now);
}

bool tcp_proxy::receive(int from, direction& into, bool drops,
                        support::instant now)
{
    std::array<char, 65536> buffer{};
    while (true)
    {
        const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
        if (count > 0 && drops)
            continue;
        if (count > 0)
        {
            const bool is_delayed = this->fault == link_fault::delayed;
            into.pending.push_back(
                {.due = is_delayed ? now + injected_delay : now,
                 .bytes = std::string(buffer.data(),
                                      static_cast<std::size_t>(count))});
            continue;
        }
        const bool is_open =
            count < 0 && (errno == EAGAIN || errno == ENOTCONN);
        return is_open;
    }
}

bool tcp_proxy::deliver(int to, direction& from, support::instant now)
{
    while (!from.pending.empty() && from.pending.front().due <= now)
    {
        std::string& bytes = from.pending.front().bytes;
        const ssize_t count =
            ::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0)
            return errno == EAGAIN || errno == ENOTCONN;
        bytes.erase(0, static_cast<std::size_t>(count));
        if (!bytes.empty())
            return true;
        from.pending.pop_front();
    }
    return true;
}

} // namespace chicorydrum::faults
