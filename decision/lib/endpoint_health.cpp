#include "chicorydrum/decision/endpoint_health.hpp"

#include <algorithm>
#include <array>

namespace chicorydrum::decision
{

namespace
{

constexpr double outcome_decay = 0.98;
constexpr double suspect_score = 0.8;
constexpr double ejection_score = 2.5;
constexpr double success_score_reduction = 0.5;
/// Weight of a failure while too few outcomes of the kind are known from other
/// endpoints.
constexpr double default_failure_weight = 0.5;
constexpr double min_outcomes_elsewhere = 3;

} // namespace

std::string_view name_of(health_state state)
{
    static constexpr std::array<std::string_view, 4> names = {
        "healthy", "suspect", "ejected", "on_trial"};
    return names[static_cast<std::size_t>(state)];
}

void endpoint_health::outcome_counts::add(bool is_success)
{
    this->succeeded *= outcome_decay;
    this->failed *= outcome_decay;
    (is_success ? this->succeeded : this->failed) += 1;
}

void endpoint_health::succeeded(const std::string& endpoint,
                                const std::string& kind)
{
    endpoint_record& record = this->endpoints[endpoint];
    record.by_kind[kind].add(true);
    this->kinds[kind].add(true);
    record.pause = support::milliseconds(0);
    record.score = std::max(0.0, record.score - success_score_reduction);
    if (!record.ejected)
        return;
    record.ejected = false;
    record.score = 0;
    record.backoff = support::milliseconds(0);
    --this->ejected_count;
}

double endpoint_health::weight_of_failure(const endpoint_record& record,
                                          const std::string& kind) const
{
    const outcome_counts& total = this->kinds.at(kind);
    const outcome_counts& own = record.by_kind.at(kind);
    const double failed = std::max(0.0, total.failed - own.failed);
    const double succeeded = std::max(0.0, total.succeeded - own.succeeded);
    if (failed + succeeded < min_outcomes_elsewhere)
        return default_failure_weight;
    const double failure_rate = failed / (failed + succeeded);
    return std::max(0.0, 1 - 2 * failure_rate);
}

void endpoint_health::failed(const std::string& endpoint,
                             const std::string& kind,
                             std::size_t listed_endpoints, support::instant now)
{
    endpoint_record& record = this->endpoints[endpoint];
    record.by_kind[kind].add(false);
    this->kinds[kind].add(false);
    record.score += this->weight_of_failure(record, kind);
    if (record.ejected)
    {
        this->eject(record, now);
        return;
    }
    const std::size_t max_ejected =
        listed_endpoints *
        static_cast<std::size_t>(this->options.max_ejected_percent) / 100;
    if (record.score < ejection_score || this->ejected_count >= max_ejected)
        return;
    record.ejected = true;
    ++this->ejected_count;
    this->eject(record, now);
}

void endpoint_health::eject(endpoint_record& record, support::instant now)
{
    record.backoff = std::clamp(record.backoff * 2, this->options.first_backoff,
                                this->options.max_backoff);
    record.ejected_until = now + record.backoff;
}

void endpoint_health::refused(const std::string& endpoint, support::instant now)
{
    endpoint_record& record = this->endpoints[endpoint];
    record.pause =
        std::clamp(record.pause * 2, this->options.first_refusal_pause,
                   this->options.max_refusal_pause);
    record.paused_until = now + record.pause;
}

health_state endpoint_health::state(const std::string& endpoint,
                                    support::instant now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return health_state::healthy;
    const endpoint_record& record = found->second;
    if (record.ejected)
        return now < record.ejected_until ? health_state::ejected
                                          : health_state::on_trial;
    return record.score >= suspect_score ? health_state::suspect
                                         : health_state::healthy;
}

bool endpoint_health::is_paused(const std::string& endpoint,
                                support::instant now) const
{
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && now < found->second.paused_until;
}

void endpoint_health::forget(const std::string& endpoint)
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end())
        return;
    if (found->second.ejected)
        --this->ejected_count;
    this->endpoints.erase(found);
}

} // namespace chicorydrum::decision
