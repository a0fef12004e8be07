/// \file
/// Runs entry hosts, a platform stand-in and endpoint stand-ins as real
/// processes on loopback.
#pragma once

#include "chicorydrum/transport/http_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace chicorydrum::process_test
{

/// Returns the first of \p count consecutive free ports below the ephemeral
/// range. The search starts at a port derived from the process id, so that
/// parallel tests rarely collide.
int find_free_ports(int count);

/// A child process that the destructor kills.
class child_process
{
public:
    /// Starts \p arguments and appends the output to \p log_file.
    child_process(const std::vector<std::string>& arguments,
                  const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    pid_t id() const
    {
        return this->pid;
    }
    /// Returns the exit code once the process has ended; -N after signal N.
    std::optional<int> exit_code();

private:
    pid_t pid;
    std::optional<int> exit_status;
};

/// An HTTP call that is in flight or done.
struct call
{
    std::optional<transport::client_outcome> outcome;
    std::chrono::steady_clock::time_point began;
    std::chrono::milliseconds took{};

    bool is_done() const
    {
        return this->outcome.has_value();
    }
    int status() const;
    /// Returns the parsed body, or an empty object.
    nlohmann::json body() const;
};

using call_ptr = std::shared_ptr<call>;

struct command_result
{
    int exit_code = 0;
    std::string output;
};

/// Three domains with one entry host and two endpoints each, and the platform.
class process_fleet
{
public:
    process_fleet();
    ~process_fleet();

    static constexpr int host_count = 3;
    static constexpr int endpoint_count = 6;

    void start_host(int host);
    child_process& host(int host)
    {
        return *this->hosts.at(host);
    }
    /// Waits until all hosts are ready and have been granted their slots.
    void wait_until_ready();

    call_ptr
    start(int port, transport::http_method method, const std::string& path,
          const std::string& body = "",
          std::chrono::milliseconds timeout = std::chrono::milliseconds(20000));
    /// Runs the event loop until the call is done.
    call_ptr wait_for_answer(const call_ptr& started);
    call_ptr get(int port, const std::string& path)
    {
        return this->wait_for_answer(
            this->start(port, transport::http_method::get, path));
    }
    call_ptr put_job(int host, const std::string& id, const std::string& body)
    {
        return this->start(this->http_port(host), transport::http_method::put,
                           "/v1/jobs/" + id, body);
    }

    /// Runs the event loop until \p condition holds; false after ten seconds.
    bool wait_for(const std::function<bool()>& condition);

    /// Returns an id under the current home of \p host.
    std::string new_id(int host, const std::string& key);
    /// Returns how often each payload was started on all endpoints together.
    std::map<std::string, int> starts();
    void set_platform_mode(const std::string& mode);
    void set_endpoint_mode(int endpoint, const std::string& mode);
    void publish_hosts();

    /// Runs the command-line client with \p arguments.
    command_result run_cli(const std::string& arguments);

    /// Returns the log output of \p host.
    std::string log_of(int host) const;
    /// Returns function, file and line of those frames of a crash report that
    /// lie in the program itself.
    static std::string symbolize(const std::string& backtrace);

    int http_port(int host) const
    {
        return this->host_ports.at(static_cast<std::size_t>(host));
    }
    int endpoint_port(int endpoint) const
    {
        return this->endpoint_ports + endpoint;
    }
    int platform_port() const
    {
        return this->platform_listen_port;
    }
    std::string host_address(int host) const
    {
        return "127.0.0.1:" + std::to_string(this->http_port(host));
    }
    const std::string& directory() const
    {
        return this->work_directory;
    }

private:
    std::string settings_of(int host) const;
    void roll_first_bundle();

    std::string work_directory;
    std::vector<int> host_ports;
    std::vector<int> peer_ports;
    int endpoint_ports = 0;
    int platform_listen_port = 0;
    std::unique_ptr<child_process> platform;
    std::unique_ptr<child_process> endpoints;
    std::map<int, std::unique_ptr<child_process>> hosts;
    transport::event_loop loop;
    transport::http_client http;
};

/// Returns a job's body with \p tasks tasks whose payloads begin with
/// \p payload.
std::string job_body(const std::string& kind, int tasks,
                     const std::string& payload = "sleep=20",
                     int deadline_ms = 20000);

/// Sends \p bytes and reads until the peer closes the connection or \p timeout.
std::string raw_exchange(int port, const std::string& bytes,
                         std::chrono::milliseconds timeout);

} // namespace chicorydrum::process_test
