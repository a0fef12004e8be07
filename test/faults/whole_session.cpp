/// \file
/// Sessions of the users' whole installation: endpoints come and go all the
/// time, while hosts are restarted and lost and the store is in trouble.
#include "fault_session.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <numbers>

namespace chicorydrum::faults
{

namespace
{

using support::milliseconds;

constexpr milliseconds load_span{30000};
/// Faults begin within this time.
constexpr int fault_span_ms = 20000;
/// Hosts that have only stood by for this long take over.
constexpr milliseconds last_losses{23500};
/// Jobs of a second, on average and at most beyond it, in waves of a length.
constexpr double mean_jobs = 100;
constexpr double wave_jobs = 70;
constexpr double wave_seconds = 6;
constexpr milliseconds submit_interval{20};
/// A host is in touch without disturbance of its own or the store's for this
/// time (RULES.md, contact_ms).
constexpr milliseconds contact_time{4000};
/// Leaving endpoints serve on for this time, and get no work after it.
constexpr milliseconds drain_time{3000};
/// What the platform gives an endpoint that it takes away.
constexpr milliseconds notice_time{2000};
constexpr milliseconds rolling_interval{1300};
constexpr milliseconds least_renewal{1000};
/// Entries lapse while the store is away, and are back with the next report.
constexpr milliseconds lapse_time{1500};
/// Most changes in one answer of the platform's store, and endpoints of the
/// sites that are played. From 375 on, a host that reads every 2 s what changes
/// every 1.5 s falls behind.
constexpr int platform_rows_per_answer = 500;
constexpr int least_site = 350;
constexpr int site_sizes = 200;
/// A domain keeps this many.
constexpr std::size_t least_endpoints = 24;

} // namespace

session_shape whole_shape()
{
    return {.domains = 4,
            .hosts_per_domain = 7,
            .endpoints_per_domain = 40,
            .link_rate = 1,
            .most_tasks = 8,
            .longest_work_ms = 900,
            .caller_timeout_ms = 2500,
            .caller_patience_ms = 2500,
            .task_millicores = 5000,
            .processor_shares = {0.5, 0.5, 0.3, 0.09, 0.09, 0.09, 0.09},
            .loses_power = true,
            .later_endpoints_per_domain = 24,
            .checks_contact = true};
}

void fault_session::disturb(entry_process& host, milliseconds span)
{
    host.calm_since = std::max(host.calm_since, this->queue.now() + span);
}

void fault_session::check_leaving(const endpoint_server& where,
                                  const shard::task_key& task)
{
    if (this->starting_host == nullptr)
    {
        this->report_violation("a start from an unknown host");
        return;
    }
    const entry_process& host = *this->starting_host;
    const support::instant now = this->queue.now();
    const auto accepted = now - *where.draining_since;
    const support::instant calm_since =
        std::max({host.calm_since, where.calm_since, this->store_calm_since});
    const bool is_in_touch = !host.is_dark && !host.is_stopping &&
                             this->store_is_up && !this->lagging &&
                             now - calm_since >= contact_time;
    const bool is_refused = now < host.refused_until + contact_time;
    if (accepted <= drain_time)
        return;
    const bool was_late =
        transport::event_loop::now() - this->late_at < contact_time;
    const std::string text =
        "a start on the leaving " + where.endpoint->entry().id + " of " +
        shard::to_text(task) + " by " + host.name + " accepted_ms_ago " +
        std::to_string(support::whole_ms(accepted)) + " calm_ms " +
        std::to_string(support::whole_ms(now - calm_since)) +
        (is_refused ? " refused" : "") + " session_late_ms " +
        std::to_string(was_late ? this->late_by.count() : 0);
    if (is_in_touch)
        this->report_violation(text);
    else
        this->note("allowed, out of touch: " + text);
}

// Endpoints.

std::vector<fault_session::endpoint_server*>
fault_session::endpoints_of(const std::string& domain) const
{
    std::vector<endpoint_server*> found;
    for (const auto& one : this->endpoints)
        if (one->endpoint->entry().domain == domain && !one->draining_since &&
            !one->has_exited)
            found.push_back(one.get());
    return found;
}

void fault_session::join(const std::string& domain)
{
    const auto number = static_cast<int>(this->endpoints.size());
    const auto all =
        std::count_if(this->endpoints.begin(), this->endpoints.end(),
                      [&domain](const auto& e)
                      { return e->endpoint->entry().domain == domain; });
    if (all == this->shape.endpoints_per_domain +
                   this->shape.later_endpoints_per_domain)
        return;
    int& port = this->next_endpoint_port[domain];
    this->add_endpoint("i-" + std::to_string(number), domain, port);
    port += this->shape.ports_per_endpoint();
    std::size_t link = 0;
    for (const std::size_t host : this->hosts_of(domain))
    {
        if (this->hosts[host]->is_dark)
            this->endpoints.back()->proxies[link]->lose_power(milliseconds(0));
        ++link;
    }
    this->note("endpoint joins i-" + std::to_string(number));
}

void fault_session::leave(endpoint_server& server, milliseconds served_on)
{
    if (server.draining_since || server.has_exited)
        return;
    if (!this->store_is_up)
    {
        // It reports again until the store accepts it.
        this->queue.after(milliseconds(200), [this, &server, served_on]
                          { this->leave(server, served_on); });
        return;
    }
    server.draining_since = this->queue.now();
    auto& entry = server.endpoint->entry();
    entry.is_draining = true;
    this->put_entry(server);
    this->note("endpoint leaves " + entry.id + " version " +
               std::to_string(this->store_version));
    this->queue.after(served_on,
                      [this, &server] { this->exit_endpoint(server); });
}

void fault_session::exit_endpoint(endpoint_server& server)
{
    const std::string& id = server.endpoint->entry().id;
    server.has_exited = true;
    server.endpoint->set_fault(shards::endpoint_fault::dead);
    for (tcp_proxy* const link : server.proxies)
        link->set_fault(link_fault::refused);
    if (this->tables["servers"][id].is_removed)
        return;
    this->remove_row("servers", id);
    this->note("endpoint exits " + id);
}

void fault_session::change_endpoints(support::instant end)
{
    if (this->queue.now() > end)
        return;
    const std::string domain = this->pick_domain();
    std::vector<endpoint_server*> serving = this->endpoints_of(domain);
    std::shuffle(serving.begin(), serving.end(), this->random);
    // Many at a time change the number of shards.
    const int many = this->pick(6) == 0 ? 4 + this->pick(8) : 1;
    const int kind = this->pick(8);
    for (int i = 0; i < many; ++i)
    {
        if (kind <= 1)
        {
            this->join(domain);
            continue;
        }
        if (serving.size() <= least_endpoints)
            break;
        endpoint_server& server = *serving.back();
        serving.pop_back();
        const milliseconds beyond(this->pick(3) == 0 ? this->pick(9000)
                                                     : 100 + this->pick(900));
        if (kind == 2)
            this->restart_endpoint(server);
        else if (kind == 3)
            this->leave(server, notice_time);
        else if (kind == 4)
            this->leave(server, drain_time + beyond);
        else
        {
            this->join(domain);
            this->queue.after(milliseconds(500 + this->pick(1000)),
                              [this, &server, beyond]
                              { this->leave(server, drain_time + beyond); });
        }
    }
    this->queue.after(milliseconds(100 + this->pick(400)),
                      [this, end] { this->change_endpoints(end); });
}

// Hosts.

void fault_session::plan_outage(milliseconds when)
{
    const milliseconds span(1000 + this->pick(400));
    const bool is_power = this->pick(2) == 0;
    for (std::size_t i = 0; i < this->hosts.size(); ++i)
    {
        if (is_power)
            this->plan_loss(i, when, span);
        else
            this->queue.after(when,
                              [this, &host = *this->hosts[i], span]
                              {
                                  this->note("kill " + host.name);
                                  this->restart_host(host, span);
                              });
    }
}

void fault_session::plan_rolling_restart(milliseconds when)
{
    std::vector<std::size_t> order = this->hosts_of("");
    std::shuffle(order.begin(), order.end(), this->random);
    for (const std::size_t one : order)
    {
        this->queue.after(
            when,
            [this, &host = *this->hosts[one]]
            {
                if (host.is_dark || host.is_stopping || host.child->exit_code())
                    return;
                this->note("renewal of " + host.name);
                host.is_stopping = true;
                host.child->signal(SIGTERM);
                this->queue.after(least_renewal, [this, &host]
                                  { this->finish_renewal(host); });
            });
        when += rolling_interval;
        if (when > load_span - rolling_interval)
            return;
    }
}

void fault_session::finish_renewal(entry_process& host)
{
    if (!host.is_stopping || host.is_dark)
        return;
    if (host.child->exit_code())
        this->start_host(host);
    else
        this->queue.after(milliseconds(100),
                          [this, &host] { this->finish_renewal(host); });
}

void fault_session::plan_isolation(milliseconds when)
{
    const std::string domain = this->pick_domain();
    const milliseconds span(500 + this->pick(3000));
    std::vector<tcp_proxy*> links;
    for (const auto& [ends, link] : this->peer_links)
        if ((this->hosts[ends.first]->domain == domain) !=
            (this->hosts[ends.second]->domain == domain))
            links.push_back(link);
    for (const std::size_t one : this->hosts_of(domain))
        links.push_back(this->hosts[one]->store_proxy);
    this->queue.after(when,
                      [this, domain, span, links]
                      {
                          this->note("cut off " + domain);
                          for (tcp_proxy* const link : links)
                              link->set_fault(link_fault::held);
                          for (const auto& host : this->hosts)
                              this->disturb(*host, span);
                      });
    this->queue.after(when + span,
                      [links]
                      {
                          for (tcp_proxy* const link : links)
                              link->set_fault(link_fault::none);
                      });
}

// The store.

void fault_session::plan_refusals(milliseconds when)
{
    const std::string domain = this->pick(3) == 0 ? this->pick_domain() : "";
    static constexpr std::array kinds = {
        store_refusal::silent, store_refusal::busy, store_refusal::reset};
    const store_refusal kind =
        kinds[static_cast<std::size_t>(this->pick(kinds.size()))];
    const milliseconds span(2000 + this->pick(8000));
    for (const std::size_t one : this->hosts_of(domain))
        if (!domain.empty() || this->pick(2) == 0)
            this->plan_refusal(*this->hosts[one], kind, when, span);
}

void fault_session::plan_absence(milliseconds when)
{
    const milliseconds span(800 + this->pick(5000));
    const milliseconds lag(this->pick(2) == 0 ? this->pick(4000) : 0);
    const bool forgets = this->pick(2) == 0;
    this->queue.after(when,
                      [this]
                      {
                          this->note("store away");
                          this->set_store(false, false);
                      });
    if (span > lapse_time)
        this->queue.after(when + lapse_time,
                          [this]
                          {
                              for (const auto& one : this->endpoints)
                                  if (!one->has_exited && this->pick(3) == 0)
                                      this->remove_row(
                                          "servers", one->endpoint->entry().id);
                          });
    this->queue.after(when + span,
                      [this, lag, forgets]
                      {
                          this->note("store back lag_ms " +
                                     std::to_string(lag.count()));
                          if (forgets)
                              this->history_from = this->store_version + 1;
                          this->set_store(true, lag.count() > 0);
                      });
    this->queue.after(when + span + lag,
                      [this] { this->set_store(this->store_is_up, false); });
}

// The session.

std::vector<std::string> fault_session::run_whole()
{
    // The store's answers cover as long a time as on a site of some size.
    this->shape.rows_per_answer = platform_rows_per_answer *
                                  static_cast<int>(this->endpoints.size()) /
                                  (least_site + this->pick(site_sizes));
    this->note("rows per answer " +
               std::to_string(this->shape.rows_per_answer));
    if (!this->wait_ready())
        this->report_violation("not ready after the start");
    const auto plan_some = [this](int least, int choices, auto plan)
    {
        for (int left = least + this->pick(choices); left > 0; --left)
            (this->*plan)(milliseconds(this->pick(fault_span_ms)));
    };
    this->plan_rolling_restart(milliseconds(500 + this->pick(2000)));
    this->plan_outage(milliseconds(1500 + this->pick(2500)));
    this->plan_outage(milliseconds(8000 + this->pick(3000)));
    for (int left = 4 + this->pick(5); left > 0; --left)
        this->plan_loss(this->pick_host(),
                        last_losses + milliseconds(this->pick(2500)),
                        milliseconds(300 + this->pick(2000)));
    for (int left = 2 + this->pick(3); left > 0; --left)
        this->plan_loss(this->pick_host(),
                        milliseconds(this->pick(fault_span_ms)),
                        milliseconds(300 + this->pick(4000)));
    plan_some(1, 2, &fault_session::plan_chain);
    plan_some(0, 2, &fault_session::plan_isolation);
    plan_some(1, 3, &fault_session::plan_refusals);
    plan_some(0, 2, &fault_session::plan_absence);
    plan_some(0, 2, &fault_session::plan_store_trouble);
    this->change_endpoints(this->queue.now() + load_span);
    const support::instant began_load = transport::event_loop::now();
    double due = 0;
    while (transport::event_loop::now() < began_load + load_span)
    {
        const double seconds =
            support::in_seconds(transport::event_loop::now() - began_load);
        const double rate =
            mean_jobs +
            wave_jobs * std::sin(2 * std::numbers::pi * seconds / wave_seconds);
        due += rate * support::in_seconds(submit_interval);
        for (; due >= 1; --due)
            this->submit_one();
        this->run_for(submit_interval);
    }
    this->check_recovery();
    return this->recorded_violations;
}

} // namespace chicorydrum::faults
