/// \file
/// Loads the HTTP client with resets, closed connections and timeouts that
/// occur while its callbacks send further requests. Run it with sanitizers as
/// well.
#include "chicorydrum/transport/http_client.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <cstring>
#include <map>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicorydrum::transport
{

namespace
{

/// What the server does with a request; chosen by the request's number.
enum class behaviour
{
    answers,
    answers_in_pieces,
    answers_and_resets,
    resets,
    stays_silent,
    closes,
};
constexpr std::array<behaviour, 10> behaviours_by_number = {
    behaviour::answers,           behaviour::answers,
    behaviour::answers_in_pieces, behaviour::answers_and_resets,
    behaviour::answers,           behaviour::resets,
    behaviour::answers,           behaviour::stays_silent,
    behaviour::answers,           behaviour::closes};

/// Returns whether request \p number can get an answer.
bool may_be_answered(int number)
{
    const behaviour selected =
        behaviours_by_number[static_cast<std::size_t>(number) %
                             behaviours_by_number.size()];
    return selected != behaviour::resets &&
           selected != behaviour::stays_silent && selected != behaviour::closes;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int port_of(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// Serves each request as its path, "/NUMBER", selects, on a thread of its own.
class faulty_server
{
public:
    faulty_server() : listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = loopback(0);
        BOOST_REQUIRE(::bind(this->listener,
                             reinterpret_cast<sockaddr*>(&address),
                             sizeof address) == 0);
        BOOST_REQUIRE(::listen(this->listener, 256) == 0);
        BOOST_REQUIRE(::pipe(this->wake.data()) == 0);
        this->serving = std::thread([this] { this->serve(); });
    }
    ~faulty_server()
    {
        ::close(this->wake[1]);
        this->serving.join();
        ::close(this->wake[0]);
        ::close(this->listener);
    }
    faulty_server(const faulty_server&) = delete;
    faulty_server& operator=(const faulty_server&) = delete;

    int port() const
    {
        return port_of(this->listener);
    }

    /// Waits until a request that was answered before this call is done with:
    /// the server may reset its connection after the answer.
    void wait_for_action() const
    {
        while (this->is_acting)
            std::this_thread::yield();
    }

private:
    void serve()
    {
        while (true)
        {
            std::vector<pollfd> waited = {
                {.fd = this->wake[0], .events = POLLIN, .revents = 0},
                {.fd = this->listener, .events = POLLIN, .revents = 0}};
            for (const auto& [connection, received] : this->connections)
                waited.push_back(
                    {.fd = connection, .events = POLLIN, .revents = 0});
            ::poll(waited.data(), waited.size(), -1);
            if (waited[0].revents != 0)
                break;
            if (waited[1].revents != 0)
                this->connections[::accept(this->listener, nullptr, nullptr)];
            for (std::size_t i = 2; i < waited.size(); ++i)
                if (waited[i].revents != 0)
                    this->read(waited[i].fd);
        }
        for (const auto& [connection, received] : this->connections)
            ::close(connection);
    }

    void read(int connection)
    {
        std::array<char, 4096> buffer{};
        const ssize_t count =
            ::recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0)
        {
            this->end(connection, false);
            return;
        }
        std::string& text = this->connections[connection];
        text.append(buffer.data(), static_cast<std::size_t>(count));
        constexpr const char* body = "+body";
        const std::size_t end = text.find(body);
        if (end == std::string::npos)
            return;
        const int number = std::stoi(text.substr(text.find('/') + 1));
        text.erase(0, end + std::strlen(body));
        this->is_acting = true;
        this->act(connection, number);
        this->is_acting = false;
    }

    void act(int connection, int number)
    {
        const behaviour selected =
            behaviours_by_number[static_cast<std::size_t>(number) %
                                 behaviours_by_number.size()];
        const std::string body = std::to_string(number);
        const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" +
                                   body;
        switch (selected)
        {
        case behaviour::answers:
            send(connection, answer);
            return;
        case behaviour::answers_in_pieces:
            send(connection, answer.substr(0, answer.size() - body.size()));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            send(connection, body);
            return;
        case behaviour::answers_and_resets:
            send(connection, answer);
            // Lets the client read the answer before the reset discards it.
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            this->end(connection, true);
            return;
        case behaviour::resets:
            this->end(connection, true);
            return;
        case behaviour::closes:
            this->end(connection, false);
            return;
        case behaviour::stays_silent:
            return;
        }
    }

    static void send(int connection, const std::string& text)
    {
        ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    }

    void end(int connection, bool with_reset)
    {
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        if (with_reset)
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once,
                         sizeof at_once);
        ::close(connection);
        this->connections.erase(connection);
    }

    int listener;
    /// Set while act() runs.
    std::atomic<bool> is_acting = false;
    std::array<int, 2> wake = {};
    /// Received bytes of each connection that are not served yet.
    std::map<int, std::string> connections;
    std::thread serving;
};

client_request make_request(int port, int number, support::milliseconds timeout)
{
    client_request request;
    request.address = "127.0.0.1";
    request.port = port;
    request.method = http_method::post;
    request.path = "/" + std::to_string(number);
    request.body = "+body";
    request.timeout = timeout;
    return request;
}

/// Lets some requests time out while the same server answers others.
support::milliseconds mixed_timeout(int number)
{
    return support::milliseconds(40 + number % 3 * 20);
}

/// Sends requests to the servers in turn; each outcome triggers further ones.
class request_generator
{
public:
    request_generator(http_client& http, std::vector<int> server_ports,
                      int requests,
                      std::function<support::milliseconds(int)> timeouts)
        : client(http), ports(std::move(server_ports)), limit(requests),
          timeout_of(std::move(timeouts))
    {
    }

    void send_next()
    {
        if (this->sent == this->limit)
            return;
        const int number = this->sent++;
        const int port =
            this->ports[static_cast<std::size_t>(number) % this->ports.size()];
        this->client.send(make_request(port, number, this->timeout_of(number)),
                          [this, number](client_outcome outcome)
                          { this->ended(number, outcome); });
    }

    bool is_done() const
    {
        return this->outcomes == this->limit;
    }
    int ended_requests() const
    {
        return this->outcomes;
    }

private:
    void ended(int number, const client_outcome& outcome)
    {
        ++this->outcomes;
        if (outcome)
        {
            BOOST_TEST(may_be_answered(number));
            BOOST_TEST(outcome->body == std::to_string(number));
        }
        this->send_next();
        if (number % 4 == 0)
            this->send_next();
    }

    http_client& client;
    std::vector<int> ports;
    int limit;
    std::function<support::milliseconds(int)> timeout_of;
    int sent = 0;
    int outcomes = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_stress)

// Guards against reentrancy faults: each request gets one outcome, never the
// answer to another request.
BOOST_AUTO_TEST_CASE(each_request_gets_exactly_one_outcome)
{
    constexpr int requests = 3000;
    constexpr int at_first = 24;
    std::vector<std::unique_ptr<faulty_server>> servers;
    std::vector<int> ports;
    for (int i = 0; i < 7; ++i)
    {
        servers.push_back(std::make_unique<faulty_server>());
        ports.push_back(servers.back()->port());
    }
    event_loop loop{{.max_connections = 400}};
    http_client client({.loop = loop, .max_pooled_connections = 3});
    request_generator caller(client, ports, requests, mixed_timeout);
    for (int i = 0; i < at_first; ++i)
        caller.send_next();
    loop.run_until([&caller] { return caller.is_done(); });
    BOOST_TEST(client.open_requests() == 0U);
    for (const auto& server : servers)
        server->wait_for_action();
    // The channels to each server are still usable.
    for (const int port : ports)
    {
        constexpr int answered_number = 0;
        bool has_ended = false;
        client.send(
            make_request(port, answered_number, support::seconds(30)),
            [&has_ended](const client_outcome& outcome)
            {
                BOOST_TEST(outcome.has_value(),
                           "the probe has an answer, got "
                               << (outcome ? "one" : name_of(outcome.error())));
                has_ended = true;
            });
        loop.run_until([&has_ended] { return has_ended; });
    }
}

// Destroys a client that has open requests and connections.
BOOST_AUTO_TEST_CASE(client_can_be_destroyed_with_open_requests)
{
    faulty_server server;
    event_loop loop{{.max_connections = 50}};
    {
        http_client client({.loop = loop, .max_pooled_connections = 3});
        request_generator caller(client, {server.port()}, 40, mixed_timeout);
        for (int i = 0; i < 8; ++i)
            caller.send_next();
        loop.run_until([&caller] { return caller.ended_requests() > 10; });
    }
    bool is_over = false;
    timer soon = loop.make_timer([&is_over] { is_over = true; });
    soon.start(support::milliseconds(50));
    loop.run_until([&is_over] { return is_over; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::transport
