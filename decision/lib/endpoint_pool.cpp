#include "chicorydrum/decision/endpoint_pool.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chicorydrum::decision
{

namespace
{

/// A host list that lacks more than this fraction of the known endpoints is
/// considered implausible.
constexpr double implausible_loss = 0.5;
constexpr std::size_t min_known_endpoints = 2;

/// Returns a hash (FNV-1a) that is the same on every host and in every build.
std::size_t stable_hash(const std::string& name)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : name)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return static_cast<std::size_t>(hash >> 16U);
}

} // namespace

std::size_t choose_fastest(const std::vector<route_candidate>& candidates)
{
    const auto rank = [](const route_candidate& candidate)
    {
        const bool is_unhealthy = candidate.health != health_state::healthy;
        return std::pair(is_unhealthy, candidate.endpoint->slowness);
    };
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i)
        if (rank(candidates[i]) < rank(candidates[best]))
            best = i;
    return best;
}

endpoint_pool::endpoint_pool(endpoint_pool_options opts)
    : options(std::move(opts)), health_records(this->options.health)
{
}

std::vector<std::string>
endpoint_pool::update(const std::vector<endpoint_listing>& listings)
{
    std::map<std::string, endpoint_listing> listed;
    for (const endpoint_listing& listing : listings)
        if (listing.domain == this->options.domain)
            listed.emplace(listing.name, listing);
    const auto known = static_cast<double>(this->states.size());
    std::size_t remaining = 0;
    for (const auto& [name, state] : this->states)
        remaining += listed.contains(name) ? 1 : 0;
    const bool lost_most =
        this->states.size() >= min_known_endpoints &&
        static_cast<double>(remaining) < known * (1 - implausible_loss);
    const bool is_implausible = lost_most || listings.empty();

    std::vector<std::string> stopped;
    for (auto position = this->states.begin(); position != this->states.end();)
    {
        endpoint_state& state = position->second;
        const auto found = listed.find(position->first);
        const bool accepted_work = state.may_start();
        if (found != listed.end())
        {
            state.listing = found->second;
            state.listed = true;
        }
        else if (!is_implausible)
            state.listed = false;
        if (accepted_work && !state.may_start())
            stopped.push_back(position->first);
        const bool is_unused =
            state.attempts == 0 && state.lent == 0 && state.borrowed == 0;
        if (!state.listed && is_unused)
        {
            this->health_records.forget(position->first);
            this->model.forget_endpoint(position->first);
            position = this->states.erase(position);
            continue;
        }
        ++position;
    }
    for (const auto& [name, listing] : listed)
    {
        const auto [position, is_new] = this->states.try_emplace(name);
        if (!is_new)
            continue;
        position->second.listing = listing;
        position->second.slowness = this->model.slowness(name);
        position->second.share = this->share_of(listing);
    }
    return stopped;
}

int endpoint_pool::share_of(const endpoint_listing& endpoint) const
{
    const auto found = std::find(this->sharing_hosts.begin(),
                                 this->sharing_hosts.end(), this->options.self);
    if (found == this->sharing_hosts.end())
        return 0;
    const auto count = static_cast<int>(this->sharing_hosts.size());
    const auto rank = static_cast<int>(found - this->sharing_hosts.begin());
    const int quotient = endpoint.slots / count;
    const int remainder = endpoint.slots % count;
    // Which hosts get the remainder varies by endpoint.
    const auto offset = static_cast<int>(stable_hash(endpoint.name) %
                                         static_cast<std::size_t>(count));
    return quotient + ((rank + offset) % count < remainder ? 1 : 0);
}

void endpoint_pool::set_sharing_hosts(const std::vector<std::string>& hosts,
                                      support::instant now)
{
    if (hosts == this->sharing_hosts)
        return;
    // A host that just started knows its peers only after their links open.
    constexpr int first_settling_factor = 3;
    const int factor = this->sharing_hosts.empty() ? first_settling_factor : 1;
    this->sharing_hosts = hosts;
    // Shares shrink at once; they grow only after the former holders have had
    // time to give up their slots.
    for (auto& [name, state] : this->states)
        state.share = std::min(state.share, this->share_of(state.listing));
    this->shares_grow_at = now + this->options.share_settling * factor;
    this->shares_settled = false;
}

void endpoint_pool::settle_shares(support::instant now)
{
    if (this->shares_settled || now < this->shares_grow_at)
        return;
    for (auto& [name, state] : this->states)
        state.share = this->share_of(state.listing);
    this->shares_settled = true;
}

int endpoint_pool::slots_needed(const task_size& size,
                                const endpoint_listing& endpoint)
{
    const double core_fraction =
        endpoint.millicores > 0 ? size.millicores / endpoint.millicores : 0;
    const double memory_fraction =
        endpoint.memory_mb > 0 ? size.memory_mb / endpoint.memory_mb : 0;
    const double slots =
        std::max(core_fraction, memory_fraction) * endpoint.slots;
    // Tolerates rounding errors of a task that takes exactly a slot's share.
    constexpr double tolerance = 1e-6;
    return std::max(1, static_cast<int>(std::ceil(slots - tolerance)));
}

bool endpoint_pool::fits_somewhere(const task_size& size) const
{
    return std::any_of(this->states.begin(), this->states.end(),
                       [&size](const auto& entry)
                       {
                           const endpoint_listing& listing =
                               entry.second.listing;
                           return slots_needed(size, listing) <= listing.slots;
                       });
}

endpoint_state* endpoint_pool::choose(const task_size& size,
                                      const std::string& held_endpoint,
                                      support::instant now)
{
    this->candidates.clear();
    for (auto& [name, state] : this->states)
    {
        if (!state.may_start() || state.free() <= 0 || name == held_endpoint ||
            state.attempts >= state.listing.connections)
            continue;
        const int needed = slots_needed(size, state.listing);
        if (needed > state.free() || this->health_records.is_paused(name, now))
            continue;
        const health_state health = this->health_records.state(name, now);
        const bool one_at_a_time = health != health_state::healthy;
        if (health == health_state::ejected ||
            (one_at_a_time && state.attempts > 0))
            continue;
        this->candidates.push_back(
            {.endpoint = &state, .health = health, .slots_needed = needed});
    }
    if (this->candidates.empty())
        return nullptr;
    const std::size_t chosen = this->options.policy(this->candidates);
    return this->find(this->candidates[chosen].endpoint->listing.name);
}

const endpoint_state* endpoint_pool::choose_to_hold(const task_size& size) const
{
    const endpoint_state* best = nullptr;
    const auto missing = [&size](const endpoint_state& state)
    {
        return slots_needed(size, state.listing) - state.free();
    };
    for (const auto& [name, state] : this->states)
    {
        if (!state.may_start() ||
            slots_needed(size, state.listing) > state.listing.slots)
            continue;
        if (best == nullptr || missing(state) < missing(*best))
            best = &state;
    }
    return best;
}

void endpoint_pool::started(endpoint_state& endpoint, int slots)
{
    endpoint.in_use += slots;
    ++endpoint.attempts;
}

void endpoint_pool::finished(const std::string& endpoint, int slots)
{
    endpoint_state* const state = this->find(endpoint);
    if (state == nullptr)
        return;
    state->in_use -= slots;
    --state->attempts;
}

void endpoint_pool::learn(const std::string& endpoint, const std::string& kind,
                          attempt_outcome outcome,
                          support::decision_clock::duration run_time,
                          support::instant now)
{
    switch (outcome)
    {
    case attempt_outcome::succeeded:
        this->health_records.succeeded(endpoint, kind);
        this->model.observe(kind, endpoint, run_time);
        break;
    case attempt_outcome::refused:
        this->health_records.refused(endpoint, now);
        break;
    case attempt_outcome::failed:
    case attempt_outcome::lost:
        this->health_records.failed(endpoint, kind, this->states.size(), now);
        break;
    }
    endpoint_state* const state = this->find(endpoint);
    if (state != nullptr)
        state->slowness = this->model.slowness(endpoint);
}

void endpoint_pool::merge_speeds(const schema::speed_report& report)
{
    this->model.merge(report);
    for (const schema::speed_sample& sample : report.endpoints)
    {
        endpoint_state* const state = this->find(sample.endpoint);
        if (state != nullptr)
            state->slowness = this->model.slowness(sample.endpoint);
    }
}

endpoint_state* endpoint_pool::find(const std::string& name)
{
    const auto found = this->states.find(name);
    return found == this->states.end() ? nullptr : &found->second;
}

int endpoint_pool::idle_slots() const
{
    return std::accumulate(this->states.begin(), this->states.end(), 0,
                           [](int sum, const auto& entry)
                           {
                               const endpoint_state& state = entry.second;
                               if (!state.may_start())
                                   return sum;
                               return sum + std::max(0, state.free());
                           });
}

double endpoint_pool::fastest_slowness() const
{
    const endpoint_state* fastest = nullptr;
    for (const auto& [name, state] : this->states)
        if (state.may_start() &&
            (fastest == nullptr || state.slowness < fastest->slowness))
            fastest = &state;
    return fastest == nullptr ? 1 : fastest->slowness;
}

int endpoint_pool::usable_slots() const
{
    return std::accumulate(this->states.begin(), this->states.end(), 0,
                           [](int sum, const auto& entry)
                           {
                               const endpoint_state& state = entry.second;
                               if (!state.may_start())
                                   return sum;
                               return sum + state.usable();
                           });
}

} // namespace chicorydrum::decision
