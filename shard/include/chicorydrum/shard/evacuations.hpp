/// \file
/// Which failure domains the operator has asked to evacuate: no task starts
/// there. Learned from the store and from peers; see
/// docs/design/07-evacuation.md.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"
#include "chicorydrum/support/log.hpp"
#include "chicorydrum/support/validation.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// A row of the store that asks for the evacuation of a domain.
struct evacuation_row
{
    std::string domain;
    /// The version of the row or of its removal.
    std::int64_t version = 0;
    /// False if the row was removed. Without a value it is malformed and says
    /// neither.
    std::optional<bool> is_requested = {};
};

/// The rows of one read of the store.
struct evacuation_rows
{
    std::vector<evacuation_row> rows;
    /// These are all rows, as of `version`: missing ones were removed.
    bool is_whole = false;
    /// All changes up to this version were read, with the earlier reads.
    std::int64_t version = 0;
};

struct evacuation_options
{
    /// Domains that are remembered, also those whose evacuation was removed.
    std::size_t max_domains = support::max_evacuations;
};

/// For each domain the change with the highest version counts. Versions are
/// those of the store, so that all hosts agree, whatever the way and the order
/// in which they hear of changes.
class evacuations
{
public:
    using log_hook = std::function<void(const support::log_line&)>;

    evacuations(evacuation_options opts, log_hook callback);

    /// Applies what the store has said, maybe late.
    void rows_read(const evacuation_rows& read, support::instant now);
    /// Applies what \p peer has told.
    void heard(const std::string& peer, const schema::evacuation_news& news,
               support::instant now);

    bool is_evacuated(const std::string& domain) const;
    std::set<std::string> evacuated_domains() const;
    /// Increases with each change of a domain.
    std::int64_t last_change() const
    {
        return this->changes;
    }

    /// A new link to \p peer is open: it was told nothing on it.
    void link_opened(const std::string& peer);
    void link_closed(const std::string& peer);
    /// Returns what \p peer was not told on its link yet, which counts as told
    /// then; nothing if there is no news.
    std::optional<schema::evacuation_news> news_for(const std::string& peer);

    /// Logs each requested domain, once, that is not in \p known: a request
    /// with a wrong name has no effect.
    void log_unknown_domains(const std::set<std::string>& known);

private:
    struct domain_state
    {
        std::int64_t version = 0;
        bool is_requested = false;
        /// The number of its last change.
        std::int64_t change = 0;
        /// When this process learned of it.
        support::instant since;
        /// Its domain was found among the known ones, or logged as unknown.
        bool is_checked = false;
    };

    /// Applies \p change unless a later one is known. \p source names the store
    /// or a peer.
    void apply(const schema::evacuation_change& change,
               const std::string& source, support::instant now);
    /// Makes room for one more domain. Returns whether there is any.
    bool make_room();

    evacuation_options options;
    log_hook log;
    std::map<std::string, domain_state> domains;
    /// Changes up to this version were read: peers tell nothing new of them.
    std::int64_t read_to = 0;
    /// The highest version of the removals that were forgotten for want of
    /// room.
    std::int64_t forgotten_to = 0;
    /// When the store or a peer was last heard.
    std::optional<support::instant> heard_at;
    /// Domains whose row was malformed when it was last read.
    std::set<std::string> unreadable;
    std::int64_t changes = 0;
    bool was_full = false;
    /// By peer: the number of the last change that it was told.
    std::map<std::string, std::int64_t> told;
};

} // namespace chicorydrum::shard
