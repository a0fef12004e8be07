#include "chicorydrum/shard/config_view.hpp"

namespace chicorydrum::shard
{

bool config_view::accept(routing_config config)
{
    if (config.version <= this->current.version)
        return false;
    this->current = std::move(config);
    return true;
}

std::optional<route_match> config_view::match(std::string_view host,
                                              std::string_view path) const
{
    const job_route* best = nullptr;
    for (const job_route& route : this->current.routes)
    {
        if (route.host != host || !path.starts_with(route.prefix))
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    if (best == nullptr)
        return std::nullopt;
    return route_match{.route = best,
                       .rest = std::string(path.substr(best->prefix.size()))};
}

schema::job_policy config_view::terms_of(const job_route& route) const
{
    schema::job_policy terms;
    terms.pool = route.pool;
    terms.max_attempts = route.max_attempts;
    terms.priority = route.priority;
    terms.slack_ms = route.slack_ms;
    terms.stretch = route.stretch;
    terms.config_version = this->current.version;
    return terms;
}

} // namespace chicorydrum::shard
