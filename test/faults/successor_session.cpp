/// \file
/// Sessions of takeovers between hosts that know different endpoints: reads of
/// the store are behind for hosts that start anew, and entries lapse while the
/// endpoints are at work.
#include "fault_session.hpp"

#include <csignal>

namespace chicorydrum::faults
{

namespace
{

using support::milliseconds;

constexpr milliseconds load_span{18000};
/// Faults begin within this time.
constexpr int fault_span_ms = 12000;
constexpr int longest_gap_ms = 1200;
/// The store's reads are behind for as long as this, as on the sites' days.
constexpr int longest_lag_ms = 6000;

} // namespace

session_shape successor_shape()
{
    return {.endpoints_per_domain = 4,
            .most_tasks = 2,
            .longest_work_ms = 3500,
            .caller_timeout_ms = 4500,
            .caller_patience_ms = 4800,
            .task_millicores = 3400,
            .later_endpoints_per_domain = 4};
}

void fault_session::plan_lapse(milliseconds when)
{
    this->queue.after(
        when,
        [this]
        {
            // One that is at work.
            for (const auto& one : this->endpoints)
            {
                const std::string& id = one->endpoint->entry().id;
                if (id != this->last_started || !this->store_is_up)
                    continue;
                this->note("entry lapses " + id);
                one->silent_until =
                    this->queue.now() + milliseconds(2000 + this->pick(8000));
                this->remove_row("servers", id);
            }
        });
}

std::vector<std::string> fault_session::run_successors()
{
    if (!this->wait_ready())
        this->report_violation("not ready after the start");
    const auto pick_time = [this]
    {
        return milliseconds(this->pick(fault_span_ms));
    };
    for (const auto& host : this->hosts)
        if (this->pick(2) == 0)
            this->plan_renewal(*host, pick_time());
        else
            this->queue.after(
                pick_time(), [this, &lost = *host]
                { this->restart_host(lost, milliseconds(this->pick(2000))); });
    for (int left = 1 + this->pick(3); left > 0; --left)
        this->queue.after(pick_time(), [this] { this->join("d1"); });
    for (int left = 1 + this->pick(4); left > 0; --left)
        this->plan_lapse(pick_time());
    const milliseconds lags_at = pick_time();
    this->queue.after(lags_at,
                      [this]
                      {
                          this->note("store lags");
                          this->history_from = this->store_version + 1;
                          this->set_store(true, true);
                      });
    this->queue.after(lags_at + milliseconds(this->pick(longest_lag_ms)),
                      [this] { this->set_store(true, false); });
    this->submit_for(load_span, longest_gap_ms);
    // The last tasks would keep those of the check waiting.
    this->run_for(milliseconds(this->shape.caller_timeout_ms));
    this->check_recovery();
    return this->recorded_violations;
}

} // namespace chicorydrum::faults
