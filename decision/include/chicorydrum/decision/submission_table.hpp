/// \file
/// The submissions that this host owns: resubmissions find their record here.
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
    /// Refused submissions that are remembered.
    std::size_t max_refusals = 1000000;
};

/// What the table knows of an id.
enum class id_status
{
    /// Never seen: it may be accepted.
    fresh,
    /// find() returns its record.
    recorded,
    /// Refused, and answered so: the id is spent.
    refused,
    /// Its record may have been forgotten: it must not run.
    forgotten,
};

/// Owns the records of this host's submissions and forgets them by age and
/// bytes. It remembers up to which home generation it forgot something, so
/// that a forgotten id is never taken for a fresh one.
class submission_table
{
public:
    explicit submission_table(submission_table_options given) : options(given)
    {
    }

    id_status look_up(const support::submission_id& id) const;

    /// The record of \p id, or null.
    record_ptr find(const std::string& id) const;

    /// The refusal that was answered for \p id; valid if look_up() says so.
    support::error_kind refusal_of(const std::string& id) const;

    void insert(const record_ptr& record);

    /// Remembers that \p id was answered as not run: a copy of the submission
    /// that comes later must not run after all.
    void remember_refusal(const support::submission_id& id,
                          support::error_kind kind, support::instant now);

    /// Accounts for the final size of \p record.
    void finished(const record_ptr& record, support::instant now);

    /// Records whose deadline has come and that are not finished.
    std::vector<record_ptr> take_expired(support::instant now);

    void purge(support::instant now);

    /// All records with an id, for the handover of a planned stop.
    std::vector<record_ptr> all() const;

    /// Records of homes up to this generation may be forgotten.
    std::int64_t forgotten_generation() const
    {
        return this->purged_generation;
    }
    /// All records without a final outcome, oldest id first.
    std::vector<record_ptr> unfinished_records() const;
    std::size_t unfinished() const
    {
        return this->open_count;
    }
    /// Bytes of unfinished records, payloads included.
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

    /// Floods bring many refusals, so only a hash of the id is kept. Two ids
    /// with one hash are harmless: the second is refused, and does not run.
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
    // Finished records in the order in which they finished.
    std::deque<kept_answer> kept;
    std::unordered_map<std::size_t, support::error_kind> refusals;
    std::deque<refusal> refusals_by_age;
    std::int64_t purged_generation = 0;
    std::size_t open_count = 0;
    std::size_t open_bytes_used = 0;
    std::size_t kept_bytes_used = 0;
};

} // namespace chicorydrum::decision
