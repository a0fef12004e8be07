/// \file
/// The metrics of an entry host of the platform in Prometheus' text format.
#pragma once

#include "chicorydrum/shard/entry_host.hpp"

#include <memory>
#include <string>

namespace chicorydrum::daemon
{

/// Counters of the links and the HTTP server, passed in at each scrape.
struct entry_counts
{
    std::int64_t peer_bytes_sent = 0;
    /// Of these, parts of configurations.
    std::int64_t peer_config_bytes_sent = 0;
    std::int64_t peer_bytes_received = 0;
    std::size_t open_exchanges = 0;
};

class entry_metrics
{
public:
    entry_metrics();
    ~entry_metrics();

    /// Records the time from a caller's request to its answer.
    void observe_answer(shard::answer_kind kind,
                        support::decision_clock::duration took);

    /// Records the time from a run's stop to the list that shows its end.
    void observe_stop(support::decision_clock::duration took);
    /// Records the start of a task for which places were weighed.
    void observe_place(shard::place_outcome outcome,
                       support::decision_clock::duration waited);
    /// Records the time between two ticks.
    void observe_tick_gap(support::decision_clock::duration gap);

    /// Returns all metrics as text.
    std::string scrape(const shard::entry_host& host,
                       const entry_counts& counts);

    std::int64_t requests = 0;
    std::int64_t starts = 0;
    std::int64_t stops = 0;
    std::int64_t lists = 0;
    std::int64_t store_reads = 0;
    std::int64_t store_writes = 0;

private:
    struct families;
    std::unique_ptr<families> pimpl;
};

} // namespace chicorydrum::daemon
