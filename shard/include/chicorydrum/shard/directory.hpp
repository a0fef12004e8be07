/// \file
/// This host's copy of the platform's store: the configuration, the entry hosts
/// and the endpoints; and this host's own registration there. No job waits for
/// the store.
#pragma once

#include "chicorydrum/shard/evacuations.hpp"
#include "chicorydrum/shard/messages.hpp"
#include "chicorydrum/support/log.hpp"
#include "chicorydrum/support/validation.hpp"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

enum class directory_table
{
    config,
    hosts,
    endpoints,
};

std::string_view name_of(directory_table table);
constexpr std::size_t directory_tables = 3;

/// Requests the rows that changed after a version, or all rows.
struct table_read
{
    directory_table table = directory_table::config;
    std::int64_t after = 0;
    bool wants_all = false;
    /// Of all rows, those from this key on.
    std::string from = {};
    /// Long poll: the store answers on a change or after this time.
    support::milliseconds wait{0};
};

enum class read_status
{
    read,
    /// The store no longer has the changes since that version.
    history_lost,
    unavailable,
};

std::string_view name_of(read_status status);

/// A row of the host table. Without a record the row was removed, or this
/// version of the program cannot read it.
struct host_row
{
    std::string name;
    std::optional<schema::host_record> record;
    /// 0 if the row was removed.
    std::int64_t version = 0;
};

/// A row of the endpoint table. Without an entry the row was removed or
/// describes no usable endpoint.
struct endpoint_row
{
    std::string id;
    std::optional<schema::endpoint_registration> entry;
    /// The version of the row or of its removal.
    std::int64_t version = 0;
};

/// A row that names nothing, or an answer that cannot be read (without a key).
struct malformed_row
{
    std::string key;
    std::string problem;
};

struct table_rows
{
    directory_table table = directory_table::config;
    read_status status = read_status::unavailable;
    /// These are all rows of the table: missing ones were removed.
    bool is_whole = false;
    /// If there are more rows than the answer holds, the key from which the
    /// next read has to continue.
    std::string next_key = {};
    /// The version after which the next read continues.
    std::int64_t version = 0;
    /// A read of changes: there may be more than the answer holds. They are in
    /// the order in which they were made, so that the rows may be old.
    bool is_cut = false;
    /// The document of the configuration, not decoded.
    std::optional<std::string> config;
    std::vector<host_row> hosts;
    std::vector<endpoint_row> endpoints;
    std::vector<malformed_row> malformed = {};
    /// In the table of the configuration; in the order of the changes.
    std::vector<evacuation_row> evacuations = {};
};

struct registration_write
{
    std::string name;
    schema::host_record record;
    /// Expected version of the row; 0 if it must not exist yet.
    std::int64_t expected_version = 0;
};

enum class write_status
{
    written,
    conflict,
    /// The row may have been written, or may still be.
    unknown,
};

struct registration_written
{
    write_status status = write_status::unknown;
    /// Current version of the row, if known.
    std::int64_t version = 0;
    /// The existing row that a conflicting write met.
    std::optional<schema::host_record> current;
};

struct directory_hooks
{
    std::function<void(const table_read&)> read;
    std::function<void(const registration_write&)> write;
    std::function<void(std::string document)> config_read;
    /// The rows beside the configuration were read. May be empty.
    std::function<void(const evacuation_rows&)> evacuations_read = {};
    /// A host is new or has changed.
    std::function<void(const std::string&, const schema::host_record&)>
        host_read;
    /// The row of a host that was read before was removed.
    std::function<void(const std::string&)> host_removed;
    std::function<void(std::int64_t version)> registered;
    /// The whole host table was read for the first time. If it has a row of an
    /// earlier process of this host, it also lists this host's peers.
    std::function<void(bool has_earlier_row)> hosts_complete;
    std::function<void(const support::log_line&)> log;
};

struct directory_options
{
    std::string self;
    schema::host_record record;
    std::uint64_t seed = 0;
    /// Long-poll timeout for changes. Short, so that a dead connection is
    /// detected within the time in which a configuration must become active.
    support::milliseconds change_wait{1000};
    /// Interval between reads of the endpoints by the owner of a shard. An
    /// endpoint that leaves must get no new work after two seconds.
    support::milliseconds owner_interval{500};
    /// The same for hosts that own no shard but may take one over.
    support::milliseconds standby_interval{2000};
    /// What is known of the endpoints is old if the last good read was asked
    /// for this much longer ago than the interval between reads: 1.5 s for an
    /// owner, as an endpoint that leaves may serve for two seconds.
    support::milliseconds late_read{1000};
    /// How long an endpoint without an entry is kept, since entries also expire
    /// when the store fails.
    support::milliseconds missing_grace{2500};
    /// How long after a failed read entries may be missing because the store
    /// was away: they are back two seconds after its return, and are read
    /// within another two.
    support::milliseconds outage_memory{5000};
    /// A registration that stays this long is stable.
    support::milliseconds stable_registration{5000};
    /// Malformed rows of each table that are logged, each of them once.
    std::size_t max_logged_rows = 100;
    /// How long a task that was started before may run at a dropped endpoint
    /// without its owner telling of it, which owners do more often.
    support::milliseconds dropped_lately{30000};
    /// Dropped endpoints that are remembered.
    std::size_t max_dropped = 4096;
    /// How long peers are told of a leaving endpoint without an entry. It may
    /// serve for many seconds after its entry was removed.
    support::milliseconds leaving_memory{30000};
    /// Leaving endpoints that are remembered.
    std::size_t max_remembered_leaving = 4096;
    support::milliseconds first_backoff{100};
    support::milliseconds longest_backoff{1000};
};

/// What is doubtful of an endpoint whose row is missing or odd. Its runs go on,
/// and its leases are extended, in any case.
enum class entry_doubt
{
    none,
    /// The entry may have lapsed because the store was away: new tasks go there
    /// if no other endpoint can take them.
    last_resort,
    /// The row was removed, or is another writer's: no new tasks.
    unusable,
};

std::string_view name_of(entry_doubt doubt);

/// Leaving endpoints to tell a peer of.
struct leaving_list
{
    std::vector<schema::leaving_endpoint> endpoints;
    /// The number of the last news that was looked at; the next list continues
    /// after it.
    std::int64_t last = 0;
};

class directory
{
public:
    directory(directory_options opts, directory_hooks callbacks,
              support::instant now);

    void rows_read(const table_rows& rows, support::instant now);
    void registration_answered(const registration_written& answer,
                               support::instant now);
    void tick(support::instant now);

    void set_owner(bool owns, support::instant now);
    /// Reads the endpoints as often as an owner does, to tell others of those
    /// that leave.
    void set_relaying(bool relays, support::instant now);
    /// Returns whether the endpoints in the store are not followed at the
    /// moment, or reads of them are late.
    bool lacks_endpoints(support::instant now) const;
    /// Returns the version of the store up to which the endpoints were read; 0
    /// if there is none that can be relied on.
    std::int64_t endpoints_read_to() const
    {
        return this->endpoints_read_version;
    }
    /// Returns when the last good read of the endpoints was asked for, or
    /// nothing before it.
    std::optional<support::instant> endpoints_as_of() const
    {
        return this->state_of(directory_table::endpoints).read_as_of;
    }
    /// Returns the same for the configuration.
    std::optional<support::instant> config_as_of() const
    {
        return this->state_of(directory_table::config).read_as_of;
    }
    /// Returns whether the last read of the configuration has failed.
    bool config_reads_fail() const
    {
        return this->state_of(directory_table::config).backoff.count() > 0;
    }
    /// Whether the store has a later configuration than was read from it. After
    /// a failed read it is then read by itself, since the changes may hold many
    /// large versions of it.
    void set_config_changed(bool has_changed)
    {
        this->config_has_changed = has_changed;
    }
    /// Returns the number of the last news of a leaving endpoint.
    std::int64_t last_leaving() const
    {
        return this->last_news;
    }
    /// Returns the leaving endpoints of \p domain with rows after version
    /// \p known whose news is numbered above \p after, in that order; also
    /// those whose rows were removed lately, as they may still serve.
    leaving_list leaving(const std::string& domain, std::int64_t known,
                         std::int64_t after, support::instant now) const;
    /// A peer has read that an endpoint leaves. Earlier rows of the endpoint,
    /// also those that are read later, say nothing against it.
    void note_leaving(const schema::leaving_endpoint& endpoint,
                      support::instant now);
    /// An owner of this host's domain may have runs at an endpoint. Its row may
    /// be later than what was read here, or gone.
    void note_held(const schema::held_endpoint& held, support::instant now);
    /// Returns endpoints of \p domain that a host which has read the store up
    /// to \p version may not know, as many as one message tells.
    std::vector<schema::held_endpoint> unknown_to(const std::string& domain,
                                                  std::int64_t version,
                                                  support::instant now) const;
    /// Returns the version at which the present incarnation of endpoint \p id
    /// was first read or heard of without a gap since, or its row was last seen
    /// missing; 0 if that is not known.
    std::int64_t known_since(const std::string& id) const;
    /// Returns whether the last good read of endpoint \p id found a usable row.
    bool lists(const std::string& id) const;
    /// Reads the endpoints anew at once: a new owner of a shard must know all
    /// those that the earlier one could use.
    void refresh_endpoints();
    /// Returns the endpoints that may be used now.
    std::vector<schema::endpoint_registration> endpoints() const;
    /// Returns the endpoints of endpoints() that are in doubt, by id.
    std::map<std::string, entry_doubt> doubts() const;
    /// Increases whenever doubts() changes while endpoints() does not.
    std::int64_t doubts_version() const
    {
        return this->doubt_changes;
    }
    /// Returns the endpoints that were dropped lately, since their entries were
    /// missing. Some of them may be alive, and run tasks.
    std::vector<schema::endpoint_registration>
    lately_dropped(support::instant now) const;
    /// Increases whenever endpoints() changes.
    std::int64_t endpoints_version() const
    {
        return this->endpoint_changes;
    }
    bool has_read_endpoints() const
    {
        return this->endpoints_read_at.has_value();
    }
    /// Returns whether every live endpoint is known: entries that expired
    /// during a store outage are back missing_grace after this process's first
    /// read.
    bool endpoints_are_complete(support::instant now) const
    {
        return this->endpoints_read_at && !this->endpoints_are_stale &&
               now - *this->endpoints_read_at >= this->options.missing_grace;
    }
    /// Returns whether the endpoints were read since refresh_endpoints(), and
    /// as they were when the own domain's hosts in the table registered, or
    /// later: owners that were there before have read no later ones.
    bool endpoints_follow_registrations() const;
    bool is_available() const
    {
        return this->available;
    }
    /// Returns whether the whole host table was read.
    bool hosts_are_read() const
    {
        return this->hosts_are_complete;
    }
    /// Returns when endpoints were last read, or nothing before the first read.
    std::optional<support::instant> last_endpoint_read() const
    {
        return this->endpoints_last_read_at;
    }
    /// Returns how many endpoints are known, of all domains.
    std::size_t endpoint_count() const
    {
        return this->known.size();
    }

private:
    struct table_state
    {
        std::int64_t after = 0;
        /// Changes from the beginning on would show rows as they were.
        bool wants_all = true;
        /// Rows of answers that did not hold all changes, since the last one
        /// that did. Not 0 while this host is behind the store.
        std::size_t rows_behind = 0;
        /// The earlier answers of a read of all rows that needs several.
        std::optional<table_rows> earlier = {};
        bool is_reading = false;
        support::instant next_read;
        /// When the last good read was asked for.
        std::optional<support::instant> read_as_of = {};
        /// A read has failed, or the history was lost, since then.
        bool was_interrupted = false;
        /// When the read under way was asked for, or its first answer.
        support::instant asked_at = {};
        support::milliseconds backoff{0};
        /// A read of changes has succeeded since the last lost history.
        bool has_followed = true;
        /// The keys of logged malformed rows.
        std::set<std::string> logged = {};
    };
    struct known_endpoint
    {
        schema::endpoint_registration entry;
        /// The version of the last row that was used, or of its removal.
        std::int64_t version = 0;
        /// The version of the first row of this incarnation that was used since
        /// its row was last missing; 0 if the store has counted from a lower
        /// version since.
        std::int64_t since_version = 0;
        std::optional<support::instant> missing_since;
        /// Not none if and only if missing_since is set.
        entry_doubt doubt = entry_doubt::none;
        /// The row was there when it was last read, but not usable.
        bool is_odd = false;
        /// The last row that contradicted the entry; logged once.
        std::optional<schema::endpoint_registration> contradiction = {};
    };

    struct leaving_news
    {
        schema::leaving_endpoint endpoint;
        /// Of all news of this host, this is the one with that number.
        std::int64_t number = 0;
        /// When it was first read or heard, or its entry was dropped since.
        support::instant as_of;
    };

    struct dropped_endpoint
    {
        schema::endpoint_registration entry;
        /// In which the endpoint was last seen.
        std::int64_t version = 0;
        support::instant dropped_at;
    };

    void set_interval(support::instant now);
    table_state& state_of(directory_table table);
    const table_state& state_of(directory_table table) const;
    void set_available(bool is_available, std::string_view why);
    support::milliseconds next_backoff(support::milliseconds before);
    /// The store counts from a lower version again: what is known of the
    /// endpoints stands until it is read anew.
    void forget_versions();
    /// Joins the answers of a read of all rows. Returns nothing if there are
    /// more to come.
    std::optional<table_rows> join(table_rows rows, support::instant now);
    void apply(const table_rows& rows, support::instant now);
    /// Logs that a table is read again after an interruption, or first.
    void log_read(const table_rows& rows, support::instant now);
    void log_malformed(const table_rows& rows);
    /// Reads on at once after an answer that did not hold all changes, or reads
    /// all rows once these are fewer than the changes that were read.
    void follow_cut_answer(const table_rows& rows, support::instant now);
    /// The same without the time between the answers of one read: more changes
    /// than an answer holds between two reads are usual in large installations.
    bool has_old_endpoints(support::instant now) const;
    /// Logs when the endpoints begin or cease to be followed.
    void log_following(support::instant now);
    void apply_hosts(const table_rows& rows, support::instant now);
    /// Reports the hosts whose rows \p rows shows as removed.
    void report_removed_hosts(const table_rows& rows);
    void apply_endpoints(const table_rows& rows, support::instant now);
    /// Notes that a row names no usable endpoint: the last good entry stands in
    /// doubt until it counts as missing. \p is_odd says that there is a row.
    void note_missing(const std::string& id, std::int64_t version, bool is_odd,
                      support::instant now);
    /// Notes that the store does not answer, or did not for a while.
    void note_outage(support::instant now);
    /// Takes the missing entries of domains that lack most of theirs as lapsed.
    void doubt_losses_of_domains();
    void set_doubt(known_endpoint& endpoint, entry_doubt doubt);
    /// Returns whether a later row or removal of the same endpoint than \p row
    /// was read before.
    bool is_outdated(const endpoint_row& row) const;
    /// Uses an entry unless it contradicts the one that is known.
    void apply_entry(const endpoint_row& row, support::instant now);
    /// Notes that an endpoint leaves, unless a later row was noted of it.
    /// Returns whether this is news.
    bool remember_leaving(const schema::leaving_endpoint& endpoint,
                          support::instant now);
    void drop_missing_endpoints(support::instant now);
    /// Keeps the entry of an endpoint that is not in the store for a time.
    void remember_dropped(const schema::endpoint_registration& entry,
                          std::int64_t version, support::instant now);
    void write_registration(support::instant now);
    /// Writes the registration again: at once after a stable registration, then
    /// with an increasing delay.
    void repeat_write(support::instant now);

    directory_options options;
    directory_hooks hooks;
    std::minstd_rand random;
    std::array<table_state, directory_tables> tables;
    std::map<std::string, known_endpoint> known;
    /// Dropped endpoints by id. Their versions keep reads of earlier rows from
    /// bringing them back.
    std::map<std::string, dropped_endpoint> dropped;
    /// By id, the last row of each endpoint that says that it leaves, as read
    /// or as told by a peer. A later row that says otherwise ends it.
    std::map<std::string, leaving_news> news;
    std::int64_t last_news = 0;
    struct known_host
    {
        std::string domain;
        /// Of its row.
        std::int64_t version = 0;
    };
    /// The other hosts that were reported.
    std::map<std::string, known_host> known_hosts;
    /// No known endpoint is missing if this is false.
    bool may_miss_endpoints = false;
    std::int64_t endpoint_changes = 0;
    std::int64_t doubt_changes = 0;
    /// When the store was last found away.
    std::optional<support::instant> store_away_at;
    /// The first read and the last one.
    std::optional<support::instant> endpoints_read_at;
    std::optional<support::instant> endpoints_last_read_at;
    std::int64_t endpoints_read_version = 0;
    bool config_has_changed = false;
    /// As logged last.
    bool was_following = false;
    /// Since refresh_endpoints(), until a read that began later has ended.
    bool endpoints_are_stale = false;
    /// The read under way began before the last refresh_endpoints().
    bool endpoint_read_is_stale = false;
    bool owns = false;
    bool relays = false;
    /// Since when it does either, and so reads the endpoints more often.
    std::optional<support::instant> often_since;
    bool available = false;
    /// The store has answered this process before.
    bool was_available = false;
    bool is_registered = false;
    bool is_writing = false;
    bool hosts_are_complete = false;
    bool found_earlier_row = false;
    std::int64_t own_version = 0;
    support::instant registered_at;
    support::instant next_write;
    support::milliseconds write_backoff{0};
};

} // namespace chicorydrum::shard
