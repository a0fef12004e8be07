#include "fault_session.hpp"

#include "chicorydrum/support/base64.hpp"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <utility>

#include <nlohmann/json.hpp>
#include <sys/stat.h>

namespace chicorydrum::faults
{

namespace
{

using nlohmann::json;
using shard::order_status;
using support::milliseconds;
using transport::http_response;

/// Callers, readiness, peers, metrics and the proxies before the store and the
/// callers' port.
constexpr int ports_per_host = 6;
constexpr milliseconds pump_interval{2};
constexpr milliseconds load_span{9000};
constexpr milliseconds fault_span{7000};
constexpr milliseconds resend_delay{1300};
constexpr int max_attempts = 3;
/// Recovery time after all faults have ended: a third of twelve seconds,
/// doubled for a busy machine.
constexpr milliseconds recovery_limit{8000};
/// The longest drain time of the sites: an endpoint that leaves must get no new
/// work after it.
constexpr milliseconds drain_limit{3000};
/// Delays of this process are kept as long as the disturbances that excuse a
/// host.
constexpr milliseconds contact_span{4000};
/// Endpoints write their entries as often as on the sites.
constexpr milliseconds report_interval{1500};
/// Their reports are spread over the interval.
constexpr int report_phases = 15;
/// How long the store keeps its history on the sites.
constexpr milliseconds history_span{20000};

/// Parses JOB.0.GROUP.INDEX; job ids here have no dots.
shard::task_key task_of(const std::string& name)
{
    const std::size_t job_end = name.find('.');
    const std::size_t index_dot = name.rfind('.');
    const std::size_t group_dot = name.rfind('.', index_dot - 1);
    return {.job = name.substr(0, job_end),
            .group = std::stoi(name.substr(group_dot + 1)),
            .index = std::stoi(name.substr(index_dot + 1))};
}

std::string name_of(const shard::task_key& task)
{
    return task.job + ".0." + std::to_string(task.group) + "." +
           std::to_string(task.index);
}

std::string query_value(const std::string& path, const std::string& name)
{
    const std::size_t found = path.find(name + "=");
    if (found == std::string::npos)
        return {};
    const std::size_t begin = found + name.size() + 1;
    return path.substr(begin, path.find('&', begin) - begin);
}

http_response json_response(int status, const json& body)
{
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

template <typename Row>
json row_document(const std::string& table, const std::string& key,
                  const Row& row)
{
    json document{{"table", table},
                  {"part", row.part},
                  {"key", row.part.empty() ? key : row.key},
                  {"ver", row.version}};
    if (row.is_removed)
        document["tombstone"] = true;
    else
        document["value"] = row.value;
    return document;
}

template <typename Rows>
json whole_table(const Rows& rows, const std::string& table)
{
    json found = json::array();
    for (const auto& [key, row] : rows)
        if (!row.is_removed)
            found.push_back(row_document(table, key, row));
    return found;
}

http_response response_of(const shard::order_answered& answer)
{
    switch (answer.status)
    {
    case order_status::stale_token:
        return json_response(
            409, {{"clock_ms", *answer.clock_ms}, {"reason", "fence"}});
    case order_status::stale_run:
        return json_response(
            409, {{"clock_ms", *answer.clock_ms}, {"reason", "old"}});
    case order_status::expired:
        return json_response(
            409, {{"clock_ms", *answer.clock_ms}, {"reason", "late"}});
    default:
        return json_response(200, {{"clock_ms", *answer.clock_ms}});
    }
}

http_response response_of(const shard::runs_listed& list)
{
    if (list.status != order_status::accepted)
        return json_response(
            409, {{"clock_ms", *list.clock_ms}, {"reason", "fence"}});
    json running = json::array();
    for (const shard::listed_run& one : list.running)
        running.push_back({name_of(one.task), one.run, "", one.percent});
    json ended = json::array();
    for (const shard::listed_end& one : list.ended)
        ended.push_back({one.number, name_of(one.task), one.run,
                         std::string(shard::name_of(one.how)), ""});
    return json_response(200, {{"clock_ms", *list.clock_ms},
                               {"born", list.born_ms},
                               {"running", running},
                               {"ended", ended}});
}

} // namespace

fault_session::fault_session(std::uint64_t session_seed,
                             session_shape wanted_shape)
    : seed(session_seed), shape(wanted_shape),
      random(
          static_cast<std::minstd_rand::result_type>(session_seed * 7919 + 3)),
      loop({.max_connections = 4000}), began(transport::event_loop::now()),
      last_pump(this->began), pump(this->loop.make_timer([] {})),
      calls({.loop = this->loop})
{
    std::string path = "/tmp/chicorydrum-faults-XXXXXX";
    if (::mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("cannot make a work directory");
    this->work_directory = path;
    if (this->shape.loses_power)
        this->journal.open(path + "/session.log");
    this->queue.run_until(support::instant(support::seconds(1)));
    this->store_calm_since = this->queue.now();
    // The links of hosts that may lose their power have addresses of their own.
    const int ports_per_endpoint = this->shape.ports_per_endpoint();
    const int ports_per_domain =
        this->shape.hosts_per_domain * ports_per_host +
        ports_per_endpoint * (this->shape.endpoints_per_domain +
                              this->shape.later_endpoints_per_domain);
    const int base = process_test::find_free_ports(1 + this->shape.domains *
                                                           ports_per_domain);
    this->store =
        std::make_unique<transport::http_server>(transport::http_server_options{
            .loop = this->loop,
            .address = "127.0.0.1",
            .port = base,
            .on_request = [this](transport::exchange_id id,
                                 const transport::http_request& request)
            { this->serve_store(id, request); },
            .on_rejected =
                [](transport::rejection)
            {
                return http_response{.status = 400};
            }});
    this->store_port = base;
    this->put_config();
    int port = base + 1;
    for (int domain = 1; domain <= this->shape.domains; ++domain)
    {
        const std::string domain_name = "d" + std::to_string(domain);
        for (int i = 0; i < this->shape.endpoints_per_domain; ++i)
        {
            this->add_endpoint("i-" + std::to_string(this->endpoints.size()),
                               domain_name, port);
            port += ports_per_endpoint;
        }
        this->next_endpoint_port[domain_name] = port;
        port += ports_per_endpoint * this->shape.later_endpoints_per_domain;
        for (int i = 0; i < this->shape.hosts_per_domain; ++i)
        {
            this->add_host("h" + std::to_string(this->hosts.size()),
                           domain_name, port);
            port += ports_per_host;
        }
    }
    // The store has run for long: its history does not reach back to the first
    // rows.
    this->history_from = this->store_version;
    this->pump = this->loop.make_timer(
        [this]
        {
            const support::instant now = transport::event_loop::now();
            constexpr milliseconds noted_delay{25};
            if (now - this->last_pump > noted_delay)
            {
                const milliseconds delay(
                    support::whole_ms(now - this->last_pump));
                this->note("session late by ms " +
                           std::to_string(delay.count()));
                const bool was_long_ago = now - this->late_at > contact_span;
                this->late_by =
                    was_long_ago ? delay : std::max(this->late_by, delay);
                this->late_at = now;
            }
            this->last_pump = now;
            this->advance_time();
            std::vector<tcp_proxy*> all;
            for (const auto& one : this->proxies)
                all.push_back(one.get());
            tcp_proxy::poll_all(all, now);
            this->pump.start(pump_interval);
        });
    this->pump.start(pump_interval);
}

void fault_session::add_endpoint(const std::string& id,
                                 const std::string& domain, int port)
{
    auto created = std::make_unique<endpoint_server>();
    endpoint_server& server = *created;
    shards::virtual_endpoint_options wanted;
    wanted.entry.id = id;
    wanted.entry.pool = "workers";
    wanted.entry.address = "127.0.0.1";
    const int proxy_port = this->shape.loses_power ? port : port + 1;
    wanted.entry.port = proxy_port;
    wanted.entry.domain = domain;
    wanted.entry.capacity.millicores = 16000;
    wanted.entry.capacity.memory_mb = 65536;
    wanted.entry.born_ms = 1;
    server.endpoint = std::make_unique<shards::virtual_endpoint>(
        wanted, this->queue,
        [this](const std::string& what) { this->report_violation(what); },
        this->seed + this->endpoints.size());
    server.endpoint->work_of = [this](const shard::task_key& task)
    {
        return milliseconds(this->callers[task.job].work_ms);
    };
    server.endpoint->need_of = [this](const shard::task_key&)
    {
        schema::resources need;
        need.millicores = this->shape.task_millicores;
        return need;
    };
    server.endpoint->on_started = [this, id](const shard::task_key& task)
    {
        this->note_start(id, task);
    };
    server.endpoint->on_ended =
        [this, id](const shard::task_key& task, shard::run_end how)
    {
        this->note("end " + name_of(task) + " at " + id + " " +
                   std::string(shard::name_of(how)));
        this->running_at[task].erase(id);
        if (how == shard::run_end::done)
            this->done.insert(task);
    };
    server.server =
        std::make_unique<transport::http_server>(transport::http_server_options{
            .loop = this->loop,
            .address = "127.0.0.1",
            .port = port,
            .on_request =
                [this, &server](transport::exchange_id exchange,
                                const transport::http_request& request)
            { this->serve_endpoint(server, exchange, request); },
            .on_rejected =
                [](transport::rejection)
            {
                return http_response{.status = 400};
            }});
    const int links =
        this->shape.loses_power ? this->shape.hosts_per_domain : 1;
    const int first_host =
        (std::stoi(domain.substr(1)) - 1) * this->shape.hosts_per_domain;
    for (int number = first_host; number < first_host + links; ++number)
    {
        const auto host = static_cast<std::size_t>(number);
        server.proxies.push_back(
            &this->add_proxy({.address = this->address_of(host),
                              .port = proxy_port,
                              .server_port = port}));
        this->links_of[host].push_back(server.proxies.back());
    }
    this->put_entry(server);
    const auto phase = static_cast<int>(this->endpoints.size() % report_phases);
    this->queue.after(report_interval * phase / report_phases,
                      [this, &server] { this->report_endpoint(server); });
    this->endpoints.push_back(std::move(created));
}

void fault_session::add_host(const std::string& name, const std::string& domain,
                             int port)
{
    auto created = std::make_unique<entry_process>();
    created->name = name;
    created->domain = domain;
    created->callers_port = port;
    created->first_port = port;
    const std::string address = this->address_of(this->hosts.size());
    const int proxy_port = port + 4;
    created->store_proxy = &this->add_proxy({.address = address,
                                             .port = proxy_port,
                                             .server_port = this->store_port});
    if (this->shape.loses_power)
        this->add_power_links(*created);
    const std::vector<double>& shares = this->shape.processor_shares;
    std::ofstream(this->work_directory + "/" + name + ".yaml")
        << "name: " << name << "\ndomain: " << domain
        << "\naddress: 127.0.0.1\nlisteners:\n  callers: 127.0.0.1:" << port
        << "\n  readiness: 127.0.0.1:" << port + 1
        << "\n  peer_port: " << port + 2 << "\n  metrics_port: " << port + 3
        << "\nstore: " << address << ":" << proxy_port
        << "\nlimits:\n  link_rate: " << this->shape.link_rate
        << "\n  processor_share: " << shares[this->hosts.size() % shares.size()]
        << "\n";
    this->start_host(*created);
    this->hosts.push_back(std::move(created));
}

void fault_session::note_start(const std::string& id,
                               const shard::task_key& task)
{
    this->started_jobs.insert(task.job);
    this->last_started = id;
    std::set<std::string>& places = this->running_at[task];
    if (!places.empty())
        this->report_violation("two runs of " + shard::to_text(task) + " at " +
                               id + " and " + *places.begin());
    places.insert(id);
    for (const auto& one : this->endpoints)
    {
        if (one->endpoint->entry().id != id || !one->draining_since)
            continue;
        if (this->shape.checks_contact)
        {
            this->check_leaving(*one, task);
            continue;
        }
        const support::instant known =
            std::max(*one->draining_since, this->store_calm_since);
        if (this->store_is_up && !this->lagging &&
            this->queue.now() - known > drain_limit)
            this->report_violation("a start on the leaving " + id + " of " +
                                   shard::to_text(task));
    }
}

fault_session::~fault_session()
{
    this->hosts.clear();
    if (this->recorded_violations.empty())
        static_cast<void>(
            std::system(("rm -rf " + this->work_directory).c_str()));
}

void fault_session::advance_time()
{
    this->queue.run_until(support::instant(support::seconds(1)) +
                          (transport::event_loop::now() - this->began));
}

void fault_session::report_violation(const std::string& what)
{
    const auto at = transport::event_loop::now() - this->began;
    this->recorded_violations.push_back(
        "t=" + std::to_string(support::whole_ms(at)) + " " + what);
    this->note("violation: " + what);
}

void fault_session::start_host(entry_process& host)
{
    host.is_stopping = false;
    this->disturb(host, milliseconds(0));
    host.child.reset();
    host.child = std::make_unique<process_test::child_process>(
        std::vector<std::string>{
            std::string(CHICORYDRUM_BIN_DIR) + "/chicorydrumd", "entry",
            "--settings", this->work_directory + "/" + host.name + ".yaml"},
        this->work_directory + "/" + host.name + ".log");
}

// The store.

void fault_session::put_entry(endpoint_server& server)
{
    const schema::endpoint_registration& entry = server.endpoint->entry();
    const json document{
        {"service", entry.pool},
        {"addr", entry.address + ":" + std::to_string(entry.port)},
        {"zone", entry.domain},
        {"state", entry.is_draining ? "draining" : "ready"},
        {"capacity",
         {{"cpu", entry.capacity.millicores},
          {"mem_mb", entry.capacity.memory_mb},
          {"gpu", 0}}},
        {"labels", {"a", "r1"}},
        {"version", "v1"},
        {"slots", 8},
        {"cold_left_ms", 0},
        {"seq", ++server.reports},
        {"clock_ms", support::whole_ms(this->queue.now() - support::instant())},
        {"born", entry.born_ms}};
    this->put_row("servers", entry.id, document.dump());
}

void fault_session::report_endpoint(endpoint_server& server)
{
    if (server.has_exited)
        return;
    if (this->store_is_up && this->queue.now() >= server.silent_until)
        this->put_entry(server);
    this->queue.after(report_interval,
                      [this, &server] { this->report_endpoint(server); });
}

void fault_session::store_row(const std::string& table, const std::string& key,
                              stored_row row)
{
    row.version = ++this->store_version;
    this->tables[table][key] = row;
    const support::instant now = this->queue.now();
    this->history.push_back(
        {.table = table, .key = key, .row = std::move(row), .at = now});
    for (; now - this->history.front().at > history_span;
         this->history.pop_front())
        this->history_from =
            std::max(this->history_from, this->history.front().row.version);
}

void fault_session::put_row(const std::string& table, const std::string& key,
                            const std::string& value)
{
    this->store_row(table, key, {.value = support::encode_base64(value)});
}

void fault_session::remove_row(const std::string& table, const std::string& key)
{
    this->store_row(table, key, {.value = {}, .is_removed = true});
}

void fault_session::put_config()
{
    this->config_version += 1 + this->pick(3);
    json routes = json::array();
    const auto add =
        [&routes](const std::string& name, const std::string& prefix)
    {
        routes.push_back({{"name", name},
                          {"host", "shop"},
                          {"prefix", prefix},
                          {"service", "workers"},
                          {"timeout_ms", 1500},
                          {"slo_ms", 60},
                          {"attempts", 3},
                          {"stretch", 1.6}});
    };
    add("quote", "/q/");
    for (const auto& [number, route] : this->added_routes)
        if (!route.removed_at)
            add("added-" + std::to_string(number),
                "/added/" + std::to_string(number) + "/");
    this->put_row(
        "op", "config",
        json{{"version", this->config_version}, {"routes", std::move(routes)}}
            .dump());
}

void fault_session::serve_store(transport::exchange_id id,
                                const transport::http_request& request)
{
    const entry_process* const caller = this->host_at(request.host);
    const bool is_busy = caller != nullptr && caller->is_store_busy;
    if (!this->store_is_up || is_busy)
    {
        this->store->respond(id, json_response(503, json::object()));
        return;
    }
    if (request.path.starts_with("/v1/rows-tx"))
    {
        const json body = json::parse(request.body);
        const json& expected = body["expect"][0];
        const json& changed = body["set_keys"][0];
        const std::string table = changed["table"];
        const std::string key = changed["key"];
        const auto& rows = this->tables[table];
        const auto found = rows.find(key);
        const bool is_there = found != rows.end() && !found->second.is_removed;
        const std::int64_t version = is_there ? found->second.version : 0;
        if (version != expected["ver"])
        {
            this->store->respond(
                id, json_response(412, {{"rows",
                                         {{{"table", table},
                                           {"key", key},
                                           {"value", found->second.value},
                                           {"ver", version}}}}}));
            return;
        }
        this->store_row(table, key, {.value = changed["value"]});
        this->store->respond(
            id, json_response(200, {{"ver", this->store_version}}));
        return;
    }
    const std::string table = query_value(request.query, "table");
    const bool is_feed = request.path == "/v1/rows-feed";
    const std::int64_t after =
        is_feed ? std::stoll(query_value(request.query, "after")) : 0;
    if (is_feed && after < this->history_from)
    {
        this->store->respond(id, json_response(410, json::object()));
        return;
    }
    if (!is_feed)
    {
        auto rows = whole_table(
            (this->lagging ? this->lagging->tables : this->tables)[table],
            table);
        this->localize(rows, request.host);
        this->store->respond(
            id,
            json_response(200, {{"rows", rows},
                                {"ver", this->lagging ? this->lagging->version
                                                      : this->store_version}}));
        return;
    }
    const std::int64_t wait = std::stoll(query_value(request.query, "wait_ms"));
    this->answer_changes(id, {.table = table,
                              .reader = request.host,
                              .after = after,
                              .until = this->queue.now() + milliseconds(wait)});
}

void fault_session::set_store(bool is_up, bool lags)
{
    this->store_is_up = is_up;
    if (!lags)
        this->lagging.reset();
    else if (!this->lagging)
        this->lagging = {.tables = this->tables,
                         .version = this->store_version};
    this->store_calm_since = this->queue.now();
}

void fault_session::answer_changes(transport::exchange_id id,
                                   const table_wait& wait)
{
    json rows = json::array();
    std::int64_t version = this->store_version;
    const auto first =
        std::partition_point(this->history.begin(), this->history.end(),
                             [&wait](const stored_change& change)
                             { return change.row.version <= wait.after; });
    for (auto change = first; change != this->history.end(); ++change)
    {
        if (change->table != wait.table)
            continue;
        rows.push_back(row_document(change->table, change->key, change->row));
        if (std::cmp_less(rows.size(), this->shape.rows_per_answer))
            continue;
        // The reader has to ask for the others.
        version = change->row.version;
        break;
    }
    if (rows.empty() && this->queue.now() < wait.until)
    {
        this->queue.after(milliseconds(20),
                          [this, id, wait] { this->answer_changes(id, wait); });
        return;
    }
    if (wait.table == "servers")
        this->note("feed to " + wait.reader + " after " +
                   std::to_string(wait.after) + " version " +
                   std::to_string(version) + " of " +
                   std::to_string(this->store_version) + " rows " +
                   std::to_string(rows.size()));
    this->localize(rows, wait.reader);
    this->store->respond(
        id, json_response(200, {{"rows", rows}, {"ver", version}}));
}

// Endpoints.

void fault_session::serve_endpoint(endpoint_server& where,
                                   transport::exchange_id id,
                                   const transport::http_request& request)
{
    this->advance_time();
    const json body = json::parse(request.body);
    if (request.path == "/v1/hold")
    {
        shard::list_request list;
        list.token = body["fence"];
        list.acknowledged_end = body["ack_cursor"];
        if (body.contains("deadline_ms"))
            list.lease_end_ms = body["deadline_ms"].get<std::int64_t>();
        list.wait = milliseconds(body.value("wait_ms", 0));
        where.endpoint->list(list,
                             [&where, id](const shard::runs_listed& listed) {
                                 where.server->respond(id, response_of(listed));
                             });
        return;
    }
    const auto reply = [&where, id](const shard::order_answered& answer)
    {
        where.server->respond(id, response_of(answer));
    };
    if (request.path == "/v1/run-start")
    {
        shard::start_order order;
        order.task = task_of(body["task"]);
        order.run = body["run"];
        order.token = body["fence"];
        order.lease_end_ms = body["deadline_ms"];
        this->note("start " + name_of(order.task) + " run " +
                   std::to_string(order.run) + " token " +
                   std::to_string(order.token) + " at " +
                   where.endpoint->entry().id + " by " + request.host);
        if (this->shape.checks_contact)
            this->starting_host = this->host_at(request.host);
        where.endpoint->start(order, reply);
        return;
    }
    shard::stop_order order;
    order.task = task_of(body["task"]);
    order.run = body["run"];
    order.token = body["fence"];
    this->note("stop " + name_of(order.task) + " run " +
               std::to_string(order.run) + " token " +
               std::to_string(order.token) + " at " +
               where.endpoint->entry().id);
    where.endpoint->stop(order, reply);
}

// Callers.

void fault_session::submit_one()
{
    const std::string job = "j" + std::to_string(this->seed) + "x" +
                            std::to_string(this->callers.size());
    this->callers[job] = {.tasks = 1 + this->pick(this->shape.most_tasks),
                          .work_ms =
                              30 + this->pick(this->shape.longest_work_ms - 30),
                          .patience_ms = this->shape.caller_patience_ms};
    if (this->shape.loses_power && this->pick(12) == 0)
    {
        // Closes early and does not come back.
        this->callers[job].attempts = max_attempts - 1;
        this->callers[job].patience_ms = 50 + this->pick(800);
    }
    this->send(job, this->pick_host());
}

void fault_session::send(const std::string& job, std::size_t host)
{
    caller_state& caller = this->callers.at(job);
    ++caller.attempts;
    caller.host = host;
    this->note("call " + std::to_string(caller.attempts) + " of " + job +
               " to " + this->hosts[host]->name);
    transport::client_request request;
    request.address = "127.0.0.1";
    request.port = this->hosts[host]->callers_port;
    request.method = transport::http_method::post;
    request.path = "/q/" + job;
    request.host = "shop";
    request.headers = {
        {.name = "deadline-ms",
         .value = std::to_string(this->shape.caller_timeout_ms)}};
    request.timeout = milliseconds(caller.patience_ms);
    request.body = json{{"spec", "s"},
                        {"preemptible", true},
                        {"steps",
                         {{{"count", caller.tasks},
                           {"cpu", this->shape.task_millicores},
                           {"estimate_ms", caller.work_ms}}}}}
                       .dump();
    ++this->open_calls;
    this->calls.send(std::move(request),
                     [this, job](const transport::client_outcome& outcome)
                     {
                         --this->open_calls;
                         this->handle_answer(job, outcome);
                     });
}

void fault_session::handle_answer(const std::string& job,
                                  const transport::client_outcome& outcome)
{
    caller_state& caller = this->callers.at(job);
    const int status = outcome ? outcome->status : 0;
    const bool is_final =
        status == 200 || status == 503 || status == 400 || status == 404;
    caller.was_always_refused =
        caller.was_always_refused && (status == 503 || status == 429);
    if (!is_final)
    {
        if (caller.attempts >= max_attempts)
            return;
        this->queue.after(
            resend_delay, [this, job]
            { this->send(job, this->next_host(this->callers.at(job))); });
        return;
    }
    caller.final_status = status;
    if (status == 503 && caller.was_always_refused &&
        this->started_jobs.contains(job))
        this->report_violation("refused as not run after a start: " + job);
    const bool is_complete =
        status == 200 && outcome->body.find("completed") != std::string::npos;
    if (!is_complete)
        return;
    ++this->completed;
    for (int i = 0; i < caller.tasks; ++i)
        if (!this->done.contains({.job = job, .group = 0, .index = i}))
            this->report_violation(
                "completed with a task that has not ended: " + job);
}

// Faults.

void fault_session::plan_faults()
{
    const int faults = 2 + this->pick(6);
    for (int i = 0; i < faults; ++i)
        this->plan_fault(
            milliseconds(this->pick(static_cast<int>(fault_span.count()))));
}

void fault_session::plan_fault(milliseconds when)
{
    entry_process& host = *this->hosts[this->pick_host()];
    endpoint_server& server = *this->endpoints[static_cast<std::size_t>(
        this->pick(static_cast<int>(this->endpoints.size())))];
    const milliseconds span(200 + this->pick(3000));
    const auto at = [this](milliseconds delay, std::function<void()> hook)
    {
        this->queue.after(delay, std::move(hook));
    };
    switch (this->pick(8))
    {
    case 0:
        at(when, [&host] { host.child->signal(SIGKILL); });
        at(when + span, [this, &host] { this->start_host(host); });
        return;
    case 1:
        at(when,
           [&host]
           {
               host.is_stopping = true;
               host.child->signal(SIGTERM);
           });
        return;
    case 2:
        at(when, [&host] { host.child->signal(SIGSTOP); });
        at(when + span, [&host] { host.child->signal(SIGCONT); });
        return;
    case 3:
        at(when, [this] { this->set_store(false, false); });
        at(when + span, [this] { this->set_store(true, false); });
        return;
    case 4:
        at(when, [this] { this->put_config(); });
        return;
    case 5:
        at(when, [&server] { server.proxies.front()->reset_all(); });
        at(when + milliseconds(50), [&host] { host.store_proxy->reset_all(); });
        return;
    case 6:
    {
        static constexpr std::array faults = {
            link_fault::delayed, link_fault::cut_one_way, link_fault::silent};
        const link_fault fault =
            faults[static_cast<std::size_t>(this->pick(3))];
        tcp_proxy& proxy =
            this->pick(3) == 0 ? *host.store_proxy : *server.proxies.front();
        at(when, [&proxy, fault] { proxy.set_fault(fault); });
        at(when + span, [&proxy] { proxy.set_fault(link_fault::none); });
        return;
    }
    default:
    {
        static constexpr std::array faults = {
            shards::endpoint_fault::late_starts, shards::endpoint_fault::hangs,
            shards::endpoint_fault::fails_all};
        const auto fault = faults[static_cast<std::size_t>(this->pick(3))];
        at(when, [&server, fault] { server.endpoint->set_fault(fault); });
        at(when + span, [&server]
           { server.endpoint->set_fault(shards::endpoint_fault::none); });
        return;
    }
    }
}

void fault_session::clear_faults()
{
    this->set_store(true, false);
    for (const auto& one : this->proxies)
        one->set_fault(link_fault::none);
    for (const auto& one : this->endpoints)
    {
        one->endpoint->set_fault(shards::endpoint_fault::none);
        if (one->has_exited)
            this->exit_endpoint(*one);
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
        this->restore_power(i);
    for (const auto& host : this->hosts)
    {
        host->child->signal(SIGCONT);
        const auto exit_code = host->child->exit_code();
        const bool is_unexpected =
            exit_code && *exit_code != 0 && *exit_code != -SIGKILL;
        if (is_unexpected)
            this->report_violation("exit code " + std::to_string(*exit_code) +
                                   " of " + host->name);
        if (exit_code || host->is_stopping)
            this->start_host(*host);
    }
}

bool fault_session::all_ready()
{
    int ready = 0;
    int open = 0;
    for (const auto& host : this->hosts)
    {
        transport::client_request request;
        request.address = "127.0.0.1";
        request.port = host->first_port + 1;
        request.path = "/v1/ready";
        request.timeout = milliseconds(500);
        ++open;
        this->calls.send(std::move(request),
                         [&ready, &open](const transport::client_outcome& got)
                         {
                             --open;
                             ready += got && got->status == 200 ? 1 : 0;
                         });
    }
    this->loop.run_until([&open] { return open == 0; });
    return ready == static_cast<int>(this->hosts.size());
}

void fault_session::run_for(milliseconds span)
{
    const support::instant end = transport::event_loop::now() + span;
    this->loop.run_until([end] { return transport::event_loop::now() >= end; });
}

bool fault_session::wait_ready()
{
    const support::instant limit =
        transport::event_loop::now() + recovery_limit;
    while (!this->all_ready())
    {
        if (transport::event_loop::now() > limit)
            return false;
        this->run_for(milliseconds(100));
    }
    return true;
}

void fault_session::submit_for(milliseconds span, int longest_gap_ms)
{
    const support::instant end = transport::event_loop::now() + span;
    while (transport::event_loop::now() < end)
    {
        this->submit_one();
        this->run_for(milliseconds(10 + this->pick(longest_gap_ms)));
    }
}

void fault_session::check_recovery()
{
    this->clear_faults();
    if (!this->wait_ready())
        this->report_violation("not ready after all faults have ended");
    this->run_for(milliseconds(1500));
    const int before = this->completed;
    for (int i = 0; i < 6; ++i)
    {
        this->submit_one();
        this->run_for(milliseconds(250));
    }
    this->run_for(milliseconds(this->shape.caller_timeout_ms));
    if (this->completed - before < 6)
        this->report_violation("served " +
                               std::to_string(this->completed - before) +
                               " of 6 after recovery");
}

std::vector<std::string> fault_session::run_session()
{
    if (!this->wait_ready())
        this->report_violation("not ready after the start");
    this->plan_faults();
    this->submit_for(load_span, 80);
    this->check_recovery();
    return this->recorded_violations;
}

} // namespace chicorydrum::faults
