/// \file
/// Endpoints in virtual time: slots, speed and failure modes.
#pragma once

#include "event_queue.hpp"

#include "chicorydrum/decision/messages.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace chicorydrum::fleet
{

enum class endpoint_mode
{
    ok,
    /// Starts everything and fails it quickly.
    fail_all,
    /// Starts everything and never answers.
    silent,
    /// Runs everything; each answer is lost with its connection.
    lose_answers,
    /// Refuses everything and reports that it did not start.
    refuse,
};

struct fake_endpoint
{
    decision::endpoint_listing listing;
    endpoint_mode mode = endpoint_mode::ok;
    /// Run times are multiplied by this.
    double slowness = 1;
    int running = 0;
    int most_running = 0;
    /// Attempts that began here, with their outcome once they ended.
    std::map<std::string, std::optional<decision::attempt_finished>> attempts;

    /// Begins one attempt of a task that takes \p run_time on an endpoint of
    /// slowness 1. Calls \p done once, or never if the endpoint is silent or
    /// loses its answers. Returns false if it refused the attempt.
    bool start(event_queue& queue, event_queue::duration run_time,
               const std::string& attempt, const std::string& payload,
               const std::function<void(decision::attempt_finished)>& done);

    /// Returns the state of an attempt as read over a new connection.
    decision::attempt_checked check(const std::string& attempt) const;
};

} // namespace chicorydrum::fleet
