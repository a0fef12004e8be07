#include "late_session.hpp"

#include <array>

namespace chicorydrum::shards
{

namespace
{

using support::milliseconds;

constexpr milliseconds first_load{3500};
/// Less than that after which idle connections to endpoints are closed.
constexpr milliseconds idle_minute{57000};
constexpr milliseconds load{20000};
/// Late orders have been executed by then, and callers have sent their copies.
constexpr milliseconds settling{24000};
constexpr milliseconds resend_delay{1300};
/// Faults end before the load does.
constexpr int latest_fault_ms = 14000;
constexpr int hosts_per_domain = 3;
/// Interval in which a session looks for a run that has begun.
constexpr milliseconds check_interval{2};

/// A task that failed runs again at the same endpoint if there is no other.
int endpoints_of(std::uint64_t seed)
{
    return seed % 3 == 0 ? 1 : 3;
}

fleet_options options_for(std::uint64_t seed, bool keeps_log)
{
    return {.domains = 2,
            .hosts_per_domain = hosts_per_domain,
            .endpoints_per_domain = endpoints_of(seed),
            .seed = seed,
            .keeps_log = keeps_log,
            .resumes_with_events = seed % 5 < 3,
            .copies_leave_domain = true,
            .longest_answer_delay = milliseconds(seed % 7 < 3 ? 15 : 0),
            .is_traced = keeps_log};
}

} // namespace

late_session::late_session(std::uint64_t seed, bool keeps_log)
    : random(static_cast<std::minstd_rand::result_type>(seed * 7919 + 1)),
      start_of_load(first_load +
                    (seed % 4 == 0 ? idle_minute : milliseconds(0))),
      end_of_load(start_of_load + load),
      endpoints_per_domain(endpoints_of(seed)),
      fleet(options_for(seed, keeps_log))
{
}

std::string late_session::pick_domain()
{
    return this->pick(2) == 0 ? "D1" : "D2";
}

std::string late_session::pick_host(const std::string& domain)
{
    return domain + "-h" + std::to_string(1 + this->pick(hosts_per_domain));
}

job_shape late_session::pick_shape()
{
    job_shape shape{.tasks = 1 + this->pick(2),
                    .millicores = 3000 + this->pick(4000),
                    .work = this->pick_time(40, 600),
                    .timeout = this->pick_time(1500, 3000)};
    switch (this->pick(4))
    {
    case 0:
        // Its time ends before its tasks do.
        shape.work = this->pick_time(2500, 5000);
        shape.timeout = this->pick_time(1400, 2600);
        shape.estimate = shape.timeout;
        break;
    case 1:
        shape.work = this->pick_time(800, 2000);
        shape.timeout = this->pick_time(200, 900);
        shape.estimate = shape.timeout;
        break;
    default:
        break;
    }
    return shape;
}

void late_session::plan_job(milliseconds when)
{
    const std::string domain = this->pick_domain();
    const std::string host = this->pick_host(domain);
    const std::string other = this->pick_host(domain == "D1" ? "D2" : "D1");
    const job_shape shape = this->pick_shape();
    this->fleet.at(when,
                   [this, host, other, shape, when]
                   {
                       if (!this->fleet.accepts_callers(host))
                           return;
                       const std::string job = this->fleet.submit(host, shape);
                       // The fleet's callers send no copies of such jobs.
                       if (shape.timeout > resend_delay)
                           return;
                       this->fleet.at(when + shape.timeout + resend_delay,
                                      [this, job, other]
                                      {
                                          // A caller has one call at a time.
                                          const caller_record& caller =
                                              this->fleet.caller(job);
                                          if (!caller.answer &&
                                              caller.attempts == 1)
                                              this->fleet.repeat(job, other);
                                      });
                   });
}

void late_session::plan_load()
{
    // A single endpoint must have room for a task that failed.
    const int longest_gap = this->endpoints_per_domain == 1 ? 1500 : 250;
    for (milliseconds when = this->start_of_load; when < this->end_of_load;
         when += this->pick_time(20, longest_gap))
        this->plan_job(when);
}

late_order_rules late_session::pick_rules()
{
    static const std::array<std::set<order_kind>, 4> kinds = {
        {{order_kind::start, order_kind::stop, order_kind::list},
         {order_kind::stop},
         {order_kind::list},
         {order_kind::start, order_kind::stop}}};
    const milliseconds least = this->pick_time(1500, 4000);
    const bool is_in_order = this->pick(2) == 0;
    return {.percent = 100,
            .kinds = kinds[static_cast<std::size_t>(
                this->pick(static_cast<int>(kinds.size())))],
            .least = least,
            .most = is_in_order ? least : least + this->pick_time(100, 4000)};
}

void late_session::plan_failing_runs(milliseconds when, const std::string& id)
{
    const endpoint_fault fault = this->pick(2) == 0
                                     ? endpoint_fault::fails_all
                                     : endpoint_fault::fails_early;
    this->fleet.at(when, [this, id, fault]
                   { this->fleet.endpoint(id).set_fault(fault); });
    this->fleet.at(when + this->pick_time(300, 1200),
                   [this, id] {
                       this->fleet.endpoint(id).set_fault(endpoint_fault::none);
                   });
}

void late_session::fail_next_run(milliseconds when, const std::string& id,
                                 int starts, int checks)
{
    if (checks == 0)
        return;
    this->fleet.at(when,
                   [this, when, id, starts, checks]
                   {
                       virtual_endpoint& endpoint = this->fleet.endpoint(id);
                       endpoint.set_fault(endpoint_fault::fails_early);
                       const int before =
                           starts < 0 ? endpoint.starts() : starts;
                       if (endpoint.starts() == before)
                           this->fail_next_run(when + check_interval, id,
                                               before, checks - 1);
                       else
                           this->lose_owner_after_failure(when, id);
                   });
}

void late_session::lose_owner_after_failure(milliseconds began,
                                            const std::string& id)
{
    // A list that waits for an end is answered; its acknowledgement is late.
    const milliseconds delay = this->pick_time(1500, 4000);
    const milliseconds ends = began + early_failure;
    this->fleet.at(ends - this->pick_time(5, 40),
                   [this, id, delay]
                   {
                       virtual_endpoint& endpoint = this->fleet.endpoint(id);
                       endpoint.set_fault(endpoint_fault::none);
                       endpoint.set_late_orders({.percent = 100,
                                                 .kinds = {order_kind::list},
                                                 .least = delay,
                                                 .most = delay});
                   });
    const milliseconds lost = ends + this->pick_time(5, 200);
    this->fleet.at(lost,
                   [this, id, lost]
                   {
                       this->fleet.endpoint(id).set_late_orders({});
                       const std::string owner =
                           this->fleet.owner_of(id.substr(0, 2));
                       if (owner.empty())
                           return;
                       this->fleet.kill(owner);
                       this->fleet.at(lost + milliseconds(1000), [this, owner]
                                      { this->fleet.start(owner); });
                   });
}

void late_session::plan_loss(milliseconds when, const std::string& domain)
{
    const milliseconds span = this->pick_time(300, 4000);
    const int kind = this->pick(4);
    const bool is_owner = this->pick(2) == 0;
    const std::string drawn = this->pick_host(domain);
    this->fleet.at(
        when,
        [this, when, span, kind, is_owner, drawn, domain]
        {
            const std::string owner = this->fleet.owner_of(domain);
            const std::string host = is_owner && !owner.empty() ? owner : drawn;
            switch (kind)
            {
            case 0:
                this->fleet.kill(host);
                this->fleet.at(when + span,
                               [this, host] { this->fleet.start(host); });
                return;
            case 1:
                this->fleet.stop_gracefully(host);
                this->fleet.at(when + milliseconds(6500),
                               [this, host] { this->fleet.start(host); });
                return;
            case 2:
                this->fleet.suspend(host, span);
                return;
            default:
                this->fleet.lose_power(host);
                this->fleet.at(when + span,
                               [this, host] { this->fleet.start(host); });
                return;
            }
        });
}

void late_session::plan_late_span(milliseconds when, const std::string& domain)
{
    const late_order_rules rules = this->pick_rules();
    const milliseconds span = this->pick_time(500, 5000);
    for (int number = 1; number <= this->endpoints_per_domain; ++number)
    {
        if (this->pick(3) == 0)
            continue;
        const std::string id = domain + "-e" + std::to_string(number);
        if (this->pick(3) == 0)
            this->plan_failing_runs(when - this->pick_time(0, 900), id);
        this->fleet.at(when, [this, id, rules]
                       { this->fleet.endpoint(id).set_late_orders(rules); });
        this->fleet.at(when + span, [this, id]
                       { this->fleet.endpoint(id).set_late_orders({}); });
    }
    for (int left = this->pick(3); left > 0; --left)
        this->plan_loss(when + this->pick_time(0, 3000), domain);
}

std::vector<std::string> late_session::run()
{
    this->plan_load();
    // The first starts after an idle minute are executed late.
    if (this->start_of_load > first_load)
    {
        const milliseconds delay = this->pick_time(1400, 2000);
        for (const std::string& id : this->fleet.endpoint_names())
        {
            if (!id.starts_with("D1-"))
                continue;
            this->fleet.at(
                this->start_of_load - milliseconds(100),
                [this, id, delay]
                {
                    this->fleet.endpoint(id).set_late_orders(
                        {.percent = 100, .least = delay, .most = delay});
                });
            this->fleet.at(this->start_of_load + milliseconds(2000), [this, id]
                           { this->fleet.endpoint(id).set_late_orders({}); });
        }
    }
    if (this->endpoints_per_domain == 1)
        for (int left = 3; left > 0; --left)
        {
            const std::string id = this->pick_domain() + "-e1";
            const milliseconds when =
                this->start_of_load + this->pick_time(1000, latest_fault_ms);
            this->fail_next_run(when, id, -1, 500);
        }
    for (int left = 1 + this->pick(4); left > 0; --left)
        this->plan_late_span(this->start_of_load + milliseconds(1000) +
                                 this->pick_time(0, latest_fault_ms),
                             this->pick_domain());
    this->fleet.run_for(this->end_of_load + settling);
    std::vector<std::string> found = this->fleet.violations();
    for (const char* const domain : {"D1", "D2"})
        if (this->fleet.owners_of(domain) != this->fleet.shards_of(domain))
            found.push_back(std::string("owners of ") + domain + ": " +
                            std::to_string(this->fleet.owners_of(domain)));
    if (this->fleet.unanswered() > 0)
        found.push_back("unanswered callers: " +
                        std::to_string(this->fleet.unanswered()));
    return found;
}

} // namespace chicorydrum::shards
