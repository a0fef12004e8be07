#include "process_fleet.hpp"

#include <array>
#include <csignal>
#include <fstream>
#include <iterator>
#include <regex>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT: declared by POSIX, not by a header

namespace chicorydrum::process_test
{

namespace
{

using nlohmann::json;
using transport::http_method;

const std::array<std::string, 3> domains = {"bhaktapur", "patan", "thamel"};

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool is_free(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    const int bound =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address));
    close(descriptor);
    return bound == 0;
}

/// Listens on \p port until the process ends; false if another one does.
bool reserve(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const bool is_reserved =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0 &&
        listen(descriptor, 1) == 0;
    if (!is_reserved)
        close(descriptor);
    return is_reserved;
}

std::string binary(const std::string& name)
{
    return std::string(CHICORYDRUM_BIN_DIR) + "/" + name;
}

/// Runs \p command in a shell and returns its exit code and output.
command_result run_command(const std::string& command)
{
    command_result result;
    FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
    std::array<char, 4096> buffer{};
    while (true)
    {
        const std::size_t read = fread(buffer.data(), 1, buffer.size(), pipe);
        if (read == 0)
            break;
        result.output.append(buffer.data(), read);
    }
    result.exit_code = WEXITSTATUS(pclose(pipe));
    return result;
}

} // namespace

int find_free_ports(int count)
{
    // Blocks of ports, more than one session uses. A process keeps a block for
    // its life by listening on the first port: a port is free also while the
    // host that uses it has stopped.
    constexpr int first = 12000;
    constexpr int block_size = 500;
    constexpr int blocks = 36;
    static int block = -1;
    static int next = 0;
    for (int tries = 0; tries < blocks; ++tries)
    {
        if (block >= 0 && next + count > block_size)
            next = 1;
        for (; block >= 0 && next + count <= block_size; ++next)
        {
            const int base = first + block * block_size + next;
            bool all_free = true;
            for (int port = base; port < base + count; ++port)
                all_free = all_free && is_free(port);
            if (!all_free)
                continue;
            next += count;
            return base;
        }
        const int candidate = (getpid() + tries) % blocks;
        if (!reserve(first + candidate * block_size))
            continue;
        block = candidate;
        next = 1;
    }
    throw std::runtime_error("no free ports");
}

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& log_file)
{
    std::vector<char*> argv;
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&this->pid, argv[0], &actions, nullptr,
                                   argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("cannot start " + arguments.front());
}

child_process::~child_process()
{
    if (this->exit_code())
        return;
    this->signal(SIGKILL);
    this->signal(SIGCONT);
    waitpid(this->pid, nullptr, 0);
}

void child_process::signal(int number) const
{
    if (!this->exit_status)
        kill(this->pid, number);
}

std::optional<int> child_process::exit_code()
{
    int status = 0;
    if (!this->exit_status && waitpid(this->pid, &status, WNOHANG) == this->pid)
        this->exit_status =
            WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return this->exit_status;
}

int call::status() const
{
    return this->outcome && *this->outcome ? (*this->outcome)->status : 0;
}

json call::body() const
{
    if (!this->outcome || !*this->outcome)
        return json::object();
    json parsed = json::parse((*this->outcome)->body, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

process_fleet::process_fleet()
    : loop({.max_connections = 2000}), http({.loop = this->loop})
{
    std::string path = "/tmp/chicorydrum-test-XXXXXX";
    if (mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("cannot make a work directory");
    this->work_directory = path;
    const int base = find_free_ports(2 * host_count + 1 + endpoint_count);
    for (int i = 0; i < host_count; ++i)
    {
        this->host_ports.push_back(base + i);
        this->peer_ports.push_back(base + host_count + i);
    }
    this->platform_listen_port = base + 2 * host_count;
    this->endpoint_ports = this->platform_listen_port + 1;
    this->platform = std::make_unique<child_process>(
        std::vector<std::string>{binary("platform_standin"), "--port",
                                 std::to_string(this->platform_listen_port)},
        this->work_directory + "/platform.log");
    this->endpoints = std::make_unique<child_process>(
        std::vector<std::string>{binary("endpoint_standin"), "--port",
                                 std::to_string(this->endpoint_ports),
                                 "--count", std::to_string(endpoint_count)},
        this->work_directory + "/endpoints.log");
    this->wait_for(
        [this] {
            return this->get(this->platform_listen_port, "/hosts")->status() ==
                   200;
        });
    this->publish_hosts();
    for (int i = 0; i < host_count; ++i)
        this->start_host(i);
    this->roll_first_bundle();
    this->wait_until_ready();
}

process_fleet::~process_fleet()
{
    this->hosts.clear();
    this->endpoints.reset();
    this->platform.reset();
    const std::string command = "rm -rf " + this->work_directory;
    static_cast<void>(std::system(command.c_str()));
}

std::string process_fleet::settings_of(int host) const
{
    const auto line = [this](int i)
    {
        const auto index = static_cast<std::size_t>(i);
        return "{name: " + domains[index] +
               "-1, address: 127.0.0.1, peer_port: " +
               std::to_string(this->peer_ports[index]) +
               ", domain: " + domains[index] + "}";
    };
    const auto index = static_cast<std::size_t>(host);
    return "name: " + domains[index] + "-1\ndomain: " + domains[index] +
           "\naddress: 127.0.0.1\nhttp_port: " +
           std::to_string(this->host_ports[index]) +
           "\npeer_port: " + std::to_string(this->peer_ports[index]) +
           "\nplatform: {address: 127.0.0.1, port: " +
           std::to_string(this->platform_listen_port) +
           "}\nlistener: {receive_timeout: 1000, max_body: 1048576, "
           "max_connections: 64}\npeers: [" +
           line(0) + ", " + line(1) + ", " + line(2) + "]\n";
}

void process_fleet::start_host(int host)
{
    const std::string file =
        this->work_directory + "/host" + std::to_string(host) + ".yaml";
    std::ofstream(file) << this->settings_of(host);
    this->hosts[host] = std::make_unique<child_process>(
        std::vector<std::string>{binary("chicorydrumd"), "--settings", file},
        this->work_directory + "/host" + std::to_string(host) + ".log");
}

void process_fleet::publish_hosts()
{
    json endpoint_list = json::array();
    for (int i = 0; i < endpoint_count; ++i)
        endpoint_list.push_back(
            {{"name", "runner-" + std::to_string(i)},
             {"domain", domains[static_cast<std::size_t>(i / 2)]},
             {"address", "127.0.0.1"},
             {"port", this->endpoint_port(i)}});
    this->wait_for_answer(this->start(
        this->platform_listen_port, http_method::post, "/control/hosts",
        json{{"entry_hosts", json::array()}, {"endpoints", endpoint_list}}
            .dump()));
}

void process_fleet::roll_first_bundle()
{
    const std::string file = this->work_directory + "/bundle.yaml";
    std::ofstream(file)
        << "kinds:\n"
           "  - {name: quote, expected_run_time: 50}\n"
           "  - {name: tag, repeatable: false, expected_run_time: 50}\n"
           "teams:\n  - {name: desk}\n";
    this->wait_for(
        [this]
        { return this->get(this->http_port(0), "/healthz")->status() == 200; });
    const std::string prefix = "--host " + this->host_address(0) + " bundle ";
    const std::string proposed =
        this->run_cli(prefix + "propose " + file + " --operator asha").output;
    const std::string digest = proposed.substr(proposed.find(' ') + 1, 64);
    this->run_cli(prefix + "sign-off " + digest + " --operator bibek");
    this->run_cli(prefix + "roll " + digest + " --operator bibek");
}

void process_fleet::wait_until_ready()
{
    const bool is_ready = this->wait_for(
        [this]
        {
            for (int i = 0; i < host_count; ++i)
            {
                const json listed = this->get(this->http_port(i), "/v1/hosts")
                                        ->body()
                                        .value("hosts", json::array());
                int ready = 0;
                for (const json& host : listed)
                    ready += host.value("ready", false) ? 1 : 0;
                const json endpoint_list =
                    this->get(this->http_port(i), "/v1/endpoints")
                        ->body()
                        .value("endpoints", json::array());
                int usable = 0;
                for (const json& endpoint : endpoint_list)
                    usable += endpoint.value("usable", 0);
                if (ready != host_count || usable != 16)
                    return false;
            }
            return true;
        });
    if (!is_ready)
        throw std::runtime_error("the hosts did not become ready");
}

call_ptr process_fleet::start(int port, http_method method,
                              const std::string& path, const std::string& body,
                              std::chrono::milliseconds timeout)
{
    auto created = std::make_shared<call>();
    created->began = std::chrono::steady_clock::now();
    this->http.send(
        {.address = "127.0.0.1",
         .port = port,
         .method = method,
         .path = path,
         .headers = {},
         .body = body,
         .timeout = timeout},
        [created](transport::client_outcome outcome)
        {
            created->outcome = std::move(outcome);
            created->took =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - created->began);
        });
    return created;
}

call_ptr process_fleet::wait_for_answer(const call_ptr& started)
{
    this->loop.run_until([&started] { return started->is_done(); });
    return started;
}

bool process_fleet::wait_for(const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds limit(10);
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > until)
            return false;
        bool is_over = false;
        transport::timer pause =
            this->loop.make_timer([&is_over] { is_over = true; });
        pause.start(support::milliseconds(20));
        this->loop.run_until([&is_over] { return is_over; });
    }
    return true;
}

std::string process_fleet::new_id(int host, const std::string& key)
{
    const json body = this->get(this->http_port(host), "/v1/home")->body();
    return body.value("home", "") + "." + key;
}

std::map<std::string, int> process_fleet::starts()
{
    std::map<std::string, int> counts;
    for (int i = 0; i < endpoint_count; ++i)
    {
        const json body = this->get(this->endpoint_port(i), "/starts")->body();
        for (const json& start : body["starts"])
            ++counts[start.value("payload", "")];
    }
    return counts;
}

void process_fleet::set_platform_mode(const std::string& mode)
{
    this->wait_for_answer(this->start(this->platform_listen_port,
                                      http_method::post, "/control/mode",
                                      json{{"mode", mode}}.dump()));
}

void process_fleet::set_endpoint_mode(int endpoint, const std::string& mode)
{
    this->wait_for_answer(this->start(this->endpoint_port(endpoint),
                                      http_method::post, "/control/mode",
                                      json{{"mode", mode}}.dump()));
}

command_result process_fleet::run_cli(const std::string& arguments)
{
    return run_command(binary("chicorydrum") + " " + arguments);
}

std::string process_fleet::log_of(int host) const
{
    std::ifstream file(this->work_directory + "/host" + std::to_string(host) +
                       ".log");
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string process_fleet::symbolize(const std::string& backtrace)
{
    const std::regex frame(R"(/chicorydrumd\((\+0x[0-9a-f]+)\))");
    std::string command = "addr2line -Cfpi -e " + binary("chicorydrumd");
    for (std::sregex_iterator found(backtrace.begin(), backtrace.end(), frame);
         found != std::sregex_iterator(); ++found)
        command += " " + (*found)[1].str();
    return run_command(command).output;
}

std::string job_body(const std::string& kind, int tasks,
                     const std::string& payload, int deadline_ms)
{
    json list = json::array();
    for (int i = 0; i < tasks; ++i)
        list.push_back({{"payload", payload + " #" + std::to_string(i)}});
    return json{{"kind", kind},
                {"team", "desk"},
                {"caller", "counter-1"},
                {"deadline_ms", deadline_ms},
                {"tasks", list}}
        .dump();
}

std::string raw_exchange(int port, const std::string& bytes,
                         std::chrono::milliseconds timeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0)
    {
        close(descriptor);
        return "";
    }
    send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string received;
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < until)
    {
        pollfd waiting{.fd = descriptor, .events = POLLIN, .revents = 0};
        if (poll(&waiting, 1, 100) <= 0)
            continue;
        std::array<char, 4096> buffer{};
        const ssize_t read = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (read <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(read));
    }
    close(descriptor);
    return received;
}

} // namespace chicorydrum::process_test
