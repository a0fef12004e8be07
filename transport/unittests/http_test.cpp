#include "chicorydrum/transport/http_client.hpp"
#include "chicorydrum/transport/http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <map>
#include <optional>
#include <thread>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicorydrum::transport
{

namespace
{

constexpr int port = 19490;

/// A server that echoes the path and body of each request, and a client with
/// pooled connections to it, on one loop.
struct server_and_client
{
    explicit server_and_client(std::size_t pooled)
        : server({.loop = this->loop,
                  .address = "127.0.0.1",
                  .port = port,
                  .on_request = [this](exchange_id id, http_request request)
                  { this->serve(id, std::move(request)); },
                  .on_rejected =
                      [](rejection)
                  {
                      return http_response{};
                  }}),
          client({.loop = this->loop, .max_pooled_connections = pooled})
    {
    }

    void serve(exchange_id id, http_request request)
    {
        ++this->served;
        if (this->silent)
            return;
        http_response response;
        response.body = request.path + request.body;
        this->server.respond(id, std::move(response));
    }

    void send(const std::string& path, support::milliseconds timeout,
              std::function<void(client_outcome)> on_outcome)
    {
        ++this->open;
        client_request request;
        request.address = "127.0.0.1";
        request.port = port;
        request.method = http_method::post;
        request.path = path;
        request.body = "+body";
        request.timeout = timeout;
        this->client.send(std::move(request),
                          [this, on_outcome](client_outcome outcome)
                          {
                              --this->open;
                              on_outcome(std::move(outcome));
                          });
    }

    void run()
    {
        this->loop.run_until([this] { return this->open == 0; });
    }

    event_loop loop{{.max_connections = 200}};
    http_server server;
    http_client client;
    int open = 0;
    int served = 0;
    bool silent = false;
};

/// Answers one request on a connection and resets it once allowed to.
class resetting_server
{
public:
    resetting_server() : listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = loopback();
        BOOST_REQUIRE(::bind(this->listener,
                             reinterpret_cast<sockaddr*>(&address),
                             sizeof address) == 0);
        BOOST_REQUIRE(::listen(this->listener, 8) == 0);
    }
    ~resetting_server()
    {
        ::close(this->listener);
    }
    resetting_server(const resetting_server&) = delete;
    resetting_server& operator=(const resetting_server&) = delete;

    int port() const
    {
        sockaddr_in address = loopback();
        socklen_t size = sizeof address;
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                      &size);
        return ntohs(address.sin_port);
    }

    void serve_one_and_reset(const std::atomic<bool>& may_reset) const
    {
        const int accepted = ::accept(this->listener, nullptr, nullptr);
        std::string received(4096, '\0');
        std::string request;
        while (request.find("body") == std::string::npos)
        {
            const ssize_t count =
                ::recv(accepted, received.data(), received.size(), 0);
            if (count <= 0)
                break;
            request.append(received, 0, static_cast<std::size_t>(count));
        }
        const std::string response = "HTTP/1.1 200 OK\r\n"
                                     "content-length: 2\r\n\r\nok";
        ::send(accepted, response.data(), response.size(), MSG_NOSIGNAL);
        while (!may_reset)
            std::this_thread::yield();
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(accepted, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        ::close(accepted);
    }

private:
    static sockaddr_in loopback()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int listener;
};

/// Answers the requests it receives, on any number of connections, with given
/// responses in turn, and counts them. An empty response closes the connection,
/// and `reset` resets it.
class scripted_server
{
public:
    static constexpr const char* reset = "reset";

    explicit scripted_server(std::vector<std::string> answers)
        : responses(std::move(answers)),
          listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(::bind(this->listener,
                             reinterpret_cast<sockaddr*>(&address),
                             sizeof address) == 0);
        BOOST_REQUIRE(::listen(this->listener, 8) == 0);
        this->serving = std::thread([this] { this->serve(); });
    }
    ~scripted_server()
    {
        this->is_ending = true;
        this->serving.join();
        ::close(this->listener);
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    int port() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                      &size);
        return ntohs(address.sin_port);
    }
    int requests() const
    {
        return this->received;
    }
    /// Returns whether any byte has arrived.
    bool has_traffic() const
    {
        return this->has_received;
    }

private:
    void serve()
    {
        std::vector<pollfd> sockets{
            {.fd = this->listener, .events = POLLIN, .revents = 0}};
        while (!this->is_ending)
        {
            ::poll(sockets.data(), sockets.size(), 5);
            if ((sockets[0].revents & POLLIN) != 0)
                sockets.push_back(
                    {.fd = ::accept(this->listener, nullptr, nullptr),
                     .events = POLLIN,
                     .revents = 0});
            for (std::size_t i = 1; i < sockets.size(); ++i)
                if (sockets[i].fd >= 0 && sockets[i].revents != 0 &&
                    !this->answer(sockets[i].fd))
                {
                    ::close(sockets[i].fd);
                    sockets[i].fd = -1;
                }
        }
        for (std::size_t i = 1; i < sockets.size(); ++i)
            if (sockets[i].fd >= 0)
                ::close(sockets[i].fd);
    }

    /// Returns whether \p connection stays open.
    bool answer(int connection)
    {
        std::string buffer(4096, '\0');
        const ssize_t count =
            ::recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            return false;
        std::string& request = this->partial[connection];
        this->has_received = true;
        request.append(buffer, 0, static_cast<std::size_t>(count));
        if (!request.ends_with("body"))
            return true;
        request.clear();
        const auto number = static_cast<std::size_t>(this->received++);
        if (number >= this->responses.size() || this->responses[number].empty())
            return false;
        const std::string& response = this->responses[number];
        if (response == reset)
        {
            const linger at_once{.l_onoff = 1, .l_linger = 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once,
                         sizeof at_once);
            return false;
        }
        ::send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        return true;
    }

    std::vector<std::string> responses;
    int listener;
    std::map<int, std::string> partial;
    std::atomic<bool> is_ending = false;
    std::atomic<bool> has_received = false;
    std::atomic<int> received = 0;
    std::thread serving;
};

/// Sends a request to \p server, waits for its outcome, and then for further
/// requests that the client might send by itself.
client_outcome call_and_wait(event_loop& loop, http_client& client,
                             const scripted_server& server)
{
    std::optional<client_outcome> outcome;
    client_request request;
    request.address = "127.0.0.1";
    request.port = server.port();
    request.method = http_method::post;
    request.path = "/order";
    request.body = "body";
    request.timeout = support::milliseconds(500);
    client.send(std::move(request), [&outcome](client_outcome ended)
                { outcome = std::move(ended); });
    loop.run_until([&outcome] { return outcome.has_value(); });
    bool has_waited = false;
    timer wait = loop.make_timer([&has_waited] { has_waited = true; });
    wait.start(support::milliseconds(100));
    loop.run_until([&has_waited] { return has_waited; });
    return *outcome;
}

/// Returns this process's socket that is connected to \p server_port, or -1.
int find_socket_to(int server_port)
{
    constexpr int last_descriptor = 1024;
    for (int descriptor = 0; descriptor < last_descriptor; ++descriptor)
    {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer),
                          &size) == 0 &&
            ntohs(peer.sin_port) == server_port)
            return descriptor;
    }
    return -1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(sequential_requests_reuse_a_connection)
{
    server_and_client both(2);
    int rounds = 0;
    std::function<void()> next = [&both, &rounds, &next]
    {
        if (++rounds > 20)
            return;
        const std::string path = "/round/" + std::to_string(rounds);
        both.send(path, support::milliseconds(1000),
                  [path, &next](client_outcome outcome)
                  {
                      BOOST_TEST(outcome.has_value());
                      if (outcome)
                          BOOST_TEST(outcome->body == path + "+body");
                      next();
                  });
    };
    next();
    both.run();
    BOOST_TEST(both.served == 20);
    BOOST_TEST(both.server.connections_accepted() <= 2);
}

BOOST_AUTO_TEST_CASE(requests_do_not_wait_for_other_responses)
{
    server_and_client both(2);
    both.silent = true;
    int timed_out = 0;
    for (int i = 0; i < 4; ++i)
        both.send("/silent", support::milliseconds(300),
                  [&timed_out](client_outcome outcome)
                  {
                      BOOST_TEST(!outcome.has_value());
                      ++timed_out;
                  });
    both.run();
    BOOST_TEST(timed_out == 4);
    BOOST_TEST(both.served == 4);
}

BOOST_AUTO_TEST_CASE(connection_is_not_reused_after_a_timeout)
{
    server_and_client both(1);
    both.send("/first", support::milliseconds(1000),
              [](client_outcome outcome) { BOOST_TEST(outcome.has_value()); });
    both.run();
    both.silent = true;
    both.send("/second", support::milliseconds(100),
              [](client_outcome outcome) { BOOST_TEST(!outcome.has_value()); });
    both.run();
    both.silent = false;
    both.send("/third", support::milliseconds(1000),
              [](client_outcome outcome)
              {
                  BOOST_TEST(outcome.has_value());
                  if (outcome)
                      BOOST_TEST(outcome->body == "/third+body");
              });
    both.run();
}

BOOST_AUTO_TEST_CASE(concurrent_requests_get_their_own_responses)
{
    server_and_client both(3);
    for (int round = 0; round < 5; ++round)
    {
        for (int i = 0; i < 8; ++i)
        {
            const std::string path =
                "/r" + std::to_string(round) + "/" + std::to_string(i);
            both.send(path, support::milliseconds(1000),
                      [path](client_outcome outcome)
                      {
                          BOOST_TEST(outcome.has_value());
                          if (outcome)
                              BOOST_TEST(outcome->body == path + "+body");
                      });
        }
        both.run();
    }
    BOOST_TEST(both.served == 40);
    // Three pooled connections, and five dedicated ones in each round.
    BOOST_TEST(both.server.connections_accepted() <= 3 + 5 * 5);
}

// A server that crashes resets its connections. A request that reuses such a
// pooled connection must not fail.
BOOST_AUTO_TEST_CASE(reset_of_a_pooled_connection_fails_no_request)
{
    resetting_server server;
    event_loop loop{{.max_connections = 50}};
    http_client client({.loop = loop, .max_pooled_connections = 1});
    for (int round = 0; round < 3; ++round)
    {
        std::atomic<bool> has_ended = false;
        client_request request;
        request.address = "127.0.0.1";
        request.port = server.port();
        request.method = http_method::post;
        request.path = "/";
        request.body = "body";
        client.send(std::move(request),
                    [&has_ended](client_outcome outcome)
                    {
                        BOOST_TEST(outcome.has_value());
                        has_ended = true;
                    });
        std::thread serving([&server, &has_ended]
                            { server.serve_one_and_reset(has_ended); });
        loop.run_until([&has_ended] { return has_ended.load(); });
        // The reset arrives while the loop is not running.
        serving.join();
    }
}

// Another process may answer at an address whose connections have closed. A
// request that is meant for the earlier one only must not reach it, and the
// client reports that the connection has closed.
BOOST_AUTO_TEST_CASE(request_for_the_same_server_is_not_sent_to_another)
{
    const std::string ok = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for (const bool loop_has_run : {false, true})
    {
        scripted_server server({ok, ok});
        event_loop loop{{.max_connections = 50}};
        int closed = 0;
        http_client client({.loop = loop,
                            .max_pooled_connections = 2,
                            .on_idle_closed = [&](const std::string&, int at)
                            {
                                BOOST_TEST(at == server.port());
                                ++closed;
                            }});
        BOOST_TEST(call_and_wait(loop, client, server).has_value());
        BOOST_TEST(closed == 0);
        const int pooled = find_socket_to(server.port());
        BOOST_REQUIRE(pooled >= 0);
        // Seen as if the server had closed the connection.
        BOOST_REQUIRE(::shutdown(pooled, SHUT_RD) == 0);
        std::optional<client_outcome> outcome;
        const auto send = [&](bool needs_same_server)
        {
            outcome.reset();
            client_request request;
            request.address = "127.0.0.1";
            request.port = server.port();
            request.method = http_method::post;
            request.path = "/order";
            request.body = "body";
            request.needs_same_server = needs_same_server;
            client.send(std::move(request), [&outcome](client_outcome ended)
                        { outcome = std::move(ended); });
            loop.run_until([&outcome] { return outcome.has_value(); });
        };
        if (!loop_has_run)
        {
            send(true);
            BOOST_REQUIRE(!*outcome);
            BOOST_TEST((outcome->error() == client_error::not_sent));
            BOOST_TEST(server.requests() == 1);
        }
        loop.run_until([&closed] { return closed > 0; });
        // The owner looks who answers there now, and goes on.
        send(false);
        BOOST_TEST(outcome->has_value());
        send(true);
        BOOST_TEST(server.requests() >= 2);
    }
}

// A server that receives a request on a reused connection and closes it without
// answer may have executed it. The library must not send it a second time.
BOOST_AUTO_TEST_CASE(request_without_answer_is_not_sent_again)
{
    const std::string ok = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for (const std::size_t pooled : {0, 2})
        for (const std::string end : {"", scripted_server::reset})
        {
            scripted_server server({ok, end, ok});
            event_loop loop{{.max_connections = 50}};
            http_client client(
                {.loop = loop, .max_pooled_connections = pooled});
            BOOST_TEST(call_and_wait(loop, client, server).has_value());
            const client_outcome second = call_and_wait(loop, client, server);
            BOOST_REQUIRE(!second);
            BOOST_TEST((second.error() == client_error::no_response));
            BOOST_TEST(server.requests() == 2);
        }
}

// An answer that names another address is an answer. The library must not send
// the request there, and so a second time.
BOOST_AUTO_TEST_CASE(redirect_is_not_followed)
{
    for (const int status : {301, 302, 307, 308})
        for (const std::size_t pooled : {0, 2})
        {
            scripted_server other({"HTTP/1.1 200 OK\r\n"
                                   "content-length: 2\r\n\r\nok"});
            scripted_server server(
                {"HTTP/1.1 " + std::to_string(status) +
                 " Elsewhere\r\nlocation: http://127.0.0.1:" +
                 std::to_string(other.port()) +
                 "/order\r\ncontent-length: 0\r\n\r\n"});
            event_loop loop{{.max_connections = 50}};
            http_client client(
                {.loop = loop, .max_pooled_connections = pooled});
            const client_outcome outcome = call_and_wait(loop, client, server);
            BOOST_TEST(server.requests() == 1);
            BOOST_TEST(!other.has_traffic());
            BOOST_REQUIRE(outcome.has_value());
            BOOST_TEST(outcome->status == status);
        }
}

// A connection may fail after it was found usable and before the request is
// written to it. The client must report that, not use the closed connection.
BOOST_AUTO_TEST_CASE(pooled_connection_fails_while_it_is_reused)
{
    server_and_client both(1);
    both.send("/first", support::milliseconds(1000),
              [](client_outcome outcome) { BOOST_TEST(outcome.has_value()); });
    both.run();
    const int pooled = find_socket_to(port);
    BOOST_REQUIRE(pooled >= 0);
    // Reads find the connection open, writes fail.
    BOOST_REQUIRE(::shutdown(pooled, SHUT_WR) == 0);
    int outcomes = 0;
    both.send("/second", support::milliseconds(1000),
              [&outcomes](client_outcome) { ++outcomes; });
    BOOST_TEST(outcomes == 0);
    both.run();
    BOOST_TEST(outcomes == 1);
    both.send("/third", support::milliseconds(1000),
              [](client_outcome outcome)
              {
                  BOOST_TEST(outcome.has_value());
                  if (outcome)
                      BOOST_TEST(outcome->body == "/third+body");
              });
    both.run();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::transport
