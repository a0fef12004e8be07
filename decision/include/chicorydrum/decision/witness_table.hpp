/// \file
/// What this host witnessed for owners, and what it may say of their
/// submissions when they are gone.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/clock.hpp"
#include "chicorydrum/support/ids.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

struct witness_table_options
{
    support::milliseconds max_age{600000};
    std::size_t max_bytes = 64U << 20U;
};

/// How far the kind of a queried submission proves something.
enum class claim_guarantee
{
    /// The kind starts only after the witness has acknowledged the claim.
    always_claimed,
    /// The kind may start unclaimed, or it is not known which kind it is.
    may_be_unclaimed,
};

/// Claims, finished answers and closed ids of other owners. The witness never
/// starts anything.
class witness_table
{
public:
    explicit witness_table(witness_table_options given) : options(given)
    {
    }

    /// Records the claim of a submission before its first start. False if
    /// the id was closed, or may be one whose record was forgotten.
    bool claim(const schema::witness_record& record, support::instant now);

    /// Records claims and answers that the owner sent off the path.
    void record(const schema::witness_record& record, support::instant now);

    /// Takes over the complete table of an owner that stopped.
    void apply_handover(const schema::handover& table, support::instant now);

    /// What became of \p id, whose owner cannot be reached. Closes the id for
    /// good when it answers that nothing ran.
    schema::answer answer_for(const support::submission_id& id,
                              const std::string& digest, claim_guarantee rule,
                              support::instant now);

    /// Forgets records beyond the age and byte budgets, the oldest first.
    void purge(support::instant now);

    std::size_t size() const
    {
        return this->entries.size();
    }
    std::size_t bytes() const
    {
        return this->bytes_used;
    }

private:
    struct entry
    {
        schema::witness_record record;
        /// Answered as not run: a later claim is refused.
        bool closed = false;
        support::instant stored;
        std::size_t bytes = 0;
    };

    struct owner_state
    {
        /// The owner handed over a complete table.
        bool complete = false;
        /// Records up to this generation of homes may have been forgotten.
        std::int64_t purged_generation = 0;
    };

    entry& insert(const std::string& id, support::instant now);
    void update_bytes(entry& changed);
    schema::answer answer_from(const entry& known, const std::string& id,
                               const std::string& digest) const;
    owner_state& owner_of(const support::submission_id& id);

    witness_table_options options;
    std::unordered_map<std::string, entry> entries;
    // Ids in the order of their first record; each entry stands here once.
    std::deque<std::string> by_age;
    std::size_t bytes_used = 0;
    std::map<std::string, owner_state> owners;
};

} // namespace chicorydrum::decision
