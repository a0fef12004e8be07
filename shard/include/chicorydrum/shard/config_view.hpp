/// \file
/// The active configuration of this host: routes from jobs to pools.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
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
    /// Host header and path prefix that select this route.
    std::string host;
    std::string prefix;
    std::string pool;
    std::int64_t timeout_ms = 0;
    std::int64_t slack_ms = 0;
    double stretch = 1;
    int priority = 0;
    int max_attempts = 1;
};

/// Fails with bad_request if a member is out of its range.
support::result<void> check(const job_route& route);

struct routing_config
{
    std::int64_t version = 0;
    std::vector<job_route> routes;
    /// The configuration as it was read, for sharing with peers.
    std::shared_ptr<const std::string> document;
    /// The part of the document that each route was decoded from, by index. A
    /// later document with the same part has the same route.
    std::vector<std::string_view> route_texts;
};

/// A document that is decoded in several steps.
struct config_decoding
{
    std::int64_t version = 0;
    /// Decodes up to that many routes that no earlier configuration has.
    /// Returns nothing until the whole document is decoded. Must not be called
    /// any more after that.
    std::function<std::optional<support::result<routing_config>>(int routes)>
        step;
};

/// A route and the rest of the path after its prefix.
struct route_match
{
    const job_route* route = nullptr;
    std::string rest;
};

class config_view
{
public:
    /// Activates \p config if it is newer than the active one.
    bool accept(routing_config config);

    /// Returns the route of \p host with the longest prefix of \p path.
    std::optional<route_match> match(std::string_view host,
                                     std::string_view path) const;

    /// Returns the route with that name, or nullptr.
    const job_route* find(std::string_view name) const;

    schema::job_policy terms_of(const job_route& route) const;

    /// Returns 0 until a configuration is known.
    std::int64_t version() const
    {
        return this->current->version;
    }
    const std::shared_ptr<const routing_config>& config() const
    {
        return this->current;
    }

private:
    // The version never decreases while the process runs.
    std::shared_ptr<const routing_config> current =
        std::make_shared<const routing_config>();
};

} // namespace chicorydrum::shard
