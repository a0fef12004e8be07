/// \file
/// A single-threaded libwebsockets event loop with its timers and its
/// monotonic clock.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <functional>
#include <memory>
#include <vector>

struct lws_context;

namespace chicorydrum::transport
{

struct event_loop_options
{
    /// Maximum number of open connections, incoming and outgoing together.
    unsigned max_connections = 8000;
    /// Maximum size of all headers of one request.
    unsigned max_header_bytes = 8192;
};

/// A one-shot timer of an event loop. Destroying it cancels it.
class timer
{
public:
    struct state;

    explicit timer(std::unique_ptr<state> owned);
    timer(timer&&) noexcept;
    timer& operator=(timer&&) noexcept;
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    ~timer();

    /// Schedules the timer's callback to run once after \p delay, replacing
    /// any earlier schedule.
    void start(support::decision_clock::duration delay);
    void cancel();

private:
    std::unique_ptr<state> owned_state;
};

/// Owns the libwebsockets context. All callbacks run on the thread that calls
/// run_until().
class event_loop
{
public:
    explicit event_loop(const event_loop_options& options);
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// Processes events until \p is_done, evaluated after each batch, returns
    /// true.
    void run_until(const std::function<bool()>& is_done);

    /// Returns the monotonic time since an arbitrary start. Unlike the timers,
    /// it counts the time for which the machine is suspended.
    static support::instant now();

    /// Returns a stopped timer that runs \p callback each time it fires.
    timer make_timer(std::function<void()> callback);

    /// Keeps the state of a destroyed object alive. The library may pass it to
    /// callbacks until the loop has closed its connections.
    void retire(std::shared_ptr<void> state)
    {
        this->retired.push_back(std::move(state));
    }

    /// Makes the loop pause after each batch of events, until end_pacing() was
    /// called as often: the library polls without waiting meanwhile.
    void begin_pacing()
    {
        ++this->paced;
    }
    void end_pacing()
    {
        --this->paced;
    }

    lws_context* context() const
    {
        return this->native;
    }

private:
    lws_context* native;
    int paced = 0;
    /// Destroyed after the context.
    std::vector<std::shared_ptr<void>> retired;
};

} // namespace chicorydrum::transport
