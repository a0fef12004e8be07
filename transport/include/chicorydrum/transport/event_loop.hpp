/// \file
/// One libwebsockets loop on one thread, with timers and the wall of time
/// between sockets and decisions.
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
    /// Most open connections at once, callers and back ends together.
    unsigned max_connections = 8000;
    /// Largest sum of one request's headers.
    unsigned max_header_bytes = 8192;
};

/// A timer that belongs to one task. Destroying it cancels it.
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

    /// Runs the timer's hook once, \p delay from now; replaces an earlier
    /// schedule.
    void start(support::decision_clock::duration delay);
    void cancel();

private:
    std::unique_ptr<state> owned_state;
};

/// Owns the libwebsockets context. All tasks of the loop run on its thread.
class event_loop
{
public:
    explicit event_loop(const event_loop_options& options);
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// Serves events until \p is_done, asked after each batch, is true.
    void run_until(const std::function<bool()>& is_done);

    /// Monotonic time since an arbitrary start.
    static support::instant now();

    /// A stopped timer that runs \p hook each time it fires.
    timer make_timer(std::function<void()> hook);

    /// Takes over the state of an object that has ended. The library may hand
    /// it to callbacks until the loop has closed its connections.
    void retire(std::shared_ptr<void> state)
    {
        this->retired.push_back(std::move(state));
    }

    lws_context* context() const
    {
        return this->native;
    }

private:
    lws_context* native;
    /// Destroyed after the context.
    std::vector<std::shared_ptr<void>> retired;
};

} // namespace chicorydrum::transport
