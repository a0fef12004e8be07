/// \file
/// Keeps the ids of cancelled jobs in the platform's store, which outlasts all
/// processes: a job's request may arrive once more after all of them were lost.
#pragma once

#include "chicorydrum/support/clock.hpp"
#include "chicorydrum/support/log.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// Asks for the ids of all cancelled jobs in the store.
struct cancelled_read
{
    /// Continues an earlier answer that did not hold them all.
    std::string from = {};
};

struct cancelled_rows
{
    /// The store has answered.
    bool is_read = false;
    std::vector<std::string> ids = {};
    /// If there are more, the key from which the next read has to continue.
    std::string next_key = {};
    /// Rows that name no job.
    std::size_t malformed = 0;
};

/// A transaction of the store.
struct cancelled_write
{
    std::vector<std::string> added = {};
    std::vector<std::string> removed = {};
};

struct cancellation_store_hooks
{
    std::function<void(const cancelled_read&)> read;
    std::function<void(const cancelled_write&)> write;
    /// The answer to a job's caller need not wait for the store any more.
    std::function<void(const std::string& id)> kept;
    /// A process that is gone has cancelled a job.
    std::function<void(const std::string& id)> found;
    std::function<void(const support::log_line&)> log;
};

struct cancellation_store_options
{
    /// How long an answer waits for the store. Without it the cancellation is
    /// kept by processes only, as long as one of them lives.
    support::milliseconds patience{500};
    /// How long a row stays: the same as processes remember it.
    support::milliseconds retention{30000};
    /// Rows of processes that are gone are removed by all that have read them,
    /// at times that differ by up to this.
    support::milliseconds removal_spread{10000};
    /// Interval between writes of this host: 300 hosts in a wave of cancels
    /// make 600 a second, the least that deployments allow.
    support::milliseconds write_interval{500};
    support::milliseconds first_backoff{250};
    support::milliseconds longest_backoff{2000};
    /// Entries of one transaction; the store takes 100.
    std::size_t max_entries = 100;
    /// Jobs that are kept at the same time.
    std::size_t max_jobs = 4096;
    std::uint64_t seed = 0;
};

class cancellation_store
{
public:
    cancellation_store(cancellation_store_options opts,
                       cancellation_store_hooks callbacks);

    /// Writes that job \p id is cancelled, soon.
    void add(const std::string& id, support::instant now);
    /// Returns whether the answer to the caller of job \p id need not wait: it
    /// is stored, or the store does not answer.
    bool is_kept(const std::string& id) const;
    void rows_read(const cancelled_rows& rows, support::instant now);
    void written(bool is_written, support::instant now);
    void tick(support::instant now);

    /// Returns whether this process knows what earlier ones have stored.
    bool has_read() const
    {
        return this->is_complete;
    }

private:
    struct entry
    {
        support::instant since;
        bool is_stored = false;
        bool is_kept = false;
    };

    void read_if_due(support::instant now);
    void write_if_due(support::instant now);
    void end_waits(support::instant now);
    void remove_after(const std::string& id, support::milliseconds delay,
                      support::instant now);

    cancellation_store_options options;
    cancellation_store_hooks hooks;
    std::minstd_rand random;
    std::map<std::string, entry> jobs;
    /// Not stored yet, oldest first.
    std::deque<std::string> to_add;
    /// By when they are due.
    std::multimap<support::instant, std::string> to_remove;
    /// Answers wait for these.
    std::set<std::string> waiting;
    /// The write under way.
    cancelled_write sent;
    bool is_writing = false;
    support::instant next_write;
    support::milliseconds backoff{0};
    bool is_reading = false;
    bool is_complete = false;
    std::string read_from;
    support::instant next_read;
};

} // namespace chicorydrum::shard
