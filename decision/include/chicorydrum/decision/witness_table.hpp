/// \file
/// Records kept as witness of other owners, and the answers they allow about
/// submissions whose owner is unreachable.
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

/// Whether the kind of a submission guarantees a claim before its first start.
enum class claim_guarantee
{
    /// The kind starts only after the witness has acknowledged the claim.
    always_claimed,
    /// The kind may start without a claim, or is unknown.
    may_be_unclaimed,
};

/// Claims, final answers and closed ids of other owners' submissions. A witness
/// never starts tasks.
class witness_table
{
public:
    explicit witness_table(witness_table_options opts) : options(opts)
    {
    }

    /// Records the claim of a submission before its first start. Returns false
    /// if the id was closed, has another digest, or may have been purged.
    bool claim(const schema::witness_record& record, support::instant now);

    /// Stores a record that the owner sent asynchronously.
    void record(const schema::witness_record& record, support::instant now);

    /// Stores the complete table of an owner that stopped.
    void apply_handover(const schema::handover& table, support::instant now);

    /// Returns the outcome of \p id, whose owner cannot be reached. Closes the
    /// id permanently if the answer is that nothing ran.
    schema::answer answer_for(const support::submission_id& id,
                              const std::string& digest,
                              claim_guarantee guarantee, support::instant now);

    /// Removes records that exceed the age or byte limit, oldest first.
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
        /// The id was answered as not run: a later claim is refused.
        bool closed = false;
        support::instant stored;
        std::size_t bytes = 0;
    };

    struct owner_state
    {
        /// The owner has handed over its complete table.
        bool complete = false;
        /// Records of homes up to this generation may have been purged.
        std::int64_t purged_generation = 0;
    };

    entry& insert(const std::string& id, support::instant now);
    void update_bytes(entry& changed);
    schema::answer answer_from(const entry& known, const std::string& id,
                               const std::string& digest) const;
    owner_state& owner_of(const support::submission_id& id);

    witness_table_options options;
    std::unordered_map<std::string, entry> entries;
    // Ids in the order of their first record; contains each entry once.
    std::deque<std::string> insertion_order;
    std::size_t bytes_used = 0;
    std::map<std::string, owner_state> owners;
};

} // namespace chicorydrum::decision
