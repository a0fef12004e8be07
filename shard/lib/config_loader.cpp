#include "chicorydrum/shard/config_loader.hpp"

#include <algorithm>
#include <utility>

namespace chicorydrum::shard
{

using support::instant;
using support::log_level;
using support::log_line;

int routes_for_share(double share)
{
    constexpr double routes_per_core = 800;
    constexpr double least = 20;
    constexpr double most = 2000;
    return static_cast<int>(std::clamp(share * routes_per_core, least, most));
}

config_loader::config_loader(config_loader_options opts,
                             config_loader_hooks callbacks)
    : options(opts), hooks(std::move(callbacks))
{
}

std::int64_t config_loader::arrived_version() const
{
    if (this->next)
        return this->next->decoding.version;
    return this->current ? this->current->decoding.version
                         : this->view.version();
}

std::int64_t config_loader::offer(std::string document,
                                  const std::string& source, instant now)
{
    auto opened = this->hooks.open(std::move(document), this->view.config());
    if (!opened)
    {
        this->hooks.log(log_line("config_malformed", log_level::warning)
                            .add("source", source)
                            .add("problem", opened.error().detail));
        return 0;
    }
    const std::int64_t version = opened->version;
    if (version <= this->arrived_version())
        return version;
    this->hooks.log(log_line("config_arrived")
                        .add("version", version)
                        .add("active", this->view.version())
                        .add("source", source));
    loading arrived{
        .decoding = std::move(*opened), .source = source, .arrived_at = now};
    if (this->current)
    {
        this->next = std::move(arrived);
        return version;
    }
    this->current = std::move(arrived);
    this->step(now);
    return version;
}

void config_loader::tick(instant now)
{
    if (this->current)
        this->step(now);
}

void config_loader::step(instant now)
{
    ++this->current->turns;
    auto decoded = this->current->decoding.step(this->options.routes_per_turn);
    if (!decoded)
        return;
    const loading done = std::move(*this->current);
    this->current = std::exchange(this->next, std::nullopt);
    if (*decoded)
        this->activate(std::move(**decoded), done, now);
    else
        this->hooks.log(log_line("config_malformed", log_level::warning)
                            .add("source", done.source)
                            .add("version", done.decoding.version)
                            .add("problem", decoded->error().detail));
}

void config_loader::activate(routing_config config, const loading& from,
                             instant now)
{
    const std::int64_t version = config.version;
    const std::int64_t before = this->view.version();
    const auto routes = static_cast<std::int64_t>(config.routes.size());
    if (!this->view.accept(std::move(config)))
        return;
    this->hooks.log(
        log_line("config_activated")
            .add("version", version)
            .add("before", before)
            .add("routes", routes)
            .add("source", from.source)
            .add("turns", from.turns)
            .add("age_ms", support::whole_ms(now - from.arrived_at)));
    this->hooks.activated();
}

} // namespace chicorydrum::shard
