/// \file
/// The configuration in force on this host: routes of jobs to pools.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorydrum::shard
{

/// How one queue of jobs is admitted and routed.
struct job_route
{
    std::string name;
    /// The Host header and the start of the path that choose this route.
    std::string host;
    std::string prefix;
    std::string pool;
    std::int64_t timeout_ms = 0;
    std::int64_t slack_ms = 0;
    double stretch = 1;
    int priority = 0;
    int max_attempts = 1;
};

struct routing_config
{
    std::int64_t version = 0;
    std::vector<job_route> routes;
    /// The configuration as it was read, to share it with peers.
    std::string document;
};

/// A route and what follows its prefix in the path.
struct route_match
{
    const job_route* route = nullptr;
    std::string rest;
};

class config_view
{
public:
    /// Puts \p config in force if it is newer than the one in force.
    bool accept(routing_config config);

    /// The route with the longest prefix of \p path under \p host.
    std::optional<route_match> match(std::string_view host,
                                     std::string_view path) const;

    schema::job_policy terms_of(const job_route& route) const;

    /// 0 while no configuration is known.
    std::int64_t version() const
    {
        return this->current.version;
    }
    const std::string& document() const
    {
        return this->current.document;
    }

private:
    // Versions never fall within a process's life.
    routing_config current;
};

} // namespace chicorydrum::shard
