#include "chicorydrum/decision/endpoint_pool.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chicorydrum::decision
{

namespace
{

/// A list that lost more than this part of the endpoints is doubted.
constexpr double doubted_loss = 0.5;
constexpr std::size_t min_doubted_size = 2;

/// A hash that is the same on every host and in every build.
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
        const bool is_doubtful = candidate.health != health_state::healthy;
        return std::pair(is_doubtful, candidate.endpoint->slowness);
    };
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i)
        if (rank(candidates[i]) < rank(candidates[best]))
            best = i;
    return best;
}

endpoint_pool::endpoint_pool(endpoint_pool_options given)
    : options(std::move(given)), health_records(this->options.health)
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
    std::size_t kept = 0;
    for (const auto& [name, state] : this->states)
        kept += listed.contains(name) ? 1 : 0;
    const bool lost_most =
        this->states.size() >= min_doubted_size &&
        static_cast<double>(kept) < known * (1 - doubted_loss);
    const bool is_doubted = lost_most || listings.empty();

    std::vector<std::string> stopped;
    for (auto position = this->states.begin(); position != this->states.end();)
    {
        endpoint_state& state = position->second;
        const auto found = listed.find(position->first);
        const bool took_work = state.may_start();
        if (found != listed.end())
        {
            state.listing = found->second;
            state.listed = true;
        }
        else if (!is_doubted)
            state.listed = false;
        if (took_work && !state.may_start())
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
    const auto found = std::find(this->sharers.begin(), this->sharers.end(),
                                 this->options.self);
    if (found == this->sharers.end())
        return 0;
    const auto count = static_cast<int>(this->sharers.size());
    const auto rank = static_cast<int>(found - this->sharers.begin());
    const int equal = endpoint.slots / count;
    const int rest = endpoint.slots % count;
    // The rest goes to other hosts at other endpoints.
    const auto turn = static_cast<int>(stable_hash(endpoint.name) %
                                       static_cast<std::size_t>(count));
    return equal + ((rank + turn) % count < rest ? 1 : 0);
}

void endpoint_pool::set_sharing_hosts(const std::vector<std::string>& hosts,
                                      support::instant now)
{
    if (hosts == this->sharers)
        return;
    // A new host knows its peers only once their links are open.
    constexpr int first_settling_factor = 3;
    const int factor = this->sharers.empty() ? first_settling_factor : 1;
    this->sharers = hosts;
    // Shares shrink at once; they grow when the former holders know.
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
    const double core_part =
        endpoint.millicores > 0 ? size.millicores / endpoint.millicores : 0;
    const double memory_part =
        endpoint.memory_mb > 0 ? size.memory_mb / endpoint.memory_mb : 0;
    const double slots = std::max(core_part, memory_part) * endpoint.slots;
    // A task may take up to a slot's part and a little more for rounding.
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
                                      const std::string& held_back,
                                      support::instant now)
{
    this->candidates.clear();
    for (auto& [name, state] : this->states)
    {
        if (!state.may_start() || state.free() <= 0 || name == held_back ||
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
