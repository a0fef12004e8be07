/// \file
/// The metrics of one host in Prometheus' text format.
#pragma once

#include "chicorydrum/decision/dispatcher.hpp"

#include <memory>
#include <string>

namespace chicorydrum::daemon
{

/// Counts that tasks outside the decisions keep.
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

    /// Notes how long an answer took inside this host.
    void observe_answer(support::decision_clock::duration took);

    /// The text for one scrape.
    std::string scrape(const decision::dispatcher& decisions,
                       const transport_counts& counts);

private:
    struct families;
    std::unique_ptr<families> pimpl;
};

} // namespace chicorydrum::daemon
