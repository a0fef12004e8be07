/// \file
/// Signal handling and server options shared by the stand-ins.
#pragma once

#include "chicorydrum/transport/http_server.hpp"

#include <csignal>

namespace chicorydrum::standin
{

inline volatile std::sig_atomic_t stop_signalled = 0;

/// Serves until SIGTERM or SIGINT.
inline void run_until_signalled(transport::event_loop& loop)
{
    const auto stop = [](int)
    {
        stop_signalled = 1;
    };
    std::signal(SIGTERM, stop);
    std::signal(SIGINT, stop);
    // A signal does not wake the event loop, so the flag is polled.
    static constexpr support::milliseconds poll_interval{50};
    transport::timer poll_timer =
        loop.make_timer([&poll_timer] { poll_timer.start(poll_interval); });
    poll_timer.start(poll_interval);
    loop.run_until([] { return stop_signalled != 0; });
}

/// Returns the options of a server that passes requests to \p on_request.
inline transport::http_server_options make_server_options(
    transport::event_loop& loop, const std::string& address, int port,
    std::function<void(transport::exchange_id, const transport::http_request&)>
        on_request)
{
    return {.loop = loop,
            .address = address,
            .port = port,
            .on_request = std::move(on_request),
            .on_rejected = [](transport::rejection)
            {
                return transport::http_response{.status = 413};
            }};
}

} // namespace chicorydrum::standin
