#include "chicorydrum/transport/event_loop.hpp"

#include "client_connect.hpp"

#include "chicorydrum/support/log.hpp"

#include <ctime>
#include <stdexcept>
#include <string_view>
#include <thread>

#include <libwebsockets.h>

namespace chicorydrum::transport
{

namespace
{

/// Writes the library's error messages, such as a header flood, to the log.
void log_library_line(int /*level*/, const char* line)
{
    std::string_view text(line);
    while (!text.empty() && text.back() == '\n')
        text.remove_suffix(1);
    support::write_log(
        support::log_line("libwebsockets", support::log_level::warning)
            .add("detail", text));
}

} // namespace

struct timer::state
{
    // Must be the first member: libwebsockets passes its address to fire().
    lws_sorted_usec_list_t entry{};
    lws_context* context = nullptr;
    std::function<void()> callback;

    static void fire(lws_sorted_usec_list_t* fired)
    {
        auto* const self = reinterpret_cast<state*>(fired);
        lws_context* const context = self->context;
        // A copy, since the callback may destroy its own timer.
        const std::function<void()> callback = self->callback;
        callback();
        // Timers may run just before the loop sleeps. Wakes it, since the
        // callback may have met the condition that run_until() waits for.
        lws_cancel_service(context);
    }
};

timer::timer(std::unique_ptr<state> owned) : owned_state(std::move(owned))
{
}

timer::timer(timer&&) noexcept = default;

timer& timer::operator=(timer&& other) noexcept
{
    if (this == &other)
        return *this;
    this->cancel();
    this->owned_state = std::move(other.owned_state);
    return *this;
}

timer::~timer()
{
    this->cancel();
}

void timer::start(support::decision_clock::duration delay)
{
    // The library sleeps for whole milliseconds, rounded down, and busy-waits
    // for the rest. A delay slightly above whole milliseconds avoids that.
    constexpr support::microseconds rounding_slack{80};
    lws_sul_schedule(this->owned_state->context, 0, &this->owned_state->entry,
                     &state::fire, (delay + rounding_slack).count());
}

void timer::cancel()
{
    if (this->owned_state)
        lws_sul_cancel(&this->owned_state->entry);
}

event_loop::event_loop(const event_loop_options& options)
{
    install_library_allocator();
    lws_set_log_level(LLL_ERR, log_library_line);
    lws_context_creation_info info{};
    info.options =
        LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.fd_limit_per_thread = options.max_connections;
    info.max_http_header_pool2 = options.max_connections;
    info.max_http_header_data2 = options.max_header_bytes;
    this->native = lws_create_context(&info);
    if (this->native == nullptr)
        throw std::runtime_error("cannot create the event loop");
}

event_loop::~event_loop()
{
    lws_context_destroy(this->native);
}

/// Latency that a paced loop adds at most; polling takes a few hundredths of a
/// core then.
constexpr support::milliseconds pacing_interval{1};

void event_loop::run_until(const std::function<bool()>& is_done)
{
    while (!is_done())
    {
        lws_service(this->native, 0);
        if (this->paced > 0)
            std::this_thread::sleep_for(pacing_interval);
    }
}

support::instant event_loop::now()
{
    timespec passed{};
    clock_gettime(CLOCK_BOOTTIME, &passed);
    return support::instant(support::duration_cast<support::microseconds>(
        support::seconds(passed.tv_sec) +
        std::chrono::nanoseconds(passed.tv_nsec)));
}

timer event_loop::make_timer(std::function<void()> callback)
{
    auto created = std::make_unique<timer::state>();
    created->context = this->native;
    created->callback = std::move(callback);
    return timer(std::move(created));
}

} // namespace chicorydrum::transport
