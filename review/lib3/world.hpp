// Stand-ins for the platform's store, the runners and the clients, written from
// the users' pages, and the control of the system's own processes. One thread,
// one poll loop. Everything listens on loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace world
{

using nlohmann::json;
using millis = std::int64_t;

/// Milliseconds of the steady clock since the program started.
millis now();
/// Unix milliseconds.
millis unix_now();

// The loop.

void after(millis delay, std::function<void()> what);
/// Runs the loop until \p until (by now()), or until stop() is called.
void run_until(millis until);
void run_for(millis span);
/// Runs the loop until \p holds; returns whether it did within \p span.
bool run_until_true(const std::function<bool()>& holds, millis span);

// What happened, for record.txt.

void record(const std::string& line);
void open_record(const std::string& path);

// HTTP.

struct connection;

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Answers one request; may be kept and used later, or never.
using reply = std::function<void(int status, const std::string& body)>;

struct server
{
    int socket = -1;
    int port = 0;
    std::string address;
    std::set<std::shared_ptr<connection>> open;
    std::function<void(const request&, reply)> handle;
    /// While set, new connections are not accepted and nothing is read.
    bool is_silent = false;

    /// Closes the listener and resets all connections.
    void close();
};

/// Listens on \p address; port 0 takes a free one.
std::shared_ptr<server> listen_on(const std::string& address, int port,
                                  std::function<void(const request&, reply)>);

struct answer
{
    /// 0 if there was no complete answer.
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
};

struct call_options
{
    std::string address;
    int port = 0;
    std::string method = "GET";
    std::string path;
    std::string host;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    millis timeout = 5000;
    /// Bytes that are sent behind the request at once, such as a second one.
    std::string behind = {};
    /// The channel is closed, and the last answer reported, after this many.
    int answers = 1;
};

/// Sends one request on a channel of its own. \p done is called once.
void call(const call_options&, std::function<void(const answer&)> done);

/// Returns a port that is free on all of \p addresses.
int free_port(const std::vector<std::string>& addresses);

// The platform's store.

struct stored_row
{
    std::string value;
    std::int64_t ver = 0;
    bool is_tombstone = false;
};

class store
{
public:
    store(const std::string& address, std::int64_t first_version);

    std::string address() const;
    /// Writes a row as the operator or a runner does.
    std::int64_t put(const std::string& table, const std::string& key,
                     const json& value);
    void remove(const std::string& table, const std::string& key);
    std::int64_t version() const
    {
        return this->last;
    }
    /// Called for each request before it is handled; a true result drops it.
    std::function<bool(const request&, const reply&)> interfere;

private:
    struct waiting
    {
        std::string table;
        std::int64_t after = 0;
        reply to;
        millis until = 0;
        bool done = false;
    };
    void handle(const request&, const reply&);
    void transact(const request&, const reply&);
    void get(const request&, const reply&);
    void feed(const request&, const reply&);
    bool answer_feed(const std::string& table, std::int64_t after, const reply&,
                     bool even_empty);
    void wake();

    std::shared_ptr<server> http;
    std::int64_t last = 0;
    /// By table, part and key.
    std::map<std::string,
             std::map<std::pair<std::string, std::string>, stored_row>>
        tables;
    std::vector<std::shared_ptr<waiting>> feeds;
};

// Runners.

struct runner_options
{
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    std::string kind = "a";
    std::string rack = "r1-1";
    int cpu = 16000;
    int mem_mb = 65536;
    millis heartbeat = 1500;
    millis hold_max = 1000;
    /// The speed of its steady clock, which may be 2% slow.
    double clock_rate = 1;
    /// How long a task of a job runs here; by default its name says nothing
    /// and all take this long.
    millis task_ms = 500;
};

struct task_run
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t fence = 0;
    std::string spec;
    millis started = 0;
    millis ends = 0;
    bool is_stopping = false;
};

class runner
{
public:
    runner(runner_options, store&);

    runner_options options;
    /// Says what is answered to a request instead of handling it, if anything:
    /// return true if the request is taken.
    std::function<bool(const request&, const reply&, std::function<void()>)>
        interfere;
    /// Called at the start and the end of each run.
    std::function<void(const task_run&)> on_start;
    std::function<void(const task_run&, const std::string& how)> on_end;
    /// How long a run of \p task lasts, and whether it ends as done.
    std::function<millis(const task_run&)> duration;
    std::function<std::string(const task_run&)> outcome;

    /// A crash: connections are reset, and nothing runs any more. The entry
    /// stays in the store until it has expired.
    void crash();
    /// Starts again under the same id, as another lifetime.
    void restart();
    void drain();
    bool is_up() const
    {
        return this->up;
    }
    const std::map<std::string, task_run>& running() const
    {
        return this->runs;
    }
    std::string address() const;
    std::int64_t highest_fence() const
    {
        return this->fence;
    }

private:
    void handle(const request&, const reply&);
    void carry_out(const request&, const reply&);
    void start(const json&, const reply&);
    void stop(const json&, const reply&);
    void hold(const json&, const reply&);
    std::string lists() const;
    std::string clock_body(const std::string& reason = "") const;
    millis clock() const;
    void extend(const json&);
    void check_lease();
    void finish(const std::string& task, std::int64_t run,
                const std::string& how);
    void register_now();
    void beat(int life);
    void wake();

    store& platform;
    std::shared_ptr<server> http;
    int port = 0;
    bool up = false;
    bool draining = false;
    int life = 0;
    millis born = 0;
    millis clock_from = 0;
    std::int64_t seq = 0;
    std::int64_t fence = 0;
    millis lease = 0;
    std::int64_t last_end = 0;
    std::map<std::string, task_run> runs;
    std::map<std::string, std::int64_t> highest_run;
    std::vector<json> ended;
    std::vector<std::pair<reply, std::shared_ptr<bool>>> waiting;
};

// The system's processes.

struct host_options
{
    std::string name;
    std::string zone;
    std::string address;
    int front = 0;
    int ready = 0;
    int peer_port = 0;
    double cpu_share = 0.25;
    int link_mbps = 1000;
    int max_fds = 4100;
    std::string store;
};

class entry_host
{
public:
    entry_host(host_options, std::string folder);
    ~entry_host();

    host_options options;
    void start();
    void signal(int number);
    /// Kills the process and waits for its end.
    void kill();
    bool is_running();
    /// Waits until the process has ended by itself.
    bool wait_exit(millis span);
    int pid() const
    {
        return this->process;
    }
    int exits_by_itself = 0;
    bool was_killed = false;
    /// The rate of processor time of the process, in ms, so far.
    millis cpu_ms() const;

private:
    std::string folder;
    int process = -1;
};

/// A temporary folder that is removed at the end.
const std::string& scratch();
/// Whether the disruption is left out.
bool without_trouble();
/// Ends all processes and exits.
[[noreturn]] void leave(int status);

} // namespace world
