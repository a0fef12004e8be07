/// \file
/// The submissions that this host owns, used to detect resubmissions.
#pragma once

#include "chicorydrum/decision/submission_record.hpp"
#include "chicorydrum/support/ids.hpp"

#include <deque>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorydrum::decision
{

struct submission_table_options
{
    support::milliseconds max_age{600000};
    std::size_t max_bytes = 64U << 20U;
    /// Maximum number of recorded refusals.
    std::size_t max_refusals = 1000000;
};

/// Status of an id in the table.
enum class id_status
{
    /// Never seen: the submission may be accepted.
    fresh,
    /// find() returns its record.
    recorded,
    /// Answered as refused: the id cannot be used again.
    refused,
    /// Its record may have been purged: the submission must not run.
    forgotten,
};

/// Owns the records of this host's submissions and purges them by age and
/// size. It keeps the highest home generation of any purged record, so that a
/// purged id is never mistaken for a fresh one.
class submission_table
{
public:
    explicit submission_table(submission_table_options opts) : options(opts)
    {
    }

    id_status look_up(const support::submission_id& id) const;

    /// Returns the record of \p id, or null.
    record_ptr find(const std::string& id) const;

    /// Returns the error with which \p id was refused; look_up() must have
    /// returned `refused`.
    support::error_kind refusal_of(const std::string& id) const;

    void insert(const record_ptr& record);

    /// Records that \p id was answered as not run, so that a later duplicate
    /// does not run.
    void remember_refusal(const support::submission_id& id,
                          support::error_kind kind, support::instant now);

    /// Updates the byte counts for \p record, which has finished; removes it if
    /// it is anonymous.
    void finished(const record_ptr& record, support::instant now);

    /// Returns unfinished records whose deadline has passed, each once.
    std::vector<record_ptr> take_expired(support::instant now);

    void purge(support::instant now);

    /// Returns all records with an id, for the handover of a planned stop.
    std::vector<record_ptr> all() const;

    /// Returns the highest home generation of which records may have been
    /// purged.
    std::int64_t forgotten_generation() const
    {
        return this->purged_generation;
    }
    /// Returns all unfinished records, ordered by id.
    std::vector<record_ptr> unfinished_records() const;
    std::size_t unfinished() const
    {
        return this->open_count;
    }
    /// Returns the bytes of unfinished records, including payloads.
    std::size_t open_bytes() const
    {
        return this->open_bytes_used;
    }
    std::size_t kept_bytes() const
    {
        return this->kept_bytes_used;
    }

private:
    struct expiry
    {
        support::instant deadline;
        std::weak_ptr<submission_record> record;

        bool operator>(const expiry& other) const
        {
            return this->deadline > other.deadline;
        }
    };

    struct kept_answer
    {
        support::instant finished_at;
        std::string id;
        std::size_t bytes = 0;
    };

    /// Stores only a hash of the id, as overload causes many refusals. A hash
    /// collision is harmless: the second id is refused and does not run.
    struct refusal
    {
        std::size_t id_hash = 0;
        std::int64_t generation = 0;
        support::instant refused_at;
    };

    void forget_refusals(support::instant now);

    submission_table_options options;
    std::unordered_map<std::string, record_ptr> records;
    std::priority_queue<expiry, std::vector<expiry>, std::greater<>> expiries;
    // Finished records in order of completion.
    std::deque<kept_answer> kept;
    std::unordered_map<std::size_t, support::error_kind> refusals;
    std::deque<refusal> refusals_by_age;
    std::int64_t purged_generation = 0;
    std::size_t open_count = 0;
    std::size_t open_bytes_used = 0;
    std::size_t kept_bytes_used = 0;
};

} // namespace chicorydrum::decision
