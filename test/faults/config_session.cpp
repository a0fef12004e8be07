/// \file
/// Sessions of the users' whole installation with a large configuration that
/// changes in series, on links that have a rate.
#include "fault_session.hpp"

#include <csignal>
#include <utility>

namespace chicorydrum::faults
{

namespace
{

using support::milliseconds;

constexpr milliseconds load_span{20000};
constexpr milliseconds submit_gap{70};
/// A confirmed configuration is in force after this time (RULES.md, apply_ms).
constexpr milliseconds apply_time{3000};
/// Bounds hold for hosts without disturbance for this time (contact_ms), and
/// are longer by the other one for hosts that the store has refused
/// (skew_max_ms).
constexpr milliseconds contact_time{4000};
constexpr milliseconds refusal_time{6000};
constexpr int least_routes = 1300;
constexpr int route_choices = 200;

} // namespace

session_shape config_shape()
{
    constexpr double link_mbit = 19;
    return {.domains = 4,
            .hosts_per_domain = 7,
            .endpoints_per_domain = 6,
            .link_rate = link_mbit,
            .processor_shares = {0.5, 0.5, 0.3, 0.09, 0.09, 0.09, 0.09},
            .loses_power = true,
            .host_link_rate = link_mbit};
}

void fault_session::change_config(int added)
{
    const support::instant now = this->queue.now();
    int next =
        this->added_routes.empty() ? 1 : this->added_routes.rbegin()->first + 1;
    if (!this->added_routes.empty())
    {
        auto removed = this->added_routes.begin();
        std::advance(removed,
                     this->pick(static_cast<int>(this->added_routes.size())));
        if (!removed->second.removed_at)
            removed->second.removed_at = now;
    }
    for (int i = 0; i < added; ++i)
        this->added_routes[next++] = {.added_at = now};
    this->put_config();
    this->note("config " + std::to_string(this->config_version) + " adds " +
               std::to_string(added));
}

void fault_session::plan_config_changes(support::instant end)
{
    if (this->queue.now() > end)
        return;
    this->change_config(this->pick(8) == 0 ? 50 + this->pick(100)
                                           : 1 + this->pick(3));
    // Series of quick changes with pauses between them.
    const milliseconds pause(this->pick(5) == 0 ? 1500 + this->pick(2000)
                                                : 150 + this->pick(500));
    this->queue.after(pause, [this, end] { this->plan_config_changes(end); });
}

void fault_session::plan_renewal(entry_process& host, milliseconds when)
{
    this->queue.after(when,
                      [this, &host]
                      {
                          this->note("renewal of " + host.name);
                          this->renewed_hosts.insert(host.name);
                          host.is_stopping = true;
                          host.child->signal(SIGTERM);
                          this->queue.after(milliseconds(1000), [this, &host]
                                            { this->finish_renewal(host); });
                      });
}

void fault_session::probe_config()
{
    const entry_process& host = *this->hosts[this->pick_host()];
    const support::instant now = this->queue.now();
    const milliseconds limit = now < host.refused_until + contact_time
                                   ? apply_time + refusal_time
                                   : apply_time;
    const bool is_in_touch = !host.is_stopping && !host.child->exit_code() &&
                             now - host.calm_since >= contact_time;
    if (!is_in_touch || this->added_routes.empty())
        return;
    // The latest changes are those that may not be in force.
    const int newest = this->added_routes.rbegin()->first;
    const int number = newest - std::min(newest - 1, this->pick(40));
    const added_route& route = this->added_routes.at(number);
    const bool must_be_there =
        !route.removed_at && now - route.added_at > limit;
    const bool must_be_gone =
        route.removed_at && now - *route.removed_at > limit;
    if (!must_be_there && !must_be_gone)
        return;
    ++this->probes;
    transport::client_request request;
    request.address = "127.0.0.1";
    request.port = host.callers_port;
    request.path = "/added/" + std::to_string(number) + "/";
    request.host = "shop";
    request.timeout = milliseconds(1500);
    this->calls.send(
        std::move(request),
        [this, name = host.name, number,
         must_be_gone](const transport::client_outcome& outcome)
        {
            constexpr int not_found = 404;
            constexpr int unavailable = 503;
            // A route may be removed before the host reads the request.
            const bool is_removed =
                this->added_routes.at(number).removed_at.has_value();
            const int status = outcome ? outcome->status : 0;
            const bool is_wrong =
                must_be_gone ? status != not_found && status != unavailable
                             : status != 200 && !is_removed;
            if (is_wrong)
                this->report_violation(
                    "route " + std::to_string(number) +
                    (must_be_gone ? ", which was removed," : "") +
                    " is answered with " + std::to_string(status) + " by " +
                    name);
        });
}

int fault_session::count_slow_dials(const entry_process& host) const
{
    const std::string dial = " event=link_silent peer=\"\" dialled=";
    const bool was_renewed = this->renewed_hosts.contains(host.name);
    std::ifstream log(this->work_directory + "/" + host.name + ".log");
    int count = 0;
    for (std::string line; std::getline(log, line);)
    {
        const std::size_t found = line.find(dial);
        if (found == std::string::npos)
            continue;
        const std::string dialled = line.substr(found + dial.size());
        if (was_renewed || this->renewed_hosts.contains(dialled))
            ++count;
    }
    return count;
}

void fault_session::check_nobody_lost()
{
    const std::string silent = "event=link_silent";
    for (const auto& host : this->hosts)
        for (const std::string& text :
             {silent, std::string("event=link_was_silent"),
              std::string("event=host_isolated"), std::string("cause=silent")})
        {
            int count = this->count_log_lines(*host, text);
            // No link is lost by a dial between hosts of which one starts.
            if (text == silent)
                count -= this->count_slow_dials(*host);
            if (count > 0)
                this->report_violation(host->name + " has logged " +
                                       std::to_string(count) + " lines with " +
                                       text);
        }
}

std::vector<std::string> fault_session::run_configs()
{
    this->set_link_rates();
    if (!this->wait_ready())
        this->report_violation("not ready after the start");
    this->run_for(milliseconds(2000));
    this->change_config(least_routes + this->pick(route_choices));
    this->plan_config_changes(this->queue.now() + load_span);
    for (int left = 3 + this->pick(3); left > 0; --left)
        this->plan_renewal(*this->hosts[this->pick_host()],
                           milliseconds(left * 3500));
    if (this->seed % 2 == 0)
        for (int left = 1 + this->pick(4); left > 0; --left)
            this->plan_refusal(*this->hosts[this->pick_host()],
                               store_refusal::busy,
                               milliseconds(this->pick(8000)),
                               milliseconds(3000 + this->pick(6000)));
    const support::instant end = transport::event_loop::now() + load_span;
    while (transport::event_loop::now() < end)
    {
        this->submit_one();
        this->probe_config();
        this->probe_config();
        this->run_for(submit_gap);
    }
    this->run_for(apply_time);
    for (int i = 0; i < 200; ++i)
        this->probe_config();
    this->run_for(milliseconds(2000));
    this->check_nobody_lost();
    constexpr int least_probes = 100;
    if (this->probes < least_probes)
        this->report_violation("only " + std::to_string(this->probes) +
                               " probes");
    this->note("probes " + std::to_string(this->probes) + " completed " +
               std::to_string(this->completed) + " of " +
               std::to_string(this->callers.size()));
    return this->recorded_violations;
}

} // namespace chicorydrum::faults
