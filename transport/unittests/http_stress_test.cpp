/// \file
/// The HTTP client under load with resets, refusals and silence that arrive
/// inside each other's hooks. Run it under the sanitizers as well.
#include "chicorydrum/transport/http_client.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
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

/// What the server does with a request, by the request's number.
enum class conduct
{
    answers,
    answers_in_pieces,
    answers_and_resets,
    resets,
    stays_silent,
    closes,
};
constexpr std::array<conduct, 10> conducts = {
    conduct::answers,           conduct::answers,
    conduct::answers_in_pieces, conduct::answers_and_resets,
    conduct::answers,           conduct::resets,
    conduct::answers,           conduct::stays_silent,
    conduct::answers,           conduct::closes};

/// Whether a request whose number is \p number can get its answer.
bool may_be_answered(int number)
{
    const conduct todo =
        conducts[static_cast<std::size_t>(number) % conducts.size()];
    return todo != conduct::resets && todo != conduct::stays_silent &&
           todo != conduct::closes;
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

/// Serves each request as its path, "/NUMBER", tells, on a thread of its own.
class unruly_server
{
public:
    unruly_server() : listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = loopback(0);
        BOOST_REQUIRE(::bind(this->listener,
                             reinterpret_cast<sockaddr*>(&address),
                             sizeof address) == 0);
        BOOST_REQUIRE(::listen(this->listener, 256) == 0);
        BOOST_REQUIRE(::pipe(this->wake.data()) == 0);
        this->serving = std::thread([this] { this->serve(); });
    }
    ~unruly_server()
    {
        ::close(this->wake[1]);
        this->serving.join();
        ::close(this->wake[0]);
        ::close(this->listener);
    }
    unruly_server(const unruly_server&) = delete;
    unruly_server& operator=(const unruly_server&) = delete;

    int port() const
    {
        return port_of(this->listener);
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
        this->act(connection, number);
    }

    void act(int connection, int number)
    {
        const conduct todo =
            conducts[static_cast<std::size_t>(number) % conducts.size()];
        const std::string body = std::to_string(number);
        const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" +
                                   body;
        switch (todo)
        {
        case conduct::answers:
            send(connection, answer);
            return;
        case conduct::answers_in_pieces:
            send(connection, answer.substr(0, answer.size() - body.size()));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            send(connection, body);
            return;
        case conduct::answers_and_resets:
            send(connection, answer);
            // The client has the answer before the reset discards it.
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            this->end(connection, true);
            return;
        case conduct::resets:
            this->end(connection, true);
            return;
        case conduct::closes:
            this->end(connection, false);
            return;
        case conduct::stays_silent:
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
    std::array<int, 2> wake = {};
    /// What each connection has received and not served yet.
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

/// Some requests time out while others of the same server are answered.
support::milliseconds mixed_timeout(int number)
{
    return support::milliseconds(40 + number % 3 * 20);
}

/// Sends requests to servers in turn, more of them from each outcome's hook.
class busy_caller
{
public:
    busy_caller(http_client& used, std::vector<int> served_at, int wanted,
                std::function<support::milliseconds(int)> patience)
        : client(used), ports(std::move(served_at)), limit(wanted),
          timeout_of(std::move(patience))
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

// Pattern: reentrancy; each request gets one outcome, and never another
// one's answer.
BOOST_AUTO_TEST_CASE(each_request_has_one_outcome_of_its_own)
{
    constexpr int requests = 3000;
    constexpr int at_first = 24;
    std::vector<std::unique_ptr<unruly_server>> servers;
    std::vector<int> ports;
    for (int i = 0; i < 7; ++i)
    {
        servers.push_back(std::make_unique<unruly_server>());
        ports.push_back(servers.back()->port());
    }
    event_loop loop{{.max_connections = 400}};
    http_client client({.loop = loop, .max_pooled_connections = 3});
    busy_caller caller(client, ports, requests, mixed_timeout);
    for (int i = 0; i < at_first; ++i)
        caller.send_next();
    loop.run_until([&caller] { return caller.is_done(); });
    BOOST_TEST(client.open_requests() == 0U);
    // The lanes to each server serve on.
    for (const int port : ports)
    {
        constexpr int answered_number = 0;
        bool has_ended = false;
        client.send(make_request(port, answered_number, support::seconds(30)),
                    [&has_ended](const client_outcome& outcome)
                    {
                        BOOST_TEST(outcome.has_value());
                        has_ended = true;
                    });
        loop.run_until([&has_ended] { return has_ended; });
    }
}

// A client ends with requests and connections open.
BOOST_AUTO_TEST_CASE(a_client_may_end_with_open_requests)
{
    unruly_server server;
    event_loop loop{{.max_connections = 50}};
    {
        http_client client({.loop = loop, .max_pooled_connections = 3});
        busy_caller caller(client, {server.port()}, 40, mixed_timeout);
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
