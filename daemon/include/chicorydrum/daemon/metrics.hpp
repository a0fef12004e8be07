/// \file
/// The metrics of a host in Prometheus' text format.
#pragma once

#include "chicorydrum/decision/dispatcher.hpp"

#include <memory>
#include <string>

namespace chicorydrum::daemon
{

/// Counters of the links, clients and HTTP server, passed in at each scrape.
struct transport_counts
{
    std::int64_t peer_bytes_sent = 0;
    std::int64_t peer_bytes_received = 0;
    std::int64_t peer_frames_rejected = 0;
    std::int64_t platform_reads = 0;
    std::int64_t platform_writes = 0;
    bool platform_available = false;
    std::size_t open_exchanges = 0;
};

class metrics
{
public:
    metrics();
    ~metrics();

    /// Records the time from a caller's request to its answer.
    void observe_answer(support::decision_clock::duration took);

    /// Returns all metrics as text.
    std::string scrape(const decision::dispatcher& dispatcher,
                       const transport_counts& counts);

private:
    struct families;
    std::unique_ptr<families> pimpl;
};

} // namespace chicorydrum::daemon
