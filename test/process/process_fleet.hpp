/// \file
/// Entry hosts and stand-ins as real processes on loopback.
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

/// The first of \p count free ports below the ephemeral range; tests that run
/// side by side begin at places that their process ids choose.
int find_free_ports(int count);

/// A process that is ended with its owner.
class child_process
{
public:
    /// Starts \p arguments; its output goes to \p log_file.
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
    /// The exit code if it has ended; negative for a signal.
    std::optional<int> exit_code();

private:
    pid_t pid;
    std::optional<int> exit_status;
};

/// One HTTP call in flight or ended.
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
    /// The body, or an empty object.
    nlohmann::json body() const;
};

using call_ptr = std::shared_ptr<call>;

struct command_result
{
    int exit_code = 0;
    std::string output;
};

/// Three entry hosts in three domains, two endpoints in each, the platform.
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
    /// Waits until all hosts are ready and hold their slots.
    void wait_until_ready();

    call_ptr
    start(int port, transport::http_method method, const std::string& path,
          const std::string& body = "",
          std::chrono::milliseconds timeout = std::chrono::milliseconds(20000));
    /// Serves until the call is done.
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

    /// Serves until \p condition holds; false after ten seconds.
    bool wait_for(const std::function<bool()>& condition);

    /// Fresh id under the home of \p host.
    std::string new_id(int host, const std::string& key);
    /// How often each payload was started, on all endpoints together.
    std::map<std::string, int> starts();
    void set_platform_mode(const std::string& mode);
    void set_endpoint_mode(int endpoint, const std::string& mode);
    void publish_hosts();

    /// Runs the command line against the given hosts, separated by commas.
    command_result run_cli(const std::string& arguments);

    /// What \p host has written.
    std::string log_of(int host) const;
    /// The functions, with file and line, of a crash report's frames that lie
    /// in the program itself.
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

/// A job's body: \p tasks tasks whose payloads begin with \p payload.
std::string job_body(const std::string& kind, int tasks,
                     const std::string& payload = "sleep=20",
                     int deadline_ms = 20000);

/// Sends raw \p bytes and reads until the other side closes or \p timeout.
std::string raw_exchange(int port, const std::string& bytes,
                         std::chrono::milliseconds timeout);

} // namespace chicorydrum::process_test
