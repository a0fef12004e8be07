/// \file
/// Links to peers that do not respond.
#include "chicorydrum/transport/peer_network.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <stdexcept>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicorydrum::transport
{

namespace
{

constexpr int own_port = 19495;
constexpr int full_port = 19496;

sockaddr_in address_of(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A port whose accept queue is full. The kernel drops its SYN packets, as if
/// the host had lost power.
class full_listener
{
public:
    full_listener()
    {
        this->add_socket();
        const int reuse = 1;
        setsockopt(this->sockets[0], SOL_SOCKET, SO_REUSEADDR, &reuse,
                   sizeof(reuse));
        const sockaddr_in address = address_of(full_port);
        const auto* const raw = reinterpret_cast<const sockaddr*>(&address);
        if (bind(this->sockets[0], raw, sizeof(address)) != 0 ||
            listen(this->sockets[0], 0) != 0)
            throw std::runtime_error("cannot listen");
        constexpr int connection_attempts = 4;
        for (int i = 0; i < connection_attempts; ++i)
        {
            const int caller = this->add_socket();
            fcntl(caller, F_SETFL, O_NONBLOCK);
            // Whether it succeeds does not matter: the queue fills up.
            static_cast<void>(connect(caller, raw, sizeof(address)));
        }
    }
    ~full_listener()
    {
        for (const int descriptor : this->sockets)
            ::close(descriptor);
    }

private:
    int add_socket()
    {
        this->sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
        return this->sockets.back();
    }

    std::vector<int> sockets;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peers)

// A connection attempt that hangs can be aborted before the timeouts of the
// kernel and the library.
BOOST_AUTO_TEST_CASE(a_dial_that_hangs_is_closed)
{
    event_loop loop{{.max_connections = 200}};
    std::vector<link_id> closed;
    peer_network network({.loop = loop,
                          .address = "127.0.0.1",
                          .port = own_port,
                          .on_open = [](link_id, const std::string&) {},
                          .on_frame = [](link_id, const std::string&) {},
                          .on_close =
                              [&closed](link_id id)
                          {
                              closed.push_back(id);
                          }});
    const full_listener target;
    const link_id dialled = network.dial("127.0.0.1", full_port);
    const support::instant begun = event_loop::now();
    // Closes repeatedly from a periodic timer, as the daemons do.
    std::unique_ptr<timer> closing;
    closing = std::make_unique<timer>(loop.make_timer(
        [&network, &closing, dialled]
        {
            network.close(dialled);
            closing->start(support::milliseconds(50));
        }));
    closing->start(support::milliseconds(50));
    loop.run_until([&closed] { return !closed.empty(); });
    BOOST_TEST(closed == std::vector<link_id>{dialled});
    // The library's own timeout is two seconds.
    BOOST_TEST(support::whole_ms(event_loop::now() - begun) < 1900);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::transport
