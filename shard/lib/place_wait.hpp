/// \file
/// Decides whether a task starts on an endpoint that is free, or waits for one
/// that is closer to the task's data, to the rest of its group, or faster, and
/// that is expected to be free later. Pure functions without I/O.
#pragma once

#include "capacity_forecast.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorydrum::shard
{

/// An endpoint where a task could run.
struct place_option
{
    std::string endpoint;
    /// When capacity for the task is expected to be free there.
    support::instant free_at;
    /// Expected run time there, with the endpoint's speed and the distance to
    /// the task's data.
    double run_ms = 0;
};

struct place_wait_options
{
    /// Share of an expected wait by which capacity may be free sooner or later:
    /// the callers' estimates, on which expected ends rest, are off by 0.4.
    double forecast_error = 0.4;
    /// Run times differ by more than this anyway, so that a smaller gain is
    /// not worth holding free capacity back.
    double min_gain = 0.1;
    /// The same for short tasks: orders and their answers take some
    /// milliseconds.
    support::milliseconds min_gain_time{10};
};

enum class place_reason
{
    /// The free endpoint meets the target, and no wait pays.
    ends_first,
    /// No endpoint would meet the target any more.
    late_anywhere,
    /// Only an endpoint that is not free yet can meet the target.
    target_needs_wait,
    /// Waiting and running there ends sooner than starting now.
    ends_sooner_after_wait,
};

std::string_view name_of(place_reason reason);

struct place_choice
{
    place_reason reason = place_reason::ends_first;
    /// The index of the option to wait for; nothing if the task starts now.
    std::optional<std::size_t> wait_for = {};
    /// The wait pays as long as the option is free by then.
    support::instant pays_until = {};
};

/// Weighs a start on the endpoint \p free_now against a wait for one of
/// \p later. If \p free_now misses the target, the wait pays while another
/// endpoint has a fair chance to meet it: a late answer is worth no less if it
/// comes a little later. Else it pays if the end there is sooner by more than
/// the forecast's error, and as long as \p free_now still meets the target, so
/// that a wait in vain does not make the task late.
place_choice choose_place(const place_option& free_now,
                          const std::vector<place_option>& later,
                          support::instant target, support::instant now,
                          const place_wait_options& options);

/// The expected use of endpoints during one pass over the queue. Tasks that
/// start or wait in the pass occupy capacity in the forecast that later tasks
/// see, so that a queue for one place ends where other places end sooner.
class place_bookings
{
public:
    using forecast_source =
        std::function<std::vector<endpoint_forecast>(const std::string& pool)>;

    explicit place_bookings(forecast_source source);

    /// Returns when a task with \p need is expected to fit on \p endpoint, or
    /// nothing if it never does or the endpoint gets no tasks.
    std::optional<support::instant> free_from(const std::string& pool,
                                              const std::string& endpoint,
                                              const schema::resources& need,
                                              support::instant now);
    /// A task occupies \p need on \p endpoint until \p ends.
    void book(const std::string& pool, const std::string& endpoint,
              const schema::resources& need, support::instant ends);

private:
    endpoint_forecast* find(const std::string& pool,
                            const std::string& endpoint);

    forecast_source source;
    /// By pool and endpoint; filled when a pool is first asked for.
    std::map<std::string, std::map<std::string, endpoint_forecast>> pools;
};

} // namespace chicorydrum::shard
