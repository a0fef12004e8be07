#include "fake_endpoint.hpp"

#include <algorithm>

namespace chicorydrum::fleet
{

using decision::attempt_finished;
using decision::attempt_outcome;

bool fake_endpoint::start(event_queue& queue, event_queue::duration run_time,
                          const std::string& attempt,
                          const std::string& payload,
                          const std::function<void(attempt_finished)>& done)
{
    constexpr support::milliseconds quick_failure{2};
    if (this->mode == endpoint_mode::refuse ||
        this->running >= this->listing.connections)
    {
        attempt_finished refused;
        refused.outcome = attempt_outcome::refused;
        done(refused);
        return false;
    }
    this->attempts[attempt] = std::nullopt;
    if (this->mode == endpoint_mode::silent)
        return true;
    this->most_running = std::max(this->most_running, ++this->running);
    const bool fails = this->mode == endpoint_mode::fail_all;
    // More tasks than slots share the processors.
    const double oversubscription =
        std::max(1.0, static_cast<double>(this->running) / this->listing.slots);
    const auto actual_run_time =
        fails ? event_queue::duration(quick_failure)
              : event_queue::duration(static_cast<std::int64_t>(
                    static_cast<double>(run_time.count()) * this->slowness *
                    oversubscription));
    queue.after(actual_run_time,
                [this, fails, attempt, payload, done]
                {
                    --this->running;
                    attempt_finished ended;
                    ended.outcome = fails ? attempt_outcome::failed
                                          : attempt_outcome::succeeded;
                    if (!fails)
                        ended.result = "done:" + payload;
                    this->attempts[attempt] = ended;
                    if (this->mode != endpoint_mode::lose_answers)
                        done(ended);
                });
    return true;
}

decision::attempt_checked fake_endpoint::check(const std::string& attempt) const
{
    using decision::attempt_check;
    decision::attempt_checked checked;
    if (this->mode == endpoint_mode::silent)
        return checked;
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end())
    {
        checked.state = attempt_check::unknown;
        return checked;
    }
    if (!found->second)
    {
        checked.state = attempt_check::running;
        return checked;
    }
    const bool succeeded = found->second->outcome == attempt_outcome::succeeded;
    checked.state =
        succeeded ? attempt_check::succeeded : attempt_check::failed;
    checked.result = found->second->result;
    return checked;
}

} // namespace chicorydrum::fleet
