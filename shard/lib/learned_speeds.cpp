#include "chicorydrum/shard/learned_speeds.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;

/// Logarithm of the largest ratio that counts: 100 times an estimate, or a
/// hundredth of it, is an error of the estimate.
constexpr double most_log_ratio = 4.6;
/// Variance of the callers' estimates until runs have shown it.
constexpr double first_variance = 0.16;
constexpr double most_variance = 1;
/// Bound of names in reports; ids of endpoints are shorter.
constexpr std::size_t longest_name = 256;
/// Sweeps over routes and kinds after which their sums have settled.
constexpr int fitting_sweeps = 8;
/// A run that is this many usual deviations from the expected one is a
/// surprise; a second one to the same side in a row tells of a change.
constexpr double surprising_deviations = 2.5;
/// Weight of a changed speed: that of the two runs that told of it.
constexpr double weight_of_change = 2;
/// A kind's slowness is logged again when it has moved by 10%.
constexpr double logged_change = 0.1;
/// A successor is not told of endpoints that less is known of: one run, two
/// half-lives ago.
constexpr double least_told_weight = 0.25;
/// Bound of the peers whose malformed reports are remembered.
constexpr std::size_t most_logged_peers = 256;

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= longest_name;
}

std::string capacity_class(const schema::endpoint_registration& entry)
{
    return entry.pool + "/" + std::to_string(entry.capacity.millicores) + "/" +
           std::to_string(entry.capacity.memory_mb) + "/" +
           std::to_string(entry.capacity.accelerators);
}

} // namespace

std::string kind_of(const schema::endpoint_registration& entry)
{
    return capacity_class(entry) + "/" +
           (entry.labels.empty() ? std::string() : entry.labels.front());
}

void learned_speeds::estimate::add(double sample, double most, instant now)
{
    this->weight = std::min(this->weight + 1, most);
    this->mean += (sample - this->mean) / this->weight;
    this->as_of = now;
}

double learned_speeds::estimate::weight_at(instant now,
                                           support::seconds half_life) const
{
    if (this->weight == 0)
        return 0;
    const double age = std::max(0.0, support::in_seconds(now - this->as_of));
    return this->weight * std::exp2(-age / support::in_seconds(half_life));
}

learned_speeds::learned_speeds(learned_speeds_options opts,
                               learned_speeds_hooks callbacks)
    : options(opts), hooks(std::move(callbacks)),
      residual_variance(first_variance)
{
}

std::size_t learned_speeds::number_of_kind(const std::string& name)
{
    const auto found = this->kind_numbers.find(name);
    if (found != this->kind_numbers.end())
        return found->second;
    const std::size_t number = this->kinds.size();
    if (number >= this->options.most_kinds)
    {
        const std::string capacity = name.substr(0, name.rfind('/'));
        const auto known = this->kind_numbers.find(capacity);
        if (known != this->kind_numbers.end())
            return known->second;
        if (number >= 2 * this->options.most_kinds)
            return number - 1;
        this->kinds.push_back({.name = capacity});
        return this->kind_numbers[capacity] = number;
    }
    this->kinds.push_back({.name = name});
    this->kind_numbers[name] = number;
    return number;
}

learned_speeds::route_state*
learned_speeds::find_or_add_route(const std::string& name)
{
    const auto found = this->routes.find(name);
    if (found != this->routes.end())
        return &found->second;
    if (this->routes.size() >= this->options.most_routes)
        return nullptr;
    return &this->routes[name];
}

void learned_speeds::add_endpoint(const schema::endpoint_registration& entry)
{
    const std::size_t kind = this->number_of_kind(kind_of(entry));
    const auto known = this->endpoints.find(entry.id);
    if (known != this->endpoints.end() &&
        known->second.born_ms == entry.born_ms && known->second.kind == kind)
    {
        known->second.is_known = true;
        return;
    }
    endpoint_state fresh{.born_ms = entry.born_ms, .kind = kind};
    fresh.is_known = true;
    this->endpoints[entry.id] = fresh;
    this->update_endpoint(this->endpoints[entry.id], support::instant());
}

void learned_speeds::remove_endpoint(const std::string& id)
{
    const auto found = this->endpoints.find(id);
    if (found != this->endpoints.end())
        found->second.is_known = false;
}

learned_speeds::estimate learned_speeds::value_of(const cell& of,
                                                  instant now) const
{
    const double heard =
        of.heard.weight_at(now, this->options.report_half_life);
    estimate both;
    both.weight = of.seen.weight + heard;
    if (both.weight > 0)
        both.mean = (of.seen.weight * of.seen.mean + heard * of.heard.mean) /
                    both.weight;
    both.as_of = std::max(of.seen.as_of, of.heard.as_of);
    return both;
}

void learned_speeds::update_route(route_state& route, instant now)
{
    double weight = 0;
    double sum = 0;
    double variances = 0;
    for (const auto& [kind, one] : route.cells)
    {
        const estimate value = this->value_of(one, now);
        weight += value.weight;
        sum += value.weight * (value.mean - this->kinds[kind].log_factor);
        variances += value.weight * one.log_variance;
    }
    if (weight <= 0)
        return;
    // One run's worth of belief in the callers' estimates.
    route.log_mean = sum / (weight + 1);
    route.log_variance = variances / (weight + 1);
    route.ratio = std::exp(route.log_mean + route.log_variance / 2);
}

void learned_speeds::update_kind(std::size_t kind, instant now)
{
    double weight = 0;
    double sum = 0;
    for (const auto& [name, route] : this->routes)
    {
        const auto found = route.cells.find(kind);
        if (found == route.cells.end())
            continue;
        const estimate value = this->value_of(found->second, now);
        weight += value.weight;
        sum += value.weight * (value.mean - route.log_mean);
    }
    kind_state& state = this->kinds[kind];
    state.weight = weight;
    state.log_factor = sum / (weight + this->options.average_prior);
    state.factor = std::exp(state.log_factor);
}

void learned_speeds::update_endpoint(endpoint_state& endpoint,
                                     instant now) const
{
    const support::seconds half_life = this->options.endpoint_half_life;
    const double seen = endpoint.seen.weight_at(now, half_life);
    const double heard = endpoint.heard.weight_at(now, half_life);
    const double weight = seen + heard;
    endpoint.log_deviation = 0;
    if (weight > 0)
    {
        const double mean =
            (seen * endpoint.seen.mean + heard * endpoint.heard.mean) / weight;
        // The further the runs are from what chance explains, the less the
        // kind counts.
        const double significance =
            mean * mean * weight / std::max(this->residual_variance, 0.01);
        const double prior = this->options.kind_prior / (1 + significance / 4);
        endpoint.log_deviation = mean * weight / (weight + prior);
    }
    endpoint.factor = std::exp(endpoint.log_deviation -
                               this->options.optimism / std::sqrt(weight + 1));
}

double learned_speeds::usual_deviation() const
{
    return std::sqrt(this->residual_variance);
}

void learned_speeds::observe(const std::string& route_name,
                             const std::string& endpoint_id, double ratio,
                             instant now)
{
    const auto found = this->endpoints.find(endpoint_id);
    if (found == this->endpoints.end() || !std::isfinite(ratio) || ratio <= 0)
        return;
    route_state* const route = this->find_or_add_route(route_name);
    if (route == nullptr)
        return;
    endpoint_state& endpoint = found->second;
    const double sample =
        std::clamp(std::log(ratio), -most_log_ratio, most_log_ratio);
    const double at_kind =
        route->log_mean + this->kinds[endpoint.kind].log_factor;
    cell& learned = route->cells[endpoint.kind];
    const bool is_first = this->value_of(learned, now).weight < 1;
    const double deviation = is_first ? 0 : sample - at_kind;
    const double residual = deviation - endpoint.log_deviation;

    const bool is_surprise =
        std::abs(residual) > surprising_deviations * this->usual_deviation();
    if (is_surprise && endpoint.surprise &&
        (*endpoint.surprise > 0) == (residual > 0))
    {
        endpoint.seen = {.mean = (*endpoint.surprise + residual) / 2 +
                                 endpoint.log_deviation,
                         .weight = weight_of_change,
                         .as_of = now};
        endpoint.heard = {};
        endpoint.surprise.reset();
    }
    else
    {
        endpoint.seen.weight =
            endpoint.seen.weight_at(now, this->options.endpoint_half_life);
        endpoint.seen.add(deviation, this->options.most_endpoint_runs, now);
        endpoint.surprise =
            is_surprise ? std::optional(residual) : std::nullopt;
    }
    if (!is_surprise)
        this->residual_variance = std::min(
            most_variance, this->residual_variance +
                               (residual * residual - this->residual_variance) /
                                   this->options.most_kind_runs);
    // A surprise says more of the endpoint than of its kind. Before the kind is
    // known well, what its endpoints have in common may seem to be theirs.
    const bool is_kind_known =
        learned.seen.weight >= this->options.most_kind_runs;
    const double reach = is_first
                             ? most_log_ratio
                             : surprising_deviations * this->usual_deviation();
    learned.seen.add(
        std::clamp(sample - (is_kind_known ? endpoint.log_deviation : 0),
                   at_kind - reach, at_kind + reach),
        this->options.most_kind_runs, now);
    if (!is_surprise)
        learned.log_variance +=
            (residual * residual - learned.log_variance) / learned.seen.weight;
    this->update_route(*route, now);
    this->update_kind(endpoint.kind, now);
    this->update_endpoint(endpoint, now);
    endpoint.touched = now;
    this->has_news = true;
}

double learned_speeds::route_ratio(const std::string& route) const
{
    const auto found = this->routes.find(route);
    return found == this->routes.end() ? 1 : found->second.ratio;
}

double learned_speeds::slowness(const std::string& endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end()
               ? std::exp(-this->options.optimism)
               : found->second.factor * this->kinds[found->second.kind].factor;
}

void learned_speeds::update_all(instant now)
{
    for (int sweep = 0; sweep < fitting_sweeps; ++sweep)
    {
        for (auto& [name, route] : this->routes)
            this->update_route(route, now);
        for (std::size_t kind = 0; kind < this->kinds.size(); ++kind)
            this->update_kind(kind, now);
    }
    for (auto& [id, endpoint] : this->endpoints)
        this->update_endpoint(endpoint, now);
}

void learned_speeds::tick(instant now)
{
    if (now < this->next_aging)
        return;
    this->next_aging = now + this->options.aging_interval;
    std::erase_if(this->endpoints,
                  [this, now](const auto& entry)
                  {
                      return !entry.second.is_known &&
                             now - entry.second.touched > this->options.oldest;
                  });
    this->update_all(now);
    this->log_kinds();
}

void learned_speeds::log_kinds()
{
    for (kind_state& kind : this->kinds)
    {
        if (std::abs(kind.log_factor - kind.logged_factor) < logged_change)
            continue;
        kind.logged_factor = kind.log_factor;
        this->hooks.log(log_line("kind_speed_learned")
                            .add("kind", kind.name)
                            .add("slowness", kind.factor)
                            .add("runs", kind.weight));
    }
}

bool learned_speeds::take_news()
{
    return std::exchange(this->has_news, false);
}

void learned_speeds::add_run_times(schema::learned_speeds_report& report,
                                   bool with_heard, instant now) const
{
    for (const auto& [name, route] : this->routes)
        for (const auto& [kind, one] : route.cells)
        {
            const estimate value =
                with_heard ? this->value_of(one, now) : one.seen;
            const bool is_old = now - value.as_of > this->options.oldest;
            if (value.weight < 1 || is_old ||
                report.run_times.size() >=
                    this->options.most_reported_run_times)
                continue;
            schema::learned_run_time told;
            told.route = name;
            told.kind = this->kinds[kind].name;
            told.log_ratio = value.mean;
            told.log_variance = one.log_variance;
            told.weight = value.weight;
            told.age_ms = support::whole_ms(now - value.as_of);
            report.run_times.push_back(std::move(told));
        }
}

schema::learned_speeds_report learned_speeds::take_report(bool with_endpoints,
                                                          instant now)
{
    schema::learned_speeds_report report;
    this->add_run_times(report, false, now);
    if (!with_endpoints)
        return report;
    for (auto& [id, endpoint] : this->endpoints)
    {
        const double change = this->options.reported_change;
        const bool has_changed =
            std::abs(endpoint.log_deviation - endpoint.reported) >= change;
        // Others have forgotten half of it by then.
        const bool is_due =
            std::abs(endpoint.log_deviation) >= change &&
            now - endpoint.reported_at >= this->options.endpoint_half_life;
        const bool is_told = endpoint.is_known && endpoint.seen.weight >= 1 &&
                             (has_changed || is_due);
        if (!is_told ||
            report.endpoints.size() >= this->options.most_reported_endpoints)
            continue;
        endpoint.reported = endpoint.log_deviation;
        endpoint.reported_at = now;
        schema::learned_endpoint told;
        told.id = id;
        told.born_ms = endpoint.born_ms;
        told.kind = this->kinds[endpoint.kind].name;
        told.log_deviation = endpoint.seen.mean;
        told.weight = endpoint.seen.weight;
        told.age_ms = support::whole_ms(now - endpoint.seen.as_of);
        report.endpoints.push_back(std::move(told));
    }
    return report;
}

schema::learned_speeds_report
learned_speeds::report_for_successor(bool with_endpoints, instant now) const
{
    schema::learned_speeds_report report;
    this->add_run_times(report, true, now);
    if (!with_endpoints)
        return report;
    const support::seconds half_life = this->options.endpoint_half_life;
    for (const auto& [id, endpoint] : this->endpoints)
    {
        const bool is_seen = endpoint.seen.as_of >= endpoint.heard.as_of;
        const estimate& newest = is_seen ? endpoint.seen : endpoint.heard;
        if (newest.weight_at(now, half_life) < least_told_weight ||
            std::abs(endpoint.log_deviation) < this->options.reported_change ||
            report.endpoints.size() >= this->options.most_reported_endpoints)
            continue;
        schema::learned_endpoint told;
        told.id = id;
        told.born_ms = endpoint.born_ms;
        told.kind = this->kinds[endpoint.kind].name;
        told.log_deviation = newest.mean;
        told.weight = newest.weight;
        told.age_ms = support::whole_ms(now - newest.as_of);
        report.endpoints.push_back(std::move(told));
    }
    return report;
}

bool learned_speeds::is_valid(double mean, double weight,
                              std::int64_t age_ms) const
{
    const std::int64_t oldest_ms = support::whole_ms(this->options.oldest);
    return std::isfinite(mean) && std::abs(mean) <= most_log_ratio &&
           std::isfinite(weight) && weight > 0 && age_ms >= 0 &&
           age_ms <= oldest_ms;
}

learned_speeds::estimate learned_speeds::heard_estimate(double mean,
                                                        double weight,
                                                        std::int64_t age_ms,
                                                        instant now) const
{
    return {.mean = mean,
            .weight = std::min(weight, this->options.most_reported_runs),
            .as_of = now - support::milliseconds(age_ms)};
}

bool learned_speeds::merge_run_time(const schema::learned_run_time& told,
                                    instant now)
{
    const bool is_kind_new = !this->kind_numbers.contains(told.kind);
    const bool is_usable =
        this->is_valid(told.log_ratio, told.weight, told.age_ms) &&
        std::isfinite(told.log_variance) && told.log_variance >= 0 &&
        told.log_variance <= most_log_ratio && is_name(told.route) &&
        is_name(told.kind) &&
        !(is_kind_new && this->kinds.size() >= this->options.most_kinds);
    if (!is_usable)
        return false;
    route_state* const route = this->find_or_add_route(told.route);
    if (route == nullptr)
        return false;
    cell& known = route->cells[this->number_of_kind(told.kind)];
    const estimate news =
        this->heard_estimate(told.log_ratio, told.weight, told.age_ms, now);
    const support::seconds half_life = this->options.report_half_life;
    const double before = known.heard.weight_at(now, half_life);
    const double added = news.weight_at(now, half_life);
    if (known.seen.weight < 1 && before < 1)
        known.log_variance = std::min(told.log_variance, most_variance);
    known.heard.mean =
        (before * known.heard.mean + added * news.mean) / (before + added);
    known.heard.as_of = std::max(known.heard.as_of, news.as_of);
    known.heard.weight =
        std::min(before + added, this->options.most_reported_runs);
    return true;
}

bool learned_speeds::merge_endpoint(const schema::learned_endpoint& told,
                                    instant now)
{
    if (!this->is_valid(told.log_deviation, told.weight, told.age_ms) ||
        !is_name(told.id) || !is_name(told.kind))
        return false;
    auto found = this->endpoints.find(told.id);
    if (found == this->endpoints.end())
    {
        if (this->endpoints.size() >= this->options.most_endpoints ||
            !this->kind_numbers.contains(told.kind))
            return false;
        found = this->endpoints.try_emplace(told.id).first;
        found->second.born_ms = told.born_ms;
        found->second.kind = this->kind_numbers.at(told.kind);
    }
    endpoint_state& endpoint = found->second;
    // The report is of another incarnation than the entry that was read here.
    if (endpoint.is_known && (endpoint.born_ms != told.born_ms ||
                              this->kinds[endpoint.kind].name != told.kind))
        return true;
    const estimate news =
        this->heard_estimate(told.log_deviation, told.weight, told.age_ms, now);
    endpoint.touched = now;
    if (news.as_of < endpoint.heard.as_of)
        return true;
    if (endpoint.born_ms != told.born_ms ||
        this->kinds[endpoint.kind].name != told.kind)
    {
        if (!this->kind_numbers.contains(told.kind))
            return false;
        endpoint = {.born_ms = told.born_ms,
                    .kind = this->kind_numbers.at(told.kind),
                    .touched = now};
    }
    endpoint.heard = news;
    return true;
}

void learned_speeds::merge(const std::string& peer,
                           const schema::learned_speeds_report& report,
                           bool with_endpoints, instant now)
{
    std::int64_t refused = 0;
    std::size_t left = this->options.most_reported_run_times;
    for (const schema::learned_run_time& told : report.run_times)
        if (left == 0 || !this->merge_run_time(told, now))
            ++refused;
        else
            --left;
    left = this->options.most_reported_endpoints;
    for (const schema::learned_endpoint& told : report.endpoints)
        if (!with_endpoints || left == 0 || !this->merge_endpoint(told, now))
            ++refused;
        else
            --left;
    this->last_report = now;
    this->update_all(now);
    if (refused == 0 || this->logged_peers.contains(peer) ||
        this->logged_peers.size() >= most_logged_peers)
        return;
    this->logged_peers.insert(peer);
    this->hooks.log(
        log_line("speed_report_refused", support::log_level::warning)
            .add("peer", peer)
            .add("entries", refused));
}

std::map<std::string, learned_speeds::kind_summary>
learned_speeds::kinds_now() const
{
    std::map<std::string, kind_summary> found;
    for (const kind_state& kind : this->kinds)
        found[kind.name] = {.slowness = kind.factor, .weight = kind.weight};
    return found;
}

std::optional<support::decision_clock::duration>
learned_speeds::report_age(instant now) const
{
    if (!this->last_report)
        return std::nullopt;
    return now - *this->last_report;
}

} // namespace chicorydrum::shard
