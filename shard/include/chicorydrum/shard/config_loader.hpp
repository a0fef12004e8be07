/// \file
/// Brings documents with configurations into force: skips those that are not
/// newer, and decodes large ones in several turns of the loop, so that a host
/// with a small share of a core still does its other work. Performs no input or
/// output itself.
#pragma once

#include "chicorydrum/shard/config_view.hpp"
#include "chicorydrum/support/clock.hpp"
#include "chicorydrum/support/log.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chicorydrum::shard
{

/// Begins to decode a document; routes that \p known has are taken over. Fails
/// with bad_request if the document has no version or no list of routes.
using config_opener = std::function<support::result<config_decoding>(
    std::string document, std::shared_ptr<const routing_config> known)>;

struct config_loader_hooks
{
    config_opener open;
    /// The active configuration has changed.
    std::function<void()> activated;
    std::function<void(const support::log_line&)> log;
};

struct config_loader_options
{
    /// Routes that are decoded in a turn; see routes_for_share().
    int routes_per_turn = 100;
};

/// Returns how many routes a host with \p share of a core decodes in about a
/// third of the processor time that it has between two ticks.
int routes_for_share(double share);

class config_loader
{
public:
    config_loader(config_loader_options opts, config_loader_hooks callbacks);

    /// A document has arrived from \p source. Decodes the first routes. Returns
    /// its version, or 0 if it has none.
    std::int64_t offer(std::string document, const std::string& source,
                       support::instant now);
    /// Decodes more routes of the document under way.
    void tick(support::instant now);

    const config_view& active() const
    {
        return this->view;
    }
    /// Returns the newest version that is active, is decoded or waits for that.
    std::int64_t arrived_version() const;

private:
    struct loading
    {
        config_decoding decoding;
        std::string source;
        support::instant arrived_at;
        int turns = 0;
    };

    void step(support::instant now);
    void activate(routing_config config, const loading& from,
                  support::instant now);

    config_loader_options options;
    config_loader_hooks hooks;
    config_view view;
    /// Its version is higher than the active one.
    std::optional<loading> current;
    /// The newest of the later ones; its version is higher than the current
    /// one's. What is under way is finished first, so that changes in series
    /// are in force too.
    std::optional<loading> next;
};

} // namespace chicorydrum::shard
