#include "chicorydrum/shard/config_view.hpp"

#include "chicorydrum/support/validation.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

namespace
{

/// Sets the members of \p terms that depend on the route only.
void set_terms(schema::job_policy& terms, const job_route& route)
{
    terms.pool = route.pool;
    terms.max_attempts = route.max_attempts;
    terms.priority = route.priority;
    terms.slack_ms = route.slack_ms;
    terms.stretch = route.stretch;
}

} // namespace

support::result<void> check(const job_route& route)
{
    const bool is_selectable = !route.name.empty() && !route.host.empty() &&
                               !route.pool.empty() &&
                               route.prefix.starts_with("/");
    if (!is_selectable)
        return support::fail(support::error_kind::bad_request,
                             "a route's name, host, prefix or pool is empty "
                             "or malformed");
    if (route.timeout_ms < 0 || route.timeout_ms > support::max_span_ms)
        return support::fail(support::error_kind::bad_request,
                             "timeout_ms is not in range");
    schema::job_policy terms;
    set_terms(terms, route);
    return support::check(terms);
}

bool config_view::accept(routing_config config)
{
    if (config.version <= this->current->version)
        return false;
    this->current = std::make_shared<const routing_config>(std::move(config));
    return true;
}

std::optional<route_match> config_view::match(std::string_view host,
                                              std::string_view path) const
{
    const job_route* best = nullptr;
    for (const job_route& route : this->current->routes)
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

const job_route* config_view::find(std::string_view name) const
{
    const std::vector<job_route>& routes = this->current->routes;
    const auto found = std::find_if(routes.begin(), routes.end(),
                                    [name](const job_route& route)
                                    { return route.name == name; });
    return found == routes.end() ? nullptr : &*found;
}

schema::job_policy config_view::terms_of(const job_route& route) const
{
    schema::job_policy terms;
    set_terms(terms, route);
    terms.config_version = this->current->version;
    return terms;
}

} // namespace chicorydrum::shard
