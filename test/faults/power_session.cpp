/// \file
/// Sessions in which hosts lose their power: they fall silent, and nothing is
/// closed at their peers, endpoints, store and callers.
#include "fault_session.hpp"

#include "chicorydrum/support/base64.hpp"
#include "chicorydrum/transport/peer_codec.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <ctime>
#include <utility>

namespace chicorydrum::faults
{

namespace
{

using support::milliseconds;

constexpr milliseconds load_span{19000};
/// Faults begin within this time.
constexpr int fault_span_ms = 11500;
constexpr int longest_gap_ms = 36;
constexpr milliseconds longest_stall{390};

std::string time_of_day()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    std::tm parts{};
    ::localtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%H:%M:%S.", &parts);
    const auto ms =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
            .count() %
        1000;
    const std::string digits = std::to_string(1000 + ms);
    return text.data() + digits.substr(1);
}

} // namespace

session_shape power_shape()
{
    return {.domains = 2,
            .hosts_per_domain = 4,
            .endpoints_per_domain = 16,
            .link_rate = 1,
            .longest_work_ms = 3000,
            .caller_timeout_ms = 3500,
            .caller_patience_ms = 3500,
            .task_millicores = 4000,
            .rows_per_answer = 43,
            .processor_shares = {0.5, 0.5, 0.3, 0.09},
            .loses_power = true};
}

// Links.

tcp_proxy& fault_session::add_proxy(const proxy_route& route)
{
    this->proxies.push_back(std::make_unique<tcp_proxy>(route));
    return *this->proxies.back();
}

std::string fault_session::address_of(std::size_t host) const
{
    return this->shape.loses_power ? "127.0.0." + std::to_string(2 + host)
                                   : "127.0.0.1";
}

fault_session::entry_process*
fault_session::host_at(const std::string& address) const
{
    if (!this->shape.loses_power)
        return nullptr;
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
        if (this->address_of(i) == address)
            return this->hosts[i].get();
    return nullptr;
}

void fault_session::add_power_links(entry_process& host)
{
    const std::size_t own = this->hosts.size();
    std::vector<tcp_proxy*>& links = this->links_of[own];
    host.callers_port = host.first_port + 5;
    host.callers_proxy = &this->add_proxy(
        {.port = host.callers_port, .server_port = host.first_port});
    links.push_back(host.store_proxy);
    links.push_back(host.callers_proxy);
    const int peer_port = host.first_port + 2;
    const int count = this->shape.domains * this->shape.hosts_per_domain;
    for (std::size_t from = 0; std::cmp_less(from, count); ++from)
    {
        if (from == own)
            continue;
        tcp_proxy& link = this->add_proxy({.address = this->address_of(from),
                                           .port = peer_port,
                                           .server_port = peer_port});
        links.push_back(&link);
        this->links_of[from].push_back(&link);
        this->peer_links[{from, own}] = &link;
    }
}

void fault_session::set_link_rates()
{
    constexpr double bytes_per_ms = 125;
    for (const auto& host : this->hosts)
    {
        host->rate = std::make_unique<link_rate>(this->shape.host_link_rate *
                                                 bytes_per_ms);
        host->store_proxy->set_rates(host->rate.get(), nullptr);
    }
    for (const auto& [ends, link] : this->peer_links)
        link->set_rates(this->hosts[ends.first]->rate.get(),
                        this->hosts[ends.second]->rate.get());
}

void fault_session::localize(nlohmann::json& rows,
                             const std::string& reader) const
{
    if (!this->shape.loses_power)
        return;
    for (auto& row : rows)
    {
        if (row.contains("tombstone"))
            continue;
        const std::string key = row["key"];
        std::string value =
            support::decode_base64(row["value"].get<std::string>()).value();
        const std::string own = "127.0.0.1:";
        if (row["table"] == "servers")
            value.replace(value.find(own), own.size(), reader + ":");
        const bool is_peer =
            row["table"] == "entry_hosts" &&
            this->address_of(std::stoul(key.substr(1))) != reader;
        if (is_peer)
        {
            schema::host_record record =
                transport::decode_record(value).value();
            record.address = reader;
            value = transport::encode_record(record);
        }
        row["value"] = support::encode_base64(value);
    }
}

void fault_session::note(const std::string& what)
{
    if (this->shape.loses_power)
        this->journal << time_of_day() << " " << what << "\n";
}

std::vector<std::size_t>
fault_session::hosts_of(const std::string& domain) const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
        if (domain.empty() || this->hosts[i]->domain == domain)
            found.push_back(i);
    return found;
}

std::size_t fault_session::next_host(const caller_state& caller)
{
    if (!this->shape.loses_power)
        return this->pick_host();
    const auto others_of = [this, &caller](const std::string& domain)
    {
        std::vector<std::size_t> found = this->hosts_of(domain);
        std::erase_if(
            found, [this, &caller](std::size_t one)
            { return one == caller.host || this->hosts[one]->is_dark; });
        return found;
    };
    std::vector<std::size_t> others =
        others_of(this->hosts[caller.host]->domain);
    if (others.empty() || this->pick(5) == 0)
        others = others_of("");
    if (others.empty())
        return this->pick_host();
    return others[static_cast<std::size_t>(
        this->pick(static_cast<int>(others.size())))];
}

// Power.

void fault_session::lose_power(std::size_t host, bool callers_notice)
{
    entry_process& dark = *this->hosts[host];
    if (dark.is_dark)
        return;
    dark.is_dark = true;
    const milliseconds late(this->pick(3) == 0 ? this->pick(300) : 0);
    this->note("dark " + dark.name + (callers_notice ? " noticed" : "") +
               " late_ms " + std::to_string(late.count()));
    // Some of what it has sent is on the way.
    for (tcp_proxy* const link : this->links_of[host])
        if (this->pick(2) == 0)
            link->poll(transport::event_loop::now());
    dark.child->signal(SIGKILL);
    if (callers_notice)
        dark.callers_proxy->reset_all();
    for (tcp_proxy* const link : this->links_of[host])
        link->lose_power(late);
}

void fault_session::restore_power(std::size_t host)
{
    entry_process& dark = *this->hosts[host];
    if (!dark.is_dark)
        return;
    dark.is_dark = false;
    this->note("back " + dark.name);
    for (tcp_proxy* const link : this->links_of[host])
        link->restore_power();
    this->start_host(dark);
}

void fault_session::plan_loss(std::size_t host, milliseconds when,
                              milliseconds span)
{
    this->queue.after(when, [this, host]
                      { this->lose_power(host, this->pick(4) != 0); });
    this->queue.after(when + span, [this, host] { this->restore_power(host); });
}

void fault_session::plan_chain(milliseconds when)
{
    const std::string domain = this->pick_domain();
    std::vector<std::size_t> order = this->hosts_of(domain);
    std::shuffle(order.begin(), order.end(), this->random);
    // The strongest hosts own the shards: an owner often follows the host whose
    // callers have lost their jobs.
    if (this->pick(4) != 0)
        std::iter_swap(order.begin() + 1,
                       std::min_element(order.begin() + 1, order.end()));
    // All of them: nobody is left to take over.
    const int losses = 2 + this->pick(3);
    order.resize(static_cast<std::size_t>(losses));
    // Owners notice a silent host after 500 ms: often the others follow just
    // before.
    const int least = this->pick(2) == 0 ? 400 : 0;
    const int choices = least > 0 ? 150 : 700;
    milliseconds at = when;
    for (const std::size_t host : order)
    {
        this->plan_loss(host, at, milliseconds(300 + this->pick(4000)));
        at = std::max(at, when + milliseconds(least + this->pick(choices)));
    }
    // Copies come 1,300 ms after the first loss, and successors list then.
    for (int left = 1 + this->pick(2); left > 0; --left)
        this->plan_late_endpoints(domain,
                                  when + milliseconds(700 + this->pick(800)));
}

void fault_session::plan_blackout(milliseconds when)
{
    const std::string domain = this->pick(3) == 0 ? "" : this->pick_domain();
    for (int left = this->pick(4); left > 0; --left)
        this->queue.after(
            when + milliseconds(this->pick(2500)),
            [this]
            {
                entry_process& host = *this->hosts[this->pick_host()];
                this->note("restart " + host.name);
                this->restart_host(host, milliseconds(this->pick(1000)));
            });
    const milliseconds begin = when + milliseconds(2500);
    const milliseconds least(200 + this->pick(2500));
    const int spread = this->pick(2) == 0 ? 1 : 1500;
    for (const std::size_t host : this->hosts_of(domain))
        this->plan_loss(host, begin + milliseconds(this->pick(30)),
                        least + milliseconds(this->pick(spread)));
    for (int left = this->pick(3); left > 0; --left)
        this->plan_late_endpoints(domain, begin + least +
                                              milliseconds(this->pick(2500)));
}

// Other faults.

void fault_session::plan_cut(milliseconds when)
{
    struct cut
    {
        link_fault forward;
        link_fault backward;
    };
    static constexpr std::array cuts = {
        cut{link_fault::held, link_fault::held},
        cut{link_fault::held_to_server, link_fault::held_to_client},
        cut{link_fault::held_to_client, link_fault::held_to_server},
        cut{link_fault::refused, link_fault::refused},
        cut{link_fault::delayed, link_fault::delayed}};
    const cut chosen = cuts[static_cast<std::size_t>(this->pick(cuts.size()))];
    const std::size_t left = this->pick_host();
    // From its domain, from all hosts, or from one.
    const int kind = this->pick(3);
    const std::string domain = kind == 0 ? this->hosts[left]->domain : "";
    std::vector<std::size_t> others = this->hosts_of(domain);
    if (kind == 2)
        others = {this->pick_host()};
    const milliseconds span(200 + this->pick(3000));
    const bool resets = this->pick(2) == 0;
    for (const std::size_t other : others)
    {
        if (other == left)
            continue;
        tcp_proxy& to = *this->peer_links.at({left, other});
        tcp_proxy& from = *this->peer_links.at({other, left});
        this->queue.after(
            when,
            [this, &to, &from, chosen, left, other, span]
            {
                this->note("cut " + this->hosts[left]->name + " " +
                           this->hosts[other]->name + " " +
                           std::to_string(static_cast<int>(chosen.forward)));
                this->disturb(*this->hosts[left], span);
                this->disturb(*this->hosts[other], span);
                to.set_fault(chosen.forward);
                from.set_fault(chosen.backward);
            });
        this->queue.after(when + span,
                          [&to, &from, resets]
                          {
                              for (tcp_proxy* const one : {&to, &from})
                              {
                                  one->set_fault(link_fault::none);
                                  if (resets)
                                      one->reset_all();
                              }
                          });
    }
}

void fault_session::plan_stalls(milliseconds when)
{
    for (int hosts_left = 1 + this->pick(3); hosts_left > 0; --hosts_left)
    {
        entry_process& host = *this->hosts[this->pick_host()];
        milliseconds at = when;
        for (int left = 2 + this->pick(6); left > 0; --left)
        {
            this->queue.after(at,
                              [this, &host]
                              {
                                  this->note("stall " + host.name);
                                  this->disturb(host, longest_stall);
                                  host.child->signal(SIGSTOP);
                              });
            at += milliseconds(100 + this->pick(290));
            this->queue.after(at, [&host] { host.child->signal(SIGCONT); });
            at += milliseconds(50 + this->pick(400));
        }
    }
}

void fault_session::plan_endpoint_restarts(milliseconds when)
{
    const std::string domain = this->pick_domain();
    milliseconds at = when;
    for (int left = 2 + this->pick(5); left > 0; --left)
    {
        const auto picked = static_cast<std::size_t>(
            this->pick(static_cast<int>(this->endpoints.size())));
        at += milliseconds(100 + this->pick(700));
        this->queue.after(at, [this, &server = *this->endpoints[picked]]
                          { this->restart_endpoint(server); });
    }
    if (this->pick(2) == 0)
        this->plan_late_endpoints(domain, at);
}

void fault_session::restart_endpoint(endpoint_server& server)
{
    for (tcp_proxy* const link : server.proxies)
        link->reset_all();
    server.endpoint->restart();
    this->note("endpoint restarts " + server.endpoint->entry().id);
    this->put_entry(server);
}

void fault_session::plan_late_endpoints(const std::string& domain,
                                        milliseconds when)
{
    static constexpr std::array faults = {
        link_fault::held, link_fault::held_to_client, link_fault::delayed,
        link_fault::silent};
    for (const auto& one : this->endpoints)
    {
        endpoint_server& server = *one;
        const bool is_meant =
            domain.empty() || server.endpoint->entry().domain == domain;
        if (!is_meant || this->pick(2) == 0)
            continue;
        const link_fault fault =
            faults[static_cast<std::size_t>(this->pick(faults.size()))];
        const auto set = [this, &server](link_fault now)
        {
            this->note("link of " + server.endpoint->entry().id + " " +
                       std::to_string(static_cast<int>(now)));
            if (server.has_exited)
                return;
            server.calm_since = this->queue.now();
            for (tcp_proxy* const link : server.proxies)
                link->set_fault(now);
        };
        this->queue.after(when, [set, fault] { set(fault); });
        this->queue.after(when + milliseconds(100 + this->pick(400)),
                          [set] { set(link_fault::none); });
    }
}

void fault_session::plan_flood(milliseconds when)
{
    for (int left = 40 + this->pick(80); left > 0; --left)
        this->queue.after(when + milliseconds(this->pick(300)),
                          [this] { this->submit_one(); });
}

std::vector<std::string> fault_session::run_power()
{
    for (const auto& one : this->endpoints)
        one->endpoint->set_answers({.omits_stopping_runs = this->pick(2) == 0});
    if (!this->wait_ready())
        this->report_violation("not ready after the start");
    const auto plan_some = [this](int least, int choices, auto plan)
    {
        for (int left = least + this->pick(choices); left > 0; --left)
            (this->*plan)(milliseconds(this->pick(fault_span_ms)));
    };
    plan_some(2, 3, &fault_session::plan_chain);
    plan_some(1, 2, &fault_session::plan_blackout);
    plan_some(0, 4, &fault_session::plan_cut);
    plan_some(0, 4, &fault_session::plan_stalls);
    plan_some(0, 3, &fault_session::plan_endpoint_restarts);
    plan_some(0, 2, &fault_session::plan_flood);
    plan_some(0, 2, &fault_session::plan_store_trouble);
    this->submit_for(load_span, longest_gap_ms);
    this->check_recovery();
    return this->recorded_violations;
}

} // namespace chicorydrum::faults
