/// \file
/// Requests that the server reads late, as when its process is stopped or has
/// no processor time, and requests in other legal forms.
#include "chicorydrum/transport/http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <ctime>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicorydrum::transport
{

namespace
{

constexpr int port = 19491;

/// A server that records its requests and answers them.
struct recording_server
{
    recording_server()
        : server({.loop = this->loop,
                  .address = "127.0.0.1",
                  .port = port,
                  .on_request =
                      [this](exchange_id id, http_request request)
                  {
                      this->requests.push_back(std::move(request));
                      this->server.respond(id, {});
                  },
                  .on_abandoned = [this](exchange_id) { ++this->abandoned; },
                  .on_rejected =
                      [](rejection)
                  {
                      return http_response{};
                  }})
    {
    }

    void run_for(support::milliseconds span)
    {
        bool is_over = false;
        timer end = this->loop.make_timer([&is_over] { is_over = true; });
        end.start(span);
        this->loop.run_until([&is_over] { return is_over; });
    }

    event_loop loop{{.max_connections = 50}};
    http_server server;
    std::vector<http_request> requests;
    int abandoned = 0;
};

/// Opens a connection to the server and sends a request.
int send_request(const std::string& request =
                     "POST /job HTTP/1.1\r\nhost: a\r\n"
                     "content-length: 2\r\n\r\n{}")
{
    const int client = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    BOOST_REQUIRE(::connect(client, reinterpret_cast<sockaddr*>(&address),
                            sizeof address) == 0);
    BOOST_REQUIRE(::send(client, request.data(), request.size(),
                         MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    return client;
}

} // namespace

BOOST_AUTO_TEST_SUITE(late_requests)

// Guards against work for a caller who has left before its request was read,
// and who may have sent it again elsewhere.
BOOST_FIXTURE_TEST_CASE(request_of_a_caller_that_left_is_not_delivered,
                        recording_server)
{
    const int gone = send_request();
    ::close(gone);
    std::this_thread::sleep_for(support::milliseconds(50));
    this->run_for(support::milliseconds(100));
    BOOST_TEST(this->requests.empty());
    BOOST_TEST(this->abandoned == 0);
    const int waiting = send_request();
    this->run_for(support::milliseconds(100));
    BOOST_TEST(this->requests.size() == 1U);
    ::close(waiting);
}

// Guards against a request whose age is taken to be that of its reading.
BOOST_FIXTURE_TEST_CASE(request_tells_how_long_it_has_waited, recording_server)
{
    const int early = send_request();
    std::this_thread::sleep_for(support::milliseconds(400));
    const int late = send_request();
    this->run_for(support::milliseconds(100));
    BOOST_REQUIRE(this->requests.size() == 2U);
    const auto [least, most] = std::minmax(this->requests.front().waited,
                                           this->requests.back().waited);
    BOOST_TEST(most.count() >= 350);
    BOOST_TEST(least.count() < 350);
    ::close(early);
    ::close(late);
}

// Guards against a route that is not found because the caller wrote its host in
// capitals, or with the port.
BOOST_FIXTURE_TEST_CASE(host_has_no_case_and_no_port, recording_server)
{
    for (const char* const host :
         {"Desk.Example", "desk.example:8161", "DESK.EXAMPLE:80"})
    {
        this->requests.clear();
        const int client = send_request(
            "GET /job HTTP/1.1\r\nHost: " + std::string(host) + "\r\n\r\n");
        this->run_for(support::milliseconds(50));
        BOOST_REQUIRE(this->requests.size() == 1U);
        BOOST_TEST(this->requests.front().host == "desk.example");
        ::close(client);
    }
}

// Guards against a route that is not found because it names its host in other
// letters than the request, or the path with escapes.
BOOST_FIXTURE_TEST_CASE(host_and_path_are_delivered_as_normalized,
                        recording_server)
{
    for (const std::string host :
         {"Desk.example", "desk.example", "DESK.EXAMPLE.", "desk.example.:80",
          "  Desk.example \t", "[::1]:8161", "[FE80::1]"})
        for (const std::string path :
             {"/desk/1", "/Desk/1", "/caf%C3%A9/1", "/caf%c3%a9/1", "/a%20b/1",
              "/a//b/1", "/a/./b/1", "/a/../b/1", "/a/%2e%2E/b/1", "/a%2Fb/1",
              "/a+b/1", "/desk/"})
            BOOST_TEST_CONTEXT(host << " " << path)
            {
                this->requests.clear();
                const int client = send_request(
                    "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n");
                this->run_for(support::milliseconds(10));
                BOOST_REQUIRE(this->requests.size() == 1U);
                BOOST_TEST(this->requests.front().host ==
                           normalized_host(host));
                BOOST_TEST(this->requests.front().path ==
                           normalized_path(path));
                ::close(client);
            }
    const std::vector<http_header> headers = {
        {.name = "deadline-ms", .value = " \t1500 "}};
    BOOST_TEST(find_header(headers, "deadline-ms") == "1500");
    BOOST_TEST(normalized_host("Desk.Example.:8161") == "desk.example");
    BOOST_TEST(normalized_path("/caf%C3%A9//a/../1") == "/caf\xC3\xA9/1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests_behind_others)

namespace
{

constexpr support::milliseconds work_time{200};

/// A server that answers each request after a while, in the order in which they
/// came.
struct slow_server
{
    slow_server()
        : server({.loop = this->loop,
                  .address = "127.0.0.1",
                  .port = port,
                  .on_request =
                      [this](exchange_id id, http_request request)
                  {
                      this->paths.push_back(request.path);
                      this->work.push_back(this->loop.make_timer(
                          [this, id] { this->answer(id); }));
                      this->work.back().start(work_time);
                  },
                  .on_abandoned = [this](exchange_id) { ++this->abandoned; },
                  .on_rejected =
                      [](rejection)
                  {
                      return http_response{};
                  }})
    {
    }

    void answer(exchange_id id)
    {
        this->server.respond(id, {.body = "answered"});
    }

    /// Returns the processor time that passed.
    double run_for(support::milliseconds span)
    {
        const std::clock_t before = std::clock();
        bool is_over = false;
        timer end = this->loop.make_timer([&is_over] { is_over = true; });
        end.start(span);
        this->loop.run_until([&is_over] { return is_over; });
        return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    }

    event_loop loop{{.max_connections = 50}};
    http_server server;
    std::vector<timer> work;
    std::vector<std::string> paths;
    int abandoned = 0;
};

std::string request_text(const std::string& method, const std::string& path)
{
    const std::string body = method == "POST" ? "{}" : "";
    return method + " " + path + " HTTP/1.1\r\nhost: a\r\ncontent-length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns how often \p text is in what \p client has received.
int count_received(int client, const std::string& text)
{
    std::string received;
    std::array<char, 4096> part{};
    ssize_t length = 0;
    while ((length = ::recv(client, part.data(), part.size(), MSG_DONTWAIT)) >
           0)
        received.append(part.data(), static_cast<std::size_t>(length));
    int found = 0;
    for (std::size_t at = received.find(text); at != std::string::npos;
         at = received.find(text, at + 1))
        ++found;
    return found;
}

} // namespace

// Guards against a server that one connection stops for all callers: the first
// request is answered, and the connection is closed then or serves the rest.
BOOST_FIXTURE_TEST_CASE(requests_behind_a_post, slow_server)
{
    const std::vector<std::vector<std::string>> sequences = {
        {"POST"}, {"POST", "POST"}, {"GET"}, {"DELETE"}, {"GET", "POST"}};
    for (const std::vector<std::string>& behind : sequences)
        for (const int later_ms : {0, 100})
            BOOST_TEST_CONTEXT(behind.front() << " and " << behind.size() - 1
                                              << " more after " << later_ms)
            {
                this->paths.clear();
                const std::string text = request_text("POST", "/0");
                std::string rest;
                for (const std::string& method : behind)
                    rest += request_text(method, "/later");
                const int client =
                    send_request(later_ms == 0 ? text + rest : text);
                double used = this->run_for(support::milliseconds(100));
                if (later_ms > 0)
                    ::send(client, rest.data(), rest.size(), MSG_NOSIGNAL);
                used += this->run_for(work_time * 4);
                const int answers = count_received(client, "answered");
                BOOST_TEST(answers >= 1);
                BOOST_TEST(answers == static_cast<int>(this->paths.size()));
                BOOST_TEST(used < 0.2);
                BOOST_TEST(this->abandoned == 0);
                // Another caller is served.
                const int other = send_request(request_text("POST", "/other"));
                this->run_for(work_time + support::milliseconds(100));
                BOOST_TEST(count_received(other, "answered") == 1);
                ::close(client);
                ::close(other);
                this->run_for(support::milliseconds(20));
            }
}

// Guards against the job of a caller that has left running on, since nothing is
// read from its connection.
BOOST_FIXTURE_TEST_CASE(caller_that_leaves_with_requests_behind, slow_server)
{
    const int client =
        send_request(request_text("POST", "/0") + request_text("POST", "/1"));
    this->run_for(support::milliseconds(50));
    ::close(client);
    this->run_for(support::milliseconds(120));
    BOOST_TEST(this->abandoned == 1);
    this->run_for(work_time);
    BOOST_TEST(this->paths.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::transport
