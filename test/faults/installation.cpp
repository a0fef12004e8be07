/// \file
/// Sessions in which a whole installation starts anew or stands still while the
/// store is in trouble.
#include "fault_session.hpp"

#include <algorithm>
#include <csignal>

namespace chicorydrum::faults
{

namespace
{

using support::milliseconds;

constexpr milliseconds load_span{16000};
/// Faults begin within this time.
constexpr int fault_span_ms = 10000;
constexpr int longest_gap_ms = 60;

} // namespace

session_shape installation_shape()
{
    // A link of 1 Mbit/s carries shards of 8 endpoints. The store's answers
    // hold 500 changes on sites of up to 370 endpoints.
    return {.domains = 4,
            .hosts_per_domain = 2,
            .endpoints_per_domain = 13,
            .link_rate = 1,
            .longest_work_ms = 1500,
            .caller_timeout_ms = 1500,
            .caller_patience_ms = 1500,
            .rows_per_answer = 70};
}

void fault_session::restart_host(entry_process& host, milliseconds span)
{
    host.child->signal(SIGKILL);
    this->queue.after(span,
                      [this, &host]
                      {
                          if (host.child->exit_code() && !host.is_dark)
                              this->start_host(host);
                      });
}

void fault_session::plan_restarts(milliseconds when)
{
    const int longest_start = 100 + this->pick(3000);
    for (const auto& one : this->hosts)
        this->queue.after(when,
                          [this, &host = *one, longest_start] {
                              this->restart_host(host, milliseconds(this->pick(
                                                           longest_start)));
                          });
}

void fault_session::plan_standstill(milliseconds when)
{
    const milliseconds span(300 + this->pick(4000));
    const std::string domain =
        this->pick(2) == 0
            ? ""
            : "d" + std::to_string(1 + this->pick(this->shape.domains));
    for (const auto& one : this->hosts)
    {
        entry_process& host = *one;
        if (!domain.empty() && host.domain != domain)
            continue;
        this->queue.after(when, [&host] { host.child->signal(SIGSTOP); });
        this->queue.after(when + span,
                          [&host] { host.child->signal(SIGCONT); });
    }
}

void fault_session::plan_store_trouble(milliseconds when)
{
    const milliseconds span(500 + this->pick(8000));
    switch (this->pick(6))
    {
    case 0:
        this->queue.after(when, [this] { this->set_store(false, false); });
        this->queue.after(when + span,
                          [this] { this->set_store(true, false); });
        return;
    case 1:
        this->queue.after(when,
                          [this]
                          {
                              this->history_from = this->store_version + 1;
                              this->set_store(true, true);
                          });
        this->queue.after(when + span,
                          [this] { this->set_store(true, false); });
        return;
    case 2:
        this->queue.after(when, [this]
                          { this->history_from = this->store_version + 1; });
        return;
    default:
    {
        // Hosts anywhere, or all hosts of one domain.
        const std::string domain =
            this->pick(2) == 0
                ? ""
                : "d" + std::to_string(1 + this->pick(this->shape.domains));
        const milliseconds refused_for(3000 + this->pick(6000));
        for (const auto& one : this->hosts)
        {
            const bool is_refused =
                domain.empty() ? this->pick(2) == 0 : one->domain == domain;
            if (!is_refused)
                continue;
            this->plan_refusal(*one, store_refusal::silent, when, refused_for);
        }
        return;
    }
    }
}

void fault_session::plan_refusal(entry_process& host, store_refusal kind,
                                 milliseconds when, milliseconds span)
{
    const auto set = [&host, kind](bool is_refused)
    {
        const link_fault fault = kind == store_refusal::silent
                                     ? link_fault::silent
                                     : link_fault::refused;
        if (kind == store_refusal::busy)
            host.is_store_busy = is_refused;
        else
            host.store_proxy->set_fault(is_refused ? fault : link_fault::none);
    };
    this->queue.after(when,
                      [this, &host, set, span]
                      {
                          this->note("refused " + host.name);
                          set(true);
                          host.refused_until = this->queue.now() + span;
                      });
    this->queue.after(when + span, [set] { set(false); });
}

void fault_session::plan_leaving(milliseconds when)
{
    this->queue.after(
        when,
        [this]
        {
            // One that gets work, so that work sent there later is seen.
            const auto found = std::find_if(
                this->endpoints.begin(), this->endpoints.end(),
                [this](const auto& one)
                { return one->endpoint->entry().id == this->last_started; });
            if (found == this->endpoints.end() || (*found)->draining_since)
                return;
            (*found)->draining_since = this->queue.now();
            (*found)->endpoint->entry().is_draining = true;
            this->put_entry(**found);
        });
}

std::vector<std::string> fault_session::run_installation()
{
    if (!this->wait_ready())
        this->report_violation("not ready after the start");
    const auto pick_time = [this]
    {
        return milliseconds(this->pick(fault_span_ms));
    };
    for (int left = 1 + this->pick(3); left > 0; --left)
        this->plan_restarts(pick_time());
    for (int left = this->pick(3); left > 0; --left)
        this->plan_standstill(pick_time());
    for (int left = 1 + this->pick(3); left > 0; --left)
        this->plan_store_trouble(pick_time());
    for (int left = 10 + this->pick(10); left > 0; --left)
        this->plan_leaving(pick_time());
    this->submit_for(load_span, longest_gap_ms);
    this->check_recovery();
    return this->recorded_violations;
}

} // namespace chicorydrum::faults
