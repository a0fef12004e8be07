#include "tcp_proxy.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <set>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicorydrum::faults
{

namespace
{

constexpr support::milliseconds injected_delay{80};

sockaddr_in loopback(int port, const std::string& at = "127.0.0.1")
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, at.c_str(), &address.sin_addr);
    return address;
}

int make_socket()
{
    // Hosts must not inherit it: a connection that is closed here would stay
    // open in them.
    const int created =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(created, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ::setsockopt(created, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return created;
}

/// Watches the sockets of all proxies, which leave it when they are closed.
int watch_set()
{
    static const int created = ::epoll_create1(EPOLL_CLOEXEC);
    return created;
}

} // namespace

tcp_proxy::tcp_proxy(const proxy_route& route)
    : listener(make_socket()), server_port(route.server_port)
{
    const sockaddr_in address = loopback(route.port, route.address);
    const bool is_listening =
        ::bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) == 0 &&
        ::listen(this->listener, 128) == 0;
    if (!is_listening)
        throw std::runtime_error("the proxy cannot listen");
    this->watch(this->listener);
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
    if (new_fault == link_fault::refused)
        this->reset_all();
}

void tcp_proxy::lose_power(support::milliseconds late)
{
    ++this->dark_ends;
    for (const auto& one : this->connections)
        for (direction* const way : {&one->to_server, &one->to_client})
            for (delayed_bytes& part : way->pending)
                part.due += late;
}

void tcp_proxy::restore_power()
{
    if (--this->dark_ends > 0)
        return;
    this->accept_all();
    this->reset_all();
}

void tcp_proxy::reset_all()
{
    if (this->dark_ends == 0)
    {
        for (const auto& one : this->connections)
            close_both(*one, true);
        this->connections.clear();
    }
    for (const auto& one : this->connections)
    {
        one->to_server.pending.clear();
        one->to_client.pending.clear();
    }
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

bool tcp_proxy::has_pending() const
{
    return std::any_of(this->connections.begin(), this->connections.end(),
                       [](const auto& one) {
                           return !one->to_server.pending.empty() ||
                                  !one->to_client.pending.empty();
                       });
}

void tcp_proxy::poll_all(const std::vector<tcp_proxy*>& proxies,
                         support::instant now)
{
    std::array<epoll_event, 512> events{};
    const int ready = ::epoll_wait(watch_set(), events.data(),
                                   static_cast<int>(events.size()), 0);
    std::set<const void*> due;
    for (int i = 0; i < ready; ++i)
        due.insert(events[static_cast<std::size_t>(i)].data.ptr);
    for (tcp_proxy* const one : proxies)
        if (due.contains(one) || one->has_pending())
            one->poll(now);
}

void tcp_proxy::watch(int descriptor)
{
    epoll_event wanted{};
    wanted.events = EPOLLIN;
    wanted.data.ptr = this;
    ::epoll_ctl(watch_set(), EPOLL_CTL_ADD, descriptor, &wanted);
}

void tcp_proxy::accept_all()
{
    // A host that is cut off or has no power answers no one who connects.
    const bool is_held = this->dark_ends > 0 ||
                         this->fault == link_fault::held ||
                         this->fault == link_fault::held_to_server;
    while (!is_held)
    {
        const int accepted = ::accept4(this->listener, nullptr, nullptr,
                                       SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        auto created = std::make_unique<connection>();
        created->client = accepted;
        created->server = make_socket();
        if (this->fault == link_fault::refused)
        {
            close_both(*created, true);
            continue;
        }
        const sockaddr_in address = loopback(this->server_port);
        const int connected = ::connect(
            created->server, reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
        if (connected < 0 && errno != EINPROGRESS)
            close_both(*created, true);
        else
        {
            this->watch(created->client);
            this->watch(created->server);
            this->connections.push_back(std::move(created));
        }
    }
}

bool tcp_proxy::relay(connection& one, support::instant now)
{
    if (this->dark_ends > 0)
    {
        // The end without power may have closed it.
        deliver(one.server, one.to_server, now);
        deliver(one.client, one.to_client, now);
        return true;
    }
    // A silenced connection stays silent after the fault; new ones work.
    const bool is_silent =
        one.was_silenced || this->fault == link_fault::silent;
    const bool drops_to_server = this->fault == link_fault::cut_one_way;
    const bool holds_to_server = this->fault == link_fault::held ||
                                 this->fault == link_fault::held_to_server;
    const bool holds_to_client = this->fault == link_fault::held ||
                                 this->fault == link_fault::held_to_client;
    const bool is_open =
        (holds_to_server ||
         this->receive(one, true, is_silent || drops_to_server, now)) &&
        (holds_to_client || this->receive(one, false, is_silent, now));
    one.has_ended = one.has_ended || !is_open;
    const bool is_delivered = deliver(one.server, one.to_server, now) &&
                              deliver(one.client, one.to_client, now);
    const bool has_more =
        !one.to_server.pending.empty() || !one.to_client.pending.empty();
    return is_delivered && (!one.has_ended || has_more);
}

bool tcp_proxy::receive(connection& one, bool is_from_client, bool drops,
                        support::instant now)
{
    const int from = is_from_client ? one.client : one.server;
    direction& into = is_from_client ? one.to_server : one.to_client;
    std::array<char, 65536> buffer{};
    while (true)
    {
        const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
        if (count > 0 && drops)
            continue;
        if (count > 0)
        {
            const bool is_delayed = this->fault == link_fault::delayed;
            const support::instant passed = this->pass(
                static_cast<std::size_t>(count), is_from_client, now);
            into.pending.push_back(
                {.due = is_delayed ? passed + injected_delay : passed,
                 .bytes = std::string(buffer.data(),
                                      static_cast<std::size_t>(count))});
            continue;
        }
        const bool is_open =
            count < 0 && (errno == EAGAIN || errno == ENOTCONN);
        return is_open;
    }
}

support::instant tcp_proxy::pass(std::size_t bytes, bool is_from_client,
                                 support::instant now) const
{
    link_rate* const from =
        is_from_client ? this->client_rate : this->server_rate;
    link_rate* const to =
        is_from_client ? this->server_rate : this->client_rate;
    if (from != nullptr)
        now = from->pass_out(bytes, now);
    return to == nullptr ? now : to->pass_in(bytes, now);
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
