#include "virtual_endpoint.hpp"

#include <algorithm>

namespace chicorydrum::shards
{

using shard::order_answered;
using shard::order_status;
using shard::run_end;
using support::milliseconds;

virtual_endpoint::virtual_endpoint(
    virtual_endpoint_options opts, fleet::event_queue& events,
    std::function<void(const std::string&)> on_violation, std::uint64_t seed)
    : options(std::move(opts)), queue(events),
      report_violation(std::move(on_violation)),
      random(static_cast<std::minstd_rand::result_type>(seed + 1)),
      incarnation_began(events.now())
{
}

std::int64_t virtual_endpoint::clock_ms() const
{
    const double passed =
        support::in_seconds(this->queue.now() - this->incarnation_began) *
        1000.0;
    return this->options.clock_start_ms +
           static_cast<std::int64_t>(passed *
                                     (1 - this->options.clock_slowness));
}

void virtual_endpoint::set_fault(endpoint_fault new_fault)
{
    if (new_fault == endpoint_fault::dead ||
        new_fault == endpoint_fault::replaced)
        this->restart();
    this->fault = new_fault;
    for (auto& [task, one] : this->running)
        one.hangs = one.hangs || new_fault == endpoint_fault::hangs;
}

void virtual_endpoint::restart(const new_incarnation& next)
{
    schema::endpoint_registration& entry = this->options.entry;
    this->options.clock_start_ms =
        next.clock_start_ms.value_or(this->options.clock_start_ms);
    entry.born_ms = next.born_ms.value_or(entry.born_ms + 1);
    entry.capacity.millicores =
        next.millicores.value_or(entry.capacity.millicores);
    entry.labels = next.labels.value_or(entry.labels);
    this->options.slowness = next.slowness.value_or(this->options.slowness);
    ++this->incarnation;
    for (const auto& [task, one] : this->running)
        this->on_ended(task, run_end::lapsed);
    this->running.clear();
    this->finished.clear();
    this->ends.clear();
    this->pending_lists.clear();
    this->highest_token = 0;
    this->lease_end_ms = 0;
    this->next_end = 1;
    this->incarnation_began = this->queue.now();
    this->fault = endpoint_fault::none;
}

bool virtual_endpoint::token_is_stale(shard::fencing_token token)
{
    if (token < this->highest_token)
        return true;
    this->highest_token = token;
    return false;
}

bool virtual_endpoint::defer(order_kind kind, std::function<void()> order)
{
    const late_order_rules& rules = this->late_orders;
    if (!rules.kinds.contains(kind) ||
        std::uniform_int_distribution<int>(0, 99)(this->random) >=
            rules.percent)
        return false;
    const milliseconds delay(std::uniform_int_distribution<std::int64_t>(
        rules.least.count(), rules.most.count())(this->random));
    this->queue.after(
        delay,
        [this, order = std::move(order), survives = rules.survive_restart,
         expected_incarnation = this->incarnation]
        {
            const bool is_same = this->incarnation == expected_incarnation;
            if (this->is_up() && !this->is_replaced() && (is_same || survives))
                order();
        });
    return true;
}

std::function<std::int64_t()>
virtual_endpoint::deferred_lease_end(std::int64_t wanted_end_ms) const
{
    if (!this->late_orders.lease_counts_from_execution)
        return [wanted_end_ms]
        {
            return wanted_end_ms;
        };
    return [this, remaining_ms = wanted_end_ms - this->clock_ms()]
    {
        return this->clock_ms() + remaining_ms;
    };
}

void virtual_endpoint::start(const shard::start_order& order,
                             std::function<void(order_answered)> reply)
{
    if (this->is_replaced() || is_for_another(order.to))
    {
        reply(
            {.order = order.order, .status = order_status::other_incarnation});
        return;
    }
    const auto execute_late =
        [this, order, lease_end = this->deferred_lease_end(order.lease_end_ms)]
    {
        shard::start_order late = order;
        late.lease_end_ms = lease_end();
        this->execute_start(late, {});
    };
    if (this->late_orders.percent > 0 &&
        this->defer(order_kind::start, execute_late))
        return;
    if (this->fault == endpoint_fault::loses_answers)
    {
        this->execute_start(order, {});
        reply({.order = order.order, .status = order_status::no_answer});
        return;
    }
    if (this->fault != endpoint_fault::late_starts)
    {
        this->execute_start(order, std::move(reply));
        return;
    }
    const milliseconds delay(
        std::uniform_int_distribution<int>(2000, 12000)(this->random));
    this->queue.after(delay,
                      [this, order, expected_incarnation = this->incarnation]
                      {
                          if (this->incarnation == expected_incarnation &&
                              this->is_up() && !this->is_replaced())
                              this->execute_start(order, {});
                      });
}

void virtual_endpoint::execute_start(const shard::start_order& order,
                                     std::function<void(order_answered)> reply)
{
    order_answered answer{.order = order.order,
                          .status = order_status::accepted,
                          .clock_ms = this->clock_ms()};
    const auto same = this->running.find(order.task);
    const auto before = this->finished.find(order.task);
    if (this->token_is_stale(order.token))
        answer.status = order_status::stale_token;
    else if (same != this->running.end() && same->second.number == order.run)
        this->extend_lease(order.lease_end_ms);
    else if (same != this->running.end() ||
             (before != this->finished.end() && order.run <= before->second))
        answer.status = order_status::stale_run;
    else if (order.lease_end_ms <= this->clock_ms())
        answer.status = order_status::expired;
    else if (this->answers.guards_capacity &&
             !this->has_capacity_for(this->need_of(order.task)))
        answer.status = order_status::insufficient_capacity;
    else
        this->begin_run(order);
    if (answer.status == order_status::stale_run ||
        answer.status == order_status::insufficient_capacity)
        this->extend_lease(order.lease_end_ms);
    if (reply)
        reply(answer);
}

void virtual_endpoint::begin_run(const shard::start_order& order)
{
    this->extend_lease(order.lease_end_ms);
    run one;
    one.number = order.run;
    one.need = this->need_of(order.task);
    one.began = this->queue.now();
    one.hangs = this->fault == endpoint_fault::hangs;
    one.length = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(this->work_of(order.task).count()) *
        this->options.slowness));
    one.fails = this->fault == endpoint_fault::fails_early;
    if (one.fails)
        one.length = std::min(one.length, early_failure);
    if (!this->has_capacity_for(one.need))
        this->report_violation("runs exceed the capacity of " +
                               this->options.entry.id);
    ++this->start_count;
    this->running[order.task] = one;
    this->on_started(order.task);
    this->queue.after(
        one.length,
        [this, task = order.task, number = one.number,
         expected_incarnation = this->incarnation]
        {
            const auto found = this->running.find(task);
            if (this->incarnation != expected_incarnation ||
                found == this->running.end() ||
                found->second.number != number || found->second.hangs)
                return;
            const bool fails =
                found->second.fails || this->fault == endpoint_fault::fails_all;
            this->end_run(task, number,
                          fails ? run_end::failed : run_end::done);
        });
}

bool virtual_endpoint::has_capacity_for(const schema::resources& need) const
{
    std::int64_t used = need.millicores;
    for (const auto& [task, other] : this->running)
        used += other.need.millicores;
    return used <= this->options.entry.capacity.millicores;
}

void virtual_endpoint::end_run(const shard::task_key& task, std::int64_t number,
                               run_end how)
{
    this->running.erase(task);
    this->finished[task] = std::max(this->finished[task], number);
    this->ends.push_back(
        {.number = this->next_end++, .task = task, .run = number, .how = how});
    this->on_ended(task, how);
    this->answer_lists();
}

void virtual_endpoint::extend_lease(std::int64_t wanted_end_ms)
{
    const std::int64_t latest =
        this->clock_ms() + this->options.longest_lease.count();
    this->lease_end_ms =
        std::max(this->lease_end_ms, std::min(wanted_end_ms, latest));
    const auto remaining =
        static_cast<double>(this->lease_end_ms - this->clock_ms());
    this->queue.after(support::duration_from_ms(
                          remaining / (1 - this->options.clock_slowness)) +
                          milliseconds(1),
                      [this] { this->check_lease(); });
}

void virtual_endpoint::check_lease()
{
    if (this->clock_ms() < this->lease_end_ms)
        return;
    const std::map<shard::task_key, run> lapsed = this->running;
    for (const auto& [task, one] : lapsed)
        this->end_run(task, one.number, run_end::lapsed);
}

void virtual_endpoint::stop(const shard::stop_order& order,
                            std::function<void(order_answered)> reply)
{
    if (this->is_replaced() || is_for_another(order.to))
    {
        reply(
            {.order = order.order, .status = order_status::other_incarnation});
        return;
    }
    const auto execute_late = [this, order]
    {
        this->execute_stop(order, [](const order_answered&) {});
    };
    if (this->late_orders.percent > 0 &&
        this->defer(order_kind::stop, execute_late))
        return;
    this->execute_stop(order, std::move(reply));
}

void virtual_endpoint::execute_stop(const shard::stop_order& order,
                                    std::function<void(order_answered)> reply)
{
    order_answered answer{.order = order.order,
                          .status = order_status::accepted,
                          .clock_ms = this->clock_ms()};
    const auto found = this->running.find(order.task);
    if (this->token_is_stale(order.token))
        answer.status = order_status::stale_token;
    else if (found == this->running.end())
        this->finished[order.task] =
            std::max(this->finished[order.task], order.run);
    else if (found->second.number <= order.run && !found->second.stopping)
    {
        found->second.stopping = true;
        this->queue.after(
            this->options.stop_time,
            [this, task = order.task, number = found->second.number]
            {
                const auto still = this->running.find(task);
                if (still != this->running.end() &&
                    still->second.number == number)
                    this->end_run(task, number, run_end::stopped);
            });
    }
    reply(answer);
}

void virtual_endpoint::list(const shard::list_request& request,
                            std::function<void(shard::runs_listed)> reply)
{
    if (this->is_replaced() || is_for_another(request.to))
    {
        shard::runs_listed refusal;
        refusal.order = request.order;
        refusal.status = order_status::other_incarnation;
        reply(refusal);
        return;
    }
    const auto execute_late =
        [this, request,
         lease_end = this->deferred_lease_end(request.lease_end_ms.value_or(0))]
    {
        shard::list_request late = request;
        late.wait = milliseconds(0);
        if (request.lease_end_ms)
            late.lease_end_ms = lease_end();
        this->execute_list(late, [](const shard::runs_listed&) {});
    };
    if (this->late_orders.percent > 0 &&
        this->defer(order_kind::list, execute_late))
        return;
    this->execute_list(request, std::move(reply));
}

void virtual_endpoint::execute_list(
    const shard::list_request& request,
    std::function<void(shard::runs_listed)> reply)
{
    if (this->token_is_stale(request.token))
    {
        shard::runs_listed refusal;
        refusal.order = request.order;
        refusal.status = order_status::stale_token;
        refusal.clock_ms = this->clock_ms();
        reply(refusal);
        return;
    }
    if (request.lease_end_ms)
        this->extend_lease(*request.lease_end_ms);
    std::erase_if(this->ends, [&request](const shard::listed_end& end)
                  { return end.number <= request.acknowledged_end; });
    this->pending_lists.push_back(
        {.request = request, .reply = std::move(reply)});
    if (!this->ends.empty() || request.wait.count() == 0)
    {
        this->answer_lists();
        return;
    }
    this->queue.after(request.wait, [this] { this->answer_lists(); });
}

void virtual_endpoint::reset_lists()
{
    std::vector<pending_list> lost = std::move(this->pending_lists);
    this->pending_lists.clear();
    for (pending_list& one : lost)
    {
        shard::runs_listed none;
        none.order = one.request.order;
        none.status = order_status::no_answer;
        one.reply(none);
    }
}

void virtual_endpoint::answer_lists()
{
    std::vector<pending_list> answered = std::move(this->pending_lists);
    this->pending_lists.clear();
    for (pending_list& one : answered)
        one.reply(this->make_list(one.request.order));
}

shard::runs_listed virtual_endpoint::make_list(shard::order_id order) const
{
    shard::runs_listed list;
    list.order = order;
    list.status = order_status::accepted;
    list.clock_ms = this->clock_ms();
    list.born_ms = this->options.entry.born_ms;
    for (const auto& [task, one] : this->running)
    {
        if (one.stopping && this->answers.omits_stopping_runs)
            continue;
        const double passed =
            support::in_seconds(this->queue.now() - one.began) * 1000.0;
        const double part =
            passed /
            std::max<double>(1, static_cast<double>(one.length.count()));
        list.running.push_back(
            {.task = task,
             .run = one.number,
             .percent =
                 one.hangs ? 0 : static_cast<int>(std::min(1.0, part) * 100)});
    }
    const std::size_t listed =
        std::min(this->ends.size(), this->answers.ends_per_list);
    list.has_more_ends = listed < this->ends.size();
    list.ended.assign(this->ends.begin(),
                      this->ends.begin() + static_cast<std::ptrdiff_t>(listed));
    return list;
}

} // namespace chicorydrum::shards
