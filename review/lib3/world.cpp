#include "world.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace world
{

namespace
{

std::multimap<millis, std::function<void()>> timers;
std::map<int, std::function<void(short)>> watched;
std::map<int, short> wanted;
std::vector<entry_host*> hosts;
std::ofstream record_file;

std::string lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

int hex_digit(char c)
{
    return std::isdigit(static_cast<unsigned char>(c))
               ? c - '0'
               : std::tolower(c) - 'a' + 10;
}

std::string url_decode(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(hex_digit(text[i + 1]) * 16 +
                                     hex_digit(text[i + 2]));
            i += 2;
        }
        else
            out += text[i];
    return out;
}

const char base64_digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string base64(const std::string& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        const auto at = [&](std::size_t k) -> unsigned
        {
            return k < bytes.size() ? static_cast<unsigned char>(bytes[k]) : 0U;
        };
        const unsigned block = at(i) << 16U | at(i + 1) << 8U | at(i + 2);
        out += base64_digits[block >> 18U & 63U];
        out += base64_digits[block >> 12U & 63U];
        out += i + 1 < bytes.size() ? base64_digits[block >> 6U & 63U] : '=';
        out += i + 2 < bytes.size() ? base64_digits[block & 63U] : '=';
    }
    return out;
}

void set_nonblocking(int fd)
{
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
}

sockaddr_in address_of(const std::string& address, int port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, address.c_str(), &to.sin_addr) != 1)
        throw std::runtime_error("no address: " + address);
    return to;
}

void reset_socket(int fd)
{
    const linger at_once{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(fd);
}

const char* phrase(int status)
{
    return status == 200 ? "OK" : "Status";
}

} // namespace

millis now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - start)
        .count();
}

millis unix_now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void after(millis delay, std::function<void()> what)
{
    timers.emplace(now() + delay, std::move(what));
}

namespace
{

void step(millis until)
{
    millis wait = std::max<millis>(0, until - now());
    if (!timers.empty())
        wait = std::clamp<millis>(timers.begin()->first - now(), 0, wait);
    std::vector<pollfd> polled;
    for (const auto& [fd, events] : wanted)
        polled.push_back({fd, events, 0});
    ::poll(polled.data(), polled.size(),
           static_cast<int>(std::min<millis>(wait, 1000)));
    for (const pollfd& one : polled)
    {
        if (one.revents == 0)
            continue;
        const auto found = watched.find(one.fd);
        if (found == watched.end())
            continue;
        const auto handler = found->second;
        handler(one.revents);
    }
    while (!timers.empty() && timers.begin()->first <= now())
    {
        const auto what = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        what();
    }
}

} // namespace

void run_until(millis until)
{
    while (now() < until)
        step(until);
}

void run_for(millis span)
{
    run_until(now() + span);
}

bool run_until_true(const std::function<bool()>& holds, millis span)
{
    const millis until = now() + span;
    while (!holds())
    {
        if (now() >= until)
            return false;
        step(std::min(until, now() + 20));
    }
    return true;
}

void open_record(const std::string& path)
{
    record_file.open(path, std::ios::trunc);
}

void record(const std::string& line)
{
    if (!record_file.is_open())
        return;
    record_file << now() << " " << line << "\n";
    record_file.flush();
}

// Connections that carry HTTP requests.

struct connection : std::enable_shared_from_this<connection>
{
    int fd = -1;
    std::string in;
    std::string out;
    bool is_busy = false;
    std::weak_ptr<server> owner;

    void close(bool reset)
    {
        if (this->fd < 0)
            return;
        watched.erase(this->fd);
        wanted.erase(this->fd);
        if (reset)
            reset_socket(this->fd);
        else
            ::close(this->fd);
        this->fd = -1;
        if (const auto of = this->owner.lock())
            of->open.erase(this->shared_from_this());
    }
    void want()
    {
        if (this->fd >= 0)
            wanted[this->fd] =
                static_cast<short>(POLLIN | (this->out.empty() ? 0 : POLLOUT));
    }
    void flush()
    {
        while (this->fd >= 0 && !this->out.empty())
        {
            const ssize_t sent = ::send(this->fd, this->out.data(),
                                        this->out.size(), MSG_NOSIGNAL);
            if (sent < 0)
            {
                if (errno != EAGAIN)
                    this->close(false);
                break;
            }
            this->out.erase(0, static_cast<std::size_t>(sent));
        }
        this->want();
    }
    /// Returns false if the other side has closed.
    bool read()
    {
        char buffer[65536];
        while (true)
        {
            const ssize_t got = ::recv(this->fd, buffer, sizeof buffer, 0);
            if (got > 0)
            {
                this->in.append(buffer, static_cast<std::size_t>(got));
                continue;
            }
            return got < 0 && errno == EAGAIN;
        }
    }
};

namespace
{

/// Returns the length of a whole message in \p text, or 0.
std::size_t whole_message(const std::string& text, std::string& first_line,
                          std::map<std::string, std::string>& headers,
                          std::string& body)
{
    const std::size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    std::istringstream lines(text.substr(0, end));
    std::getline(lines, first_line);
    if (!first_line.empty() && first_line.back() == '\r')
        first_line.pop_back();
    std::string line;
    headers.clear();
    while (std::getline(lines, line))
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        headers[lower(line.substr(0, colon))] = line.substr(value);
    }
    std::size_t length = 0;
    if (headers.contains("content-length"))
        length = std::stoul(headers["content-length"]);
    if (text.size() < end + 4 + length)
        return 0;
    body = text.substr(end + 4, length);
    return end + 4 + length;
}

void serve(const std::shared_ptr<connection>& from);

void respond(const std::shared_ptr<connection>& to, int status,
             const std::string& body)
{
    if (to->fd < 0)
        return;
    to->out += "HTTP/1.1 " + std::to_string(status) + " " + phrase(status) +
               "\r\ncontent-type: application/json\r\ncontent-length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    to->is_busy = false;
    to->flush();
    serve(to);
}

void serve(const std::shared_ptr<connection>& from)
{
    if (from->is_busy || from->fd < 0)
        return;
    std::string first;
    request got;
    const std::size_t used =
        whole_message(from->in, first, got.headers, got.body);
    if (used == 0)
        return;
    from->in.erase(0, used);
    std::istringstream words(first);
    std::string target;
    words >> got.method >> target;
    const std::size_t mark = target.find('?');
    got.path = target.substr(0, mark);
    if (mark != std::string::npos)
    {
        std::istringstream parts(target.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&'))
        {
            const std::size_t equals = part.find('=');
            if (equals != std::string::npos)
                got.query[part.substr(0, equals)] =
                    url_decode(part.substr(equals + 1));
        }
    }
    from->is_busy = true;
    const auto of = from->owner.lock();
    if (!of)
        return;
    const auto done = std::make_shared<bool>(false);
    of->handle(got,
               [from, done](int status, const std::string& body)
               {
                   if (std::exchange(*done, true))
                       return;
                   respond(from, status, body);
               });
}

void accept_from(const std::shared_ptr<server>& of)
{
    while (true)
    {
        const int fd = ::accept(of->socket, nullptr, nullptr);
        if (fd < 0)
            return;
        set_nonblocking(fd);
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto made = std::make_shared<connection>();
        made->fd = fd;
        made->owner = of;
        of->open.insert(made);
        watched[fd] = [made](short events)
        {
            const auto server_of = made->owner.lock();
            if (server_of && server_of->is_silent)
                return;
            if ((events & POLLOUT) != 0)
                made->flush();
            if (made->fd < 0 || (events & (POLLIN | POLLHUP | POLLERR)) == 0)
                return;
            if (!made->read())
            {
                made->close(false);
                return;
            }
            serve(made);
        };
        made->want();
    }
}

} // namespace

void server::close()
{
    if (this->socket >= 0)
    {
        watched.erase(this->socket);
        wanted.erase(this->socket);
        ::close(this->socket);
        this->socket = -1;
    }
    const auto all = this->open;
    for (const auto& one : all)
        one->close(true);
}

std::shared_ptr<server>
listen_on(const std::string& address, int port,
          std::function<void(const request&, reply)> handle)
{
    const auto made = std::make_shared<server>();
    made->address = address;
    made->handle = std::move(handle);
    made->socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(made->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = address_of(address, port);
    if (bind(made->socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) !=
            0 ||
        ::listen(made->socket, 256) != 0)
        throw std::runtime_error("cannot listen on " + address);
    set_nonblocking(made->socket);
    sockaddr_in got{};
    socklen_t size = sizeof got;
    getsockname(made->socket, reinterpret_cast<sockaddr*>(&got), &size);
    made->port = ntohs(got.sin_port);
    watched[made->socket] = [weak = std::weak_ptr<server>(made)](short)
    {
        if (const auto strong = weak.lock())
            if (!strong->is_silent)
                accept_from(strong);
    };
    wanted[made->socket] = POLLIN;
    return made;
}

void call(const call_options& options, std::function<void(const answer&)> done)
{
    const auto made = std::make_shared<connection>();
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [made, finished, done](const answer& got)
    {
        if (std::exchange(*finished, true))
            return;
        made->close(true);
        done(got);
    };
    made->fd = ::socket(AF_INET, SOCK_STREAM, 0);
    set_nonblocking(made->fd);
    const int on = 1;
    setsockopt(made->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in to = address_of(options.address, options.port);
    if (connect(made->fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) !=
            0 &&
        errno != EINPROGRESS)
    {
        after(0, [finish] { finish({}); });
        return;
    }
    made->out = options.method + " " + options.path + " HTTP/1.1\r\nHost: " +
                (options.host.empty() ? options.address : options.host) +
                "\r\n";
    for (const auto& [name, value] : options.headers)
        made->out += name + ": " + value + "\r\n";
    if (options.method == "POST")
        made->out += "Content-Type: application/json\r\nContent-Length: " +
                     std::to_string(options.body.size()) + "\r\n";
    made->out += "\r\n" + options.body + options.behind;
    const auto missing = std::make_shared<int>(options.answers);
    watched[made->fd] = [made, finish, missing](short events)
    {
        if ((events & POLLOUT) != 0)
            made->flush();
        if (made->fd < 0)
        {
            finish({});
            return;
        }
        if ((events & (POLLIN | POLLHUP | POLLERR)) == 0)
            return;
        const bool is_open = made->read();
        std::string first;
        answer got;
        std::size_t used = 0;
        while ((used = whole_message(made->in, first, got.headers, got.body)) >
               0)
        {
            made->in.erase(0, used);
            std::istringstream words(first);
            std::string version;
            words >> version >> got.status;
            if (--*missing > 0)
                continue;
            finish(got);
            return;
        }
        if (!is_open)
            finish({});
    };
    made->want();
    after(options.timeout, [finish] { finish({}); });
}

int free_port(const std::vector<std::string>& addresses)
{
    for (int tries = 0; tries < 200; ++tries)
    {
        const int port = 20000 + (getpid() * 37 + tries * 911 +
                                  static_cast<int>(unix_now() % 7919)) %
                                     12000;
        bool is_free = true;
        for (const std::string& address : addresses)
        {
            const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in at = address_of(address, port);
            is_free =
                is_free && bind(fd, reinterpret_cast<const sockaddr*>(&at),
                                sizeof at) == 0;
            ::close(fd);
        }
        if (is_free)
            return port;
    }
    throw std::runtime_error("no free port");
}

// The store.

store::store(const std::string& address, std::int64_t first_version)
    : last(first_version)
{
    this->http = listen_on(address, 0,
                           [this](const request& got, const reply& to)
                           {
                               if (this->interfere && this->interfere(got, to))
                                   return;
                               this->handle(got, to);
                           });
}

std::string store::address() const
{
    return this->http->address + ":" + std::to_string(this->http->port);
}

std::int64_t store::put(const std::string& table, const std::string& key,
                        const json& value)
{
    this->tables[table][{"", key}] = {base64(value.dump()), ++this->last,
                                      false};
    this->wake();
    return this->last;
}

void store::remove(const std::string& table, const std::string& key)
{
    auto& rows = this->tables[table];
    const auto found = rows.find({"", key});
    if (found == rows.end() || found->second.is_tombstone)
        return;
    found->second = {"", ++this->last, true};
    this->wake();
}

void store::handle(const request& got, const reply& to)
{
    if (got.path == "/v1/rows-tx")
        after(6, [this, got, to] { this->transact(got, to); });
    else if (got.path == "/v1/rows-get")
        after(4, [this, got, to] { this->get(got, to); });
    else if (got.path == "/v1/rows-feed")
        this->feed(got, to);
    else
        to(404, "{}");
}

void store::transact(const request& got, const reply& to)
{
    const json body = json::parse(got.body, nullptr, false);
    if (!body.is_object())
        return to(400, "{}");
    const auto list = [&body](const char* name)
    {
        return body.contains(name) ? body[name] : json::array();
    };
    const auto key_of = [](const json& row)
    {
        return std::pair(row.value("part", std::string()),
                         row.value("key", std::string()));
    };
    bool holds = true;
    json current = json::array();
    for (const json& row : list("expect"))
    {
        const auto& rows = this->tables[row.value("table", std::string())];
        const auto found = rows.find(key_of(row));
        const bool is_there =
            found != rows.end() && !found->second.is_tombstone;
        holds = holds && row.value("ver", std::int64_t{0}) ==
                             (is_there ? found->second.ver : 0);
        if (is_there)
            current.push_back({{"table", row["table"]},
                               {"part", row.value("part", std::string())},
                               {"key", row["key"]},
                               {"value", found->second.value},
                               {"ver", found->second.ver}});
    }
    if (!holds)
        return to(
            412, json{{"rows", current}, {"ver", this->last}, {"now_ms", now()}}
                     .dump());
    ++this->last;
    for (const json& row : list("set_keys"))
        this->tables[row.value("table", std::string())][key_of(row)] = {
            row.value("value", std::string()), this->last, false};
    for (const json& row : list("remove"))
    {
        auto& rows = this->tables[row.value("table", std::string())];
        if (rows.contains(key_of(row)))
            rows[key_of(row)] = {"", this->last, true};
    }
    to(200, json{{"ver", this->last}, {"now_ms", now()}}.dump());
    this->wake();
}

void store::get(const request& got, const reply& to)
{
    const auto word = [&got](const char* name)
    {
        const auto found = got.query.find(name);
        return found == got.query.end() ? std::string() : found->second;
    };
    const std::string table = word("table");
    const std::string part = word("part");
    const std::string from = word("from");
    json rows = json::array();
    bool has_more = false;
    for (const auto& [key, row] : this->tables[table])
    {
        if (key.first != part || row.is_tombstone || key.second < from)
            continue;
        if (rows.size() >= 500)
        {
            has_more = true;
            break;
        }
        rows.push_back({{"table", table},
                        {"part", part},
                        {"key", key.second},
                        {"value", row.value},
                        {"ver", row.ver}});
    }
    to(200, json{{"rows", rows},
                 {"has_more", has_more},
                 {"ver", this->last},
                 {"now_ms", now()}}
                .dump());
}

bool store::answer_feed(const std::string& table, std::int64_t after_version,
                        const reply& to, bool even_empty)
{
    std::vector<std::pair<std::int64_t, json>> changed;
    for (const auto& [key, row] : this->tables[table])
    {
        if (row.ver <= after_version)
            continue;
        json one{{"table", table},
                 {"part", key.first},
                 {"key", key.second},
                 {"ver", row.ver}};
        if (row.is_tombstone)
            one["tombstone"] = true;
        else
            one["value"] = row.value;
        changed.emplace_back(row.ver, std::move(one));
    }
    if (changed.empty() && !even_empty)
        return false;
    std::sort(changed.begin(), changed.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    json rows = json::array();
    for (auto& [ver, row] : changed)
        rows.push_back(std::move(row));
    to(200,
       json{{"rows", rows}, {"ver", this->last}, {"now_ms", now()}}.dump());
    return true;
}

void store::feed(const request& got, const reply& to)
{
    const std::string table = got.query.at("table");
    const std::int64_t after_version = std::stoll(got.query.at("after"));
    const millis wait =
        got.query.contains("wait_ms") ? std::stoll(got.query.at("wait_ms")) : 0;
    if (this->answer_feed(table, after_version, to, wait == 0))
        return;
    const auto made = std::make_shared<waiting>();
    *made = {table, after_version, to, now() + wait, false};
    this->feeds.push_back(made);
    after(wait,
          [this, made]
          {
              if (!std::exchange(made->done, true))
                  this->answer_feed(made->table, made->after, made->to, true);
          });
}

void store::wake()
{
    for (const auto& one : this->feeds)
        if (!one->done &&
            this->answer_feed(one->table, one->after, one->to, false))
            one->done = true;
    std::erase_if(this->feeds, [](const auto& one) { return one->done; });
}

// Runners.

runner::runner(runner_options opts, store& of)
    : options(std::move(opts)), platform(of)
{
    this->restart();
}

std::string runner::address() const
{
    return this->options.address + ":" + std::to_string(this->port);
}

millis runner::clock() const
{
    return static_cast<millis>(static_cast<double>(now() - this->clock_from) *
                               this->options.clock_rate);
}

void runner::restart()
{
    this->http = listen_on(this->options.address, this->port,
                           [this](const request& got, const reply& to)
                           { this->handle(got, to); });
    this->port = this->http->port;
    this->up = true;
    this->draining = false;
    ++this->life;
    this->born = unix_now();
    this->clock_from = now() - 1000;
    this->seq = this->fence = this->lease = this->last_end = 0;
    this->runs.clear();
    this->highest_run.clear();
    this->ended.clear();
    this->waiting.clear();
    this->beat(this->life);
}

void runner::beat(int of_life)
{
    if (!this->up || this->life != of_life)
        return;
    this->register_now();
    after(this->options.heartbeat, [this, of_life] { this->beat(of_life); });
}

void runner::register_now()
{
    this->platform.put("servers", this->options.id,
                       {{"service", this->options.service},
                        {"addr", this->address()},
                        {"zone", this->options.zone},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", this->draining ? "draining" : "ready"},
                        {"cold_left_ms", 0},
                        {"capacity",
                         {{"cpu", this->options.cpu},
                          {"mem_mb", this->options.mem_mb},
                          {"gpu", 0}}},
                        {"labels", {this->options.kind, this->options.rack}},
                        {"clock_ms", this->clock()},
                        {"born", this->born},
                        {"seq", ++this->seq}});
}

void runner::crash()
{
    if (!this->up)
        return;
    this->up = false;
    for (const auto& [task, run] : this->runs)
        if (this->on_end)
            this->on_end(run, "crashed");
    this->runs.clear();
    this->http->close();
    const int of_life = this->life;
    after(3 * this->options.heartbeat,
          [this, of_life]
          {
              if (this->life == of_life)
                  this->platform.remove("servers", this->options.id);
          });
}

void runner::drain()
{
    this->draining = true;
    this->register_now();
}

void runner::handle(const request& got, const reply& to)
{
    if (got.headers.contains("expect-instance") &&
        got.headers.at("expect-instance") != this->options.id)
        return to(421, "{}");
    const int of_life = this->life;
    const auto execute = [this, got, to, of_life]
    {
        if (this->up && this->life == of_life)
            this->carry_out(got, to);
    };
    if (this->interfere && this->interfere(got, to, execute))
        return;
    this->carry_out(got, to);
}

std::string runner::clock_body(const std::string& reason) const
{
    json body{{"clock_ms", this->clock()}, {"born", this->born}};
    if (!reason.empty())
        body["reason"] = reason;
    return body.dump();
}

void runner::carry_out(const request& got, const reply& to)
{
    if (got.method == "GET")
        return to(this->draining ? 503 : 200, "{}");
    const json body = json::parse(got.body, nullptr, false);
    if (!body.is_object())
        return to(400, this->clock_body());
    const std::int64_t token = body.value("fence", std::int64_t{0});
    if (token < this->fence)
        return to(409, this->clock_body("fence"));
    this->fence = token;
    if (got.path == "/v1/run-start")
        this->start(body, to);
    else if (got.path == "/v1/run-stop")
        this->stop(body, to);
    else if (got.path == "/v1/hold")
        this->hold(body, to);
    else
        to(404, "{}");
}

void runner::extend(const json& body)
{
    if (!body.contains("deadline_ms"))
        return;
    const millis asked = body["deadline_ms"].get<millis>();
    this->lease = std::max(
        this->lease, std::min(asked, this->clock() + this->options.hold_max));
    const auto left =
        static_cast<millis>(static_cast<double>(this->lease - this->clock()) /
                            this->options.clock_rate);
    after(std::max<millis>(0, left) + 3,
          [this, of_life = this->life]
          {
              if (this->up && this->life == of_life)
                  this->check_lease();
          });
}

void runner::check_lease()
{
    if (this->clock() < this->lease)
        return;
    std::vector<std::pair<std::string, std::int64_t>> all;
    for (const auto& [task, run] : this->runs)
        all.emplace_back(task, run.run);
    for (const auto& [task, run] : all)
        this->finish(task, run, "lapsed");
}

void runner::start(const json& body, const reply& to)
{
    const std::string task = body["task"];
    const std::int64_t number = body["run"];
    const auto there = this->runs.find(task);
    if (there != this->runs.end() && there->second.run == number)
    {
        this->extend(body);
        return to(200, this->clock_body());
    }
    if (number <= this->highest_run[task])
    {
        this->extend(body);
        return to(409, this->clock_body("old"));
    }
    if (body["deadline_ms"].get<millis>() <= this->clock())
        return to(409, this->clock_body("late"));
    this->extend(body);
    this->highest_run[task] = number;
    task_run made;
    made.task = task;
    made.run = number;
    made.fence = this->fence;
    made.spec = body.value("spec", std::string());
    made.started = now();
    const millis span =
        this->duration ? this->duration(made) : this->options.task_ms;
    made.ends = now() + span;
    this->runs[task] = made;
    if (this->on_start)
        this->on_start(made);
    after(span,
          [this, task, number, of_life = this->life]
          {
              if (!this->up || this->life != of_life)
                  return;
              const auto found = this->runs.find(task);
              if (found == this->runs.end() || found->second.run != number ||
                  found->second.is_stopping)
                  return;
              this->finish(task, number,
                           this->outcome ? this->outcome(found->second)
                                         : "done");
          });
    to(200, this->clock_body());
}

void runner::stop(const json& body, const reply& to)
{
    const std::string task = body["task"];
    const std::int64_t number = body["run"];
    const auto found = this->runs.find(task);
    this->highest_run[task] = std::max(this->highest_run[task], number);
    if (found != this->runs.end() && found->second.run == number &&
        !found->second.is_stopping)
    {
        found->second.is_stopping = true;
        after(30,
              [this, task, number, of_life = this->life]
              {
                  if (this->up && this->life == of_life)
                      this->finish(task, number, "stopped");
              });
    }
    to(200, this->clock_body());
}

void runner::finish(const std::string& task, std::int64_t number,
                    const std::string& how)
{
    const auto found = this->runs.find(task);
    if (found == this->runs.end() || found->second.run != number)
        return;
    const task_run run = found->second;
    this->runs.erase(found);
    this->ended.push_back(
        json::array({++this->last_end, task, number, how, ""}));
    if (this->on_end)
        this->on_end(run, how);
    this->wake();
}

std::string runner::lists() const
{
    json running = json::array();
    for (const auto& [task, run] : this->runs)
    {
        const double part =
            run.ends > run.started
                ? 100.0 * static_cast<double>(now() - run.started) /
                      static_cast<double>(run.ends - run.started)
                : 100.0;
        if (!run.is_stopping)
            running.push_back(
                json::array({task, run.run, "",
                             static_cast<int>(std::min(part, 100.0)), 100}));
    }
    json ends = json::array();
    for (const json& one : this->ended)
        if (ends.size() < 500)
            ends.push_back(one);
    return json{{"clock_ms", this->clock()},
                {"born", this->born},
                {"running", running},
                {"ended", ends}}
        .dump();
}

void runner::hold(const json& body, const reply& to)
{
    const std::int64_t cursor = body.value("ack_cursor", std::int64_t{0});
    std::erase_if(this->ended, [cursor](const json& one)
                  { return one[0].get<std::int64_t>() <= cursor; });
    this->extend(body);
    const millis wait = body.value("wait_ms", millis{0});
    if (wait == 0 || !this->ended.empty())
        return to(200, this->lists());
    const auto done = std::make_shared<bool>(false);
    this->waiting.emplace_back(to, done);
    after(wait,
          [this, to, done, of_life = this->life]
          {
              if (!std::exchange(*done, true) && this->up &&
                  this->life == of_life)
                  to(200, this->lists());
          });
}

void runner::wake()
{
    const auto all = std::exchange(this->waiting, {});
    for (const auto& [to, done] : all)
        if (!std::exchange(*done, true))
            to(200, this->lists());
}

// The system's processes.

const std::string& scratch()
{
    static const std::string made = []
    {
        std::string pattern =
            (std::getenv("TMPDIR") ? std::string(std::getenv("TMPDIR"))
                                   : std::string("/tmp")) +
            "/chicorydrum-review-XXXXXX";
        if (mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        return pattern;
    }();
    return made;
}

bool without_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value != nullptr && std::string(value) == "0";
}

entry_host::entry_host(host_options opts, std::string in)
    : options(std::move(opts)), folder(std::move(in))
{
    hosts.push_back(this);
}

entry_host::~entry_host()
{
    this->kill();
    std::erase(hosts, this);
}

void entry_host::start()
{
    std::ifstream file("deploy/settings.yaml");
    std::stringstream all;
    all << file.rdbuf();
    std::string text = all.str();
    const std::map<std::string, std::string> fields = {
        {"node", this->options.name},
        {"zone", this->options.zone},
        {"ip", this->options.address},
        {"listen.front",
         this->options.address + ":" + std::to_string(this->options.front)},
        {"listen.ready",
         this->options.address + ":" + std::to_string(this->options.ready)},
        {"port_range.0", std::to_string(this->options.peer_port)},
        {"platform.addr", this->options.store},
        {"bounds.hold_max_ms", "1000"},
        {"bounds.grace_s", "6"},
        {"bounds.far_x", "2"},
        {"limits.cpu_share", std::to_string(this->options.cpu_share)},
        {"limits.max_fds", std::to_string(this->options.max_fds)}};
    for (const auto& [name, value] : fields)
    {
        const std::string mark = "{{" + name + "}}";
        for (std::size_t at = text.find(mark); at != std::string::npos;
             at = text.find(mark))
            text.replace(at, mark.size(), value);
    }
    const std::string path = this->folder + "/" + this->options.name + ".yaml";
    std::ofstream(path) << text;
    const std::string log = this->folder + "/" + this->options.name + ".log";
    const pid_t parent = getpid();
    const pid_t made = fork();
    if (made == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
        setenv("CHICORYDRUM_BOOT", path.c_str(), 1);
        setenv("CHICORYDRUM_LINK_RATE",
               std::to_string(this->options.link_mbps).c_str(), 1);
        execl("target/bin/chicorydrumd", "target/bin/chicorydrumd", "entry",
              "--settings-from", "CHICORYDRUM_BOOT", "--link-rate-from",
              "CHICORYDRUM_LINK_RATE", nullptr);
        _exit(127);
    }
    this->process = made;
    this->was_killed = false;
    record("start " + this->options.name);
}

void entry_host::signal(int number)
{
    if (this->process > 0)
        ::kill(this->process, number);
    record("signal " + std::to_string(number) + " " + this->options.name);
}

void entry_host::kill()
{
    if (this->process <= 0)
        return;
    ::kill(this->process, SIGKILL);
    int status = 0;
    waitpid(this->process, &status, 0);
    this->process = -1;
    this->was_killed = true;
    record("killed " + this->options.name);
}

bool entry_host::is_running()
{
    if (this->process <= 0)
        return false;
    int status = 0;
    if (waitpid(this->process, &status, WNOHANG) != this->process)
        return true;
    record("ended by itself " + this->options.name + " status " +
           std::to_string(status));
    ++this->exits_by_itself;
    this->process = -1;
    return false;
}

bool entry_host::wait_exit(millis span)
{
    return run_until_true([this] { return !this->is_running(); }, span);
}

millis entry_host::cpu_ms() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    const std::size_t name_end = text.rfind(')');
    if (name_end == std::string::npos)
        return 0;
    std::istringstream words(text.substr(name_end + 2));
    std::string word;
    millis ticks = 0;
    for (int i = 0; words >> word && i < 13; ++i)
        if (i == 11 || i == 12)
            ticks += std::stoll(word);
    return ticks * 1000 / sysconf(_SC_CLK_TCK);
}

void leave(int status)
{
    for (entry_host* const one : hosts)
        one->kill();
    record("result " + std::to_string(status));
    if (std::getenv("KEEP_SCRATCH") == nullptr)
    {
        const std::string folder = scratch();
        for (entry_host* const one : hosts)
            for (const char* const end : {".yaml", ".log"})
                ::unlink((folder + "/" + one->options.name + end).c_str());
        ::rmdir(folder.c_str());
    }
    else
        std::printf("%s\n", scratch().c_str());
    std::fflush(nullptr);
    _exit(status);
}

} // namespace world
