#include "chicorydrum/shard/directory.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;
using support::milliseconds;

/// Returns the member in which \p later contradicts \p known, or an empty
/// text. Only a new incarnation may change its address, capacity or kind, so
/// that another writer has left a row of the same one that differs in these.
std::string_view contradicted_member(const schema::endpoint_registration& known,
                                     const schema::endpoint_registration& later)
{
    if (known.born_ms == 0)
        return {};
    if (later.born_ms == 0)
        return "born_ms";
    if (later.born_ms != known.born_ms)
        return {};
    if (later.address != known.address || later.port != known.port)
        return "address";
    if (later.capacity != known.capacity)
        return "capacity";
    if (later.labels != known.labels)
        return "labels";
    if (later.pool != known.pool)
        return "pool";
    return {};
}

schema::leaving_endpoint leaving_of(const schema::endpoint_registration& entry,
                                    std::int64_t version)
{
    schema::leaving_endpoint one;
    one.id = entry.id;
    one.domain = entry.domain;
    one.born_ms = entry.born_ms;
    one.version = version;
    return one;
}

} // namespace

std::string_view name_of(directory_table table)
{
    static constexpr std::array<std::string_view, directory_tables> names = {
        "config", "hosts", "endpoints"};
    return names[static_cast<std::size_t>(table)];
}

std::string_view name_of(read_status status)
{
    static constexpr std::array<std::string_view, 3> names = {
        "read", "history_lost", "unavailable"};
    return names[static_cast<std::size_t>(status)];
}

std::string_view name_of(entry_doubt doubt)
{
    static constexpr std::array<std::string_view, 3> names = {
        "none", "last_resort", "unusable"};
    return names[static_cast<std::size_t>(doubt)];
}

directory::directory(directory_options opts, directory_hooks callbacks,
                     instant now)
    : options(std::move(opts)), hooks(std::move(callbacks)),
      random(static_cast<std::minstd_rand::result_type>(this->options.seed)),
      next_write(now)
{
    for (table_state& table : this->tables)
        table.next_read = now;
}

directory::table_state& directory::state_of(directory_table table)
{
    return this->tables[static_cast<std::size_t>(table)];
}

const directory::table_state& directory::state_of(directory_table table) const
{
    return this->tables[static_cast<std::size_t>(table)];
}

void directory::set_owner(bool owns_now, instant now)
{
    if (owns_now && !this->owns)
        this->state_of(directory_table::endpoints).next_read = instant();
    this->owns = owns_now;
    this->set_interval(now);
}

void directory::set_relaying(bool relays_now, instant now)
{
    table_state& table = this->state_of(directory_table::endpoints);
    if (relays_now && !this->relays && table.backoff.count() == 0)
        table.next_read = instant();
    this->relays = relays_now;
    this->set_interval(now);
}

void directory::set_interval(instant now)
{
    if (!this->owns && !this->relays)
        this->often_since.reset();
    else if (!this->often_since)
        this->often_since = now;
}

bool directory::lacks_endpoints(instant now) const
{
    return this->state_of(directory_table::endpoints).rows_behind > 0 ||
           this->has_old_endpoints(now);
}

bool directory::has_old_endpoints(instant now) const
{
    const table_state& table = this->state_of(directory_table::endpoints);
    const instant as_of = std::max(table.read_as_of.value_or(instant()),
                                   this->often_since.value_or(instant()));
    const milliseconds interval = this->often_since
                                      ? this->options.owner_interval
                                      : this->options.standby_interval;
    const bool is_late = now - as_of >= interval + this->options.late_read;
    return !this->endpoints_read_at || table.backoff.count() > 0 ||
           !table.has_followed || is_late;
}

void directory::log_following(instant now)
{
    const bool follows = !this->has_old_endpoints(now);
    if (follows == std::exchange(this->was_following, follows))
        return;
    const auto as_of = this->endpoints_as_of();
    const std::int64_t age_ms = as_of ? support::whole_ms(now - *as_of) : -1;
    this->hooks.log(log_line(follows ? "endpoints_followed" : "endpoints_late",
                             support::log_level::warning)
                        .add("age_ms", age_ms)
                        .add("version", this->endpoints_read_version));
}

leaving_list directory::leaving(const std::string& domain,
                                std::int64_t known_to, std::int64_t after,
                                instant now) const
{
    leaving_list list{.endpoints = {}, .last = after};
    if (after >= this->last_news)
        return list;
    std::vector<const leaving_news*> later;
    for (const auto& [id, one] : this->news)
    {
        const bool may_serve = this->known.contains(id) ||
                               now - one.as_of < this->options.leaving_memory;
        if (may_serve && one.number > after && one.endpoint.domain == domain &&
            one.endpoint.version > known_to)
            later.push_back(&one);
    }
    std::sort(later.begin(), later.end(),
              [](const leaving_news* one, const leaving_news* other)
              { return one->number < other->number; });
    const bool is_whole = later.size() <= support::max_leaving;
    if (!is_whole)
        later.resize(support::max_leaving);
    for (const leaving_news* const one : later)
        list.endpoints.push_back(one->endpoint);
    list.last = is_whole ? this->last_news : later.back()->number;
    return list;
}

bool directory::remember_leaving(const schema::leaving_endpoint& endpoint,
                                 instant now)
{
    const auto found = this->news.find(endpoint.id);
    if (found != this->news.end() &&
        found->second.endpoint.version >= endpoint.version)
        return false;
    // Each report of an endpoint is a later row: no news for anybody.
    if (found != this->news.end() &&
        found->second.endpoint.born_ms == endpoint.born_ms)
    {
        found->second.endpoint.version = endpoint.version;
        return false;
    }
    if (found == this->news.end() &&
        this->news.size() >= this->options.max_remembered_leaving)
        this->news.erase(std::min_element(
            this->news.begin(), this->news.end(),
            [](const auto& one, const auto& other)
            { return one.second.number < other.second.number; }));
    this->news[endpoint.id] = {
        .endpoint = endpoint, .number = ++this->last_news, .as_of = now};
    return true;
}

void directory::note_leaving(const schema::leaving_endpoint& endpoint,
                             instant now)
{
    const auto found = this->known.find(endpoint.id);
    const bool is_known = found != this->known.end();
    // The version of a missing entry is that of the answer that lacked it,
    // which may be later than a row that nobody here has read.
    const bool is_outdated = is_known &&
                             found->second.version >= endpoint.version &&
                             !(found->second.missing_since &&
                               found->second.entry.born_ms == endpoint.born_ms);
    if (is_outdated || !this->remember_leaving(endpoint, now))
        return;
    // An entry of another incarnation is outdated: its successor leaves.
    const bool is_used = is_known && !found->second.entry.is_draining;
    if (is_used)
    {
        found->second.entry.is_draining = true;
        ++this->endpoint_changes;
    }
    if (is_known)
        found->second.version =
            std::max(found->second.version, endpoint.version);
    this->hooks.log(log_line("endpoint_leaves")
                        .add("endpoint", endpoint.id)
                        .add("born_ms", endpoint.born_ms)
                        .add("version", endpoint.version)
                        .add("source", "peer")
                        .add("outcome", is_used ? "applied" : "remembered"));
}

void directory::note_held(const schema::held_endpoint& held, instant now)
{
    const endpoint_row row{
        .id = held.entry.id, .entry = held.entry, .version = held.version};
    const auto found = this->known.find(row.id);
    const bool is_known = found != this->known.end();
    // An incarnation that this host has not read may be gone from the store.
    const bool is_later = is_known && row.version > found->second.version &&
                          !is_same_incarnation(found->second.entry, held.entry);
    if (is_later || (held.is_listed && !this->is_outdated(row)))
        this->apply_entry(row, now);
    else if (!is_known)
        this->remember_dropped(held.entry, held.version, now);
}

void directory::remember_dropped(const schema::endpoint_registration& entry,
                                 std::int64_t version, instant now)
{
    const auto found = this->dropped.find(entry.id);
    if (found != this->dropped.end())
    {
        dropped_endpoint& before = found->second;
        if (version >= before.version)
            before.entry = entry;
        before.version = std::max(before.version, version);
        before.dropped_at = now;
        return;
    }
    if (this->dropped.size() >= this->options.max_dropped)
        this->dropped.clear();
    this->dropped[entry.id] = {
        .entry = entry, .version = version, .dropped_at = now};
}

bool directory::endpoints_follow_registrations() const
{
    const bool follow_others =
        std::all_of(this->known_hosts.begin(), this->known_hosts.end(),
                    [this](const auto& entry)
                    {
                        const known_host& host = entry.second;
                        return host.domain != this->options.record.domain ||
                               host.version <= this->endpoints_read_version;
                    });
    return this->hosts_are_complete && this->endpoints_read_at &&
           !this->endpoints_are_stale && this->is_registered &&
           this->own_version <= this->endpoints_read_version && follow_others;
}

std::vector<schema::held_endpoint>
directory::unknown_to(const std::string& domain, std::int64_t version,
                      instant now) const
{
    std::vector<schema::held_endpoint> found;
    for (const auto& [id, endpoint] : this->dropped)
    {
        if (endpoint.entry.domain != domain ||
            now - endpoint.dropped_at >= this->options.dropped_lately ||
            found.size() >= support::max_held)
            continue;
        schema::held_endpoint& one = found.emplace_back();
        one.entry = endpoint.entry;
        one.version = endpoint.version;
    }
    for (const auto& [id, endpoint] : this->known)
    {
        if (endpoint.entry.domain != domain ||
            endpoint.since_version <= version ||
            found.size() >= support::max_held)
            continue;
        schema::held_endpoint& one = found.emplace_back();
        one.entry = endpoint.entry;
        one.version = endpoint.since_version;
        one.is_listed = true;
    }
    return found;
}

std::int64_t directory::known_since(const std::string& id) const
{
    const auto found = this->known.find(id);
    if (found != this->known.end())
        return found->second.missing_since ? found->second.version
                                           : found->second.since_version;
    const auto gone = this->dropped.find(id);
    return gone == this->dropped.end() ? 0 : gone->second.version;
}

bool directory::lists(const std::string& id) const
{
    const auto found = this->known.find(id);
    return found != this->known.end() && !found->second.missing_since;
}

void directory::refresh_endpoints()
{
    table_state& table = this->state_of(directory_table::endpoints);
    this->endpoints_are_stale = true;
    this->endpoint_read_is_stale = table.is_reading || table.earlier;
    table.next_read = instant();
}

void directory::set_available(bool is_available, std::string_view why)
{
    if (is_available == this->available)
        return;
    this->available = is_available;
    const bool is_first =
        is_available && !std::exchange(this->was_available, true);
    this->hooks.log(log_line(is_available ? "store_recovered" : "store_lost",
                             support::log_level::warning)
                        .add("why", why)
                        .add("first", is_first));
}

void directory::forget_versions()
{
    this->endpoints_read_version = 0;
    // Later rows may have lower versions now.
    for (auto& [id, endpoint] : this->known)
        endpoint.version = endpoint.since_version = 0;
    for (auto& [id, endpoint] : this->dropped)
        endpoint.version = 0;
    for (auto& [id, one] : this->news)
        one.endpoint.version = 0;
}

milliseconds directory::next_backoff(milliseconds before)
{
    const milliseconds doubled = std::clamp(
        before * 2, this->options.first_backoff, this->options.longest_backoff);
    std::uniform_int_distribution<std::int64_t> jitter(doubled.count() / 2,
                                                       doubled.count());
    return milliseconds(jitter(this->random));
}

void directory::tick(instant now)
{
    if (!this->is_registered && !this->is_writing && now >= this->next_write)
        this->write_registration(now);
    for (std::size_t i = 0; i < directory_tables; ++i)
    {
        table_state& table = this->tables[i];
        if (table.is_reading || now < table.next_read)
            continue;
        const auto which = static_cast<directory_table>(i);
        table.is_reading = true;
        if (which == directory_table::config && table.was_interrupted &&
            this->config_has_changed)
            table.wants_all = true;
        if (!table.earlier)
            table.asked_at = now;
        const bool waits = which != directory_table::endpoints &&
                           table.after > 0 && !table.wants_all;
        this->hooks.read(
            {.table = which,
             .after = table.after,
             .wants_all = table.wants_all,
             .from = table.earlier ? table.earlier->next_key : std::string(),
             .wait = waits ? this->options.change_wait : milliseconds(0)});
    }
    this->drop_missing_endpoints(now);
    this->log_following(now);
}

void directory::rows_read(const table_rows& rows, instant now)
{
    table_state& table = this->state_of(rows.table);
    table.is_reading = false;
    this->log_malformed(rows);
    if (rows.status == read_status::unavailable)
    {
        this->set_available(false, name_of(rows.table));
        this->note_outage(now);
        table.was_interrupted = true;
        table.backoff = this->next_backoff(table.backoff);
        table.next_read = now + table.backoff;
        return;
    }
    this->set_available(true, name_of(rows.table));
    // A version that decreases means that the store has lost changes or that
    // an earlier answer was wrong.
    const bool has_decreased = !table.wants_all && rows.version < table.after;
    if (rows.status == read_status::history_lost || has_decreased)
    {
        this->hooks.log(log_line("history_lost")
                            .add("table", name_of(rows.table))
                            .add("after", table.after)
                            .add("version", rows.version)
                            .add("first", !table.read_as_of));
        table.was_interrupted = true;
        table.wants_all = true;
        table.earlier.reset();
        if (has_decreased && rows.table == directory_table::endpoints)
            this->forget_versions();
        // The first loss is not delayed, as changes are unknown meanwhile. A
        // store that shows rows whose changes it has forgotten loses each read
        // again, and the reads of all hosts would use up its rate.
        const bool is_repeated = !std::exchange(table.has_followed, false);
        table.backoff =
            is_repeated ? this->next_backoff(table.backoff) : milliseconds(0);
        table.next_read = now + table.backoff;
        return;
    }
    if (!table.wants_all)
    {
        table.has_followed = true;
        table.backoff = milliseconds(0);
    }
    if (const auto whole = this->join(rows, now))
        this->apply(*whole, now);
}

std::optional<table_rows> directory::join(table_rows rows, instant now)
{
    table_state& table = this->state_of(rows.table);
    if (table.earlier)
    {
        table_rows& joined = *table.earlier;
        const auto append = [](auto& to, auto& from)
        {
            std::move(from.begin(), from.end(), std::back_inserter(to));
        };
        append(joined.hosts, rows.hosts);
        append(joined.endpoints, rows.endpoints);
        append(joined.evacuations, rows.evacuations);
        if (rows.config)
            joined.config = std::move(rows.config);
        joined.is_whole = rows.is_whole;
        joined.next_key = rows.next_key;
    }
    else
        // Its version is the one to continue from: later answers may lack rows
        // that changed after their part of the table was read.
        table.earlier = std::move(rows);
    if (table.earlier->next_key.empty())
        return std::exchange(table.earlier, std::nullopt);
    table.next_read = now;
    return std::nullopt;
}

void directory::apply(const table_rows& rows, instant now)
{
    table_state& table = this->state_of(rows.table);
    table.wants_all = false;
    table.after = rows.version;
    table.next_read = now;
    const auto read_before = table.read_as_of;
    if (!rows.is_cut)
    {
        this->log_read(rows, now);
        table.read_as_of = table.asked_at;
    }
    if (rows.config)
        this->hooks.config_read(*rows.config);
    if (rows.table == directory_table::config && this->hooks.evacuations_read)
        this->hooks.evacuations_read({.rows = rows.evacuations,
                                      .is_whole = rows.is_whole,
                                      .version = rows.version});
    if (rows.table == directory_table::hosts)
        this->apply_hosts(rows, now);
    if (rows.table != directory_table::endpoints)
        return;
    this->endpoints_read_version = rows.version;
    const bool had_gap = read_before && table.asked_at - *read_before >=
                                            this->options.outage_memory;
    if (had_gap)
        this->note_outage(now);
    this->apply_endpoints(rows, now);
    if (rows.is_cut)
    {
        this->follow_cut_answer(rows, now);
        return;
    }
    table.rows_behind = 0;
    this->endpoints_last_read_at = now;
    if (std::exchange(this->endpoint_read_is_stale, false))
        return;
    this->endpoints_are_stale = false;
    // From when it was asked for: a slow answer is old when it comes.
    table.next_read =
        std::max(now, table.asked_at + (this->owns || this->relays
                                            ? this->options.owner_interval
                                            : this->options.standby_interval));
}

void directory::follow_cut_answer(const table_rows& rows, instant now)
{
    table_state& table = this->state_of(rows.table);
    table.rows_behind += rows.endpoints.size();
    table.next_read = now;
    if (table.rows_behind < this->known.size())
        return;
    table.wants_all = true;
    this->hooks.log(
        log_line("changes_skipped")
            .add("table", name_of(rows.table))
            .add("after", table.after)
            .add("rows", static_cast<std::int64_t>(table.rows_behind))
            .add("known", static_cast<std::int64_t>(this->known.size())));
}

void directory::log_read(const table_rows& rows, instant now)
{
    table_state& table = this->state_of(rows.table);
    const bool was_interrupted = std::exchange(table.was_interrupted, false);
    if (table.read_as_of && !was_interrupted)
        return;
    const std::int64_t age_ms =
        table.read_as_of ? support::whole_ms(now - *table.read_as_of) : -1;
    this->hooks.log(log_line("table_read")
                        .add("table", name_of(rows.table))
                        .add("before_ms", age_ms)
                        .add("version", rows.version)
                        .add("whole", rows.is_whole));
}

void directory::log_malformed(const table_rows& rows)
{
    std::set<std::string>& logged = this->state_of(rows.table).logged;
    for (const malformed_row& row : rows.malformed)
    {
        if (logged.size() >= this->options.max_logged_rows)
            return;
        if (!logged.insert(row.key).second)
            continue;
        this->hooks.log(log_line("row_malformed", support::log_level::warning)
                            .add("table", name_of(rows.table))
                            .add("key", row.key)
                            .add("problem", row.problem));
        if (logged.size() == this->options.max_logged_rows)
            this->hooks.log(
                log_line("row_malformed_limit", support::log_level::warning)
                    .add("table", name_of(rows.table)));
    }
}

void directory::apply_hosts(const table_rows& rows, instant now)
{
    bool has_own = false;
    bool own_is_lost = false;
    for (const host_row& row : rows.hosts)
    {
        if (row.name == this->options.self)
        {
            has_own = true;
            own_is_lost =
                !row.record || row.record->nonce != this->options.record.nonce;
            this->own_version = row.version;
            continue;
        }
        if (!row.record)
            continue;
        this->known_hosts[row.name] = {.domain = row.record->domain,
                                       .version = row.version};
        this->hooks.host_read(row.name, *row.record);
    }
    this->report_removed_hosts(rows);
    if (rows.is_whole && !this->hosts_are_complete)
    {
        this->hosts_are_complete = true;
        // An own row with another nonce, or one that caused a write conflict.
        this->hooks.hosts_complete(own_is_lost || this->found_earlier_row);
    }
    own_is_lost = own_is_lost || (rows.is_whole && !has_own);
    if (!own_is_lost || !this->is_registered)
        return;
    this->hooks.log(log_line("registration_lost", support::log_level::warning));
    this->is_registered = false;
    if (rows.is_whole && !has_own)
        this->own_version = 0;
    if (now - this->registered_at >= this->options.stable_registration)
        this->write_backoff = milliseconds(0);
    this->repeat_write(now);
}

void directory::report_removed_hosts(const table_rows& rows)
{
    std::set<std::string> present;
    std::set<std::string> removed;
    for (const host_row& row : rows.hosts)
    {
        // A host whose row was overwritten is there and registers again.
        const bool is_present = row.record || row.version > 0;
        (is_present ? present : removed).insert(row.name);
    }
    std::erase_if(this->known_hosts,
                  [&](const auto& entry)
                  {
                      const auto& [host, row] = entry;
                      const bool is_outdated =
                          rows.is_whole && rows.version < row.version;
                      const bool is_gone =
                          !is_outdated && !present.contains(host) &&
                          (rows.is_whole || removed.contains(host));
                      if (is_gone)
                          this->hooks.host_removed(host);
                      return is_gone;
                  });
}

void directory::apply_endpoints(const table_rows& rows, instant now)
{
    if (!this->endpoints_read_at)
        this->endpoints_read_at = now;
    std::set<std::string> malformed;
    for (const malformed_row& row : rows.malformed)
        malformed.insert(row.key);
    std::set<std::string> present;
    for (const endpoint_row& row : rows.endpoints)
    {
        present.insert(row.id);
        // A read of all rows may show them as they were before other answers,
        // and changes are read after a peer has told of a later one.
        if (this->is_outdated(row))
            continue;
        if (row.entry)
            this->apply_entry(row, now);
        else
            this->note_missing(row.id, row.version, malformed.contains(row.id),
                               now);
    }
    if (rows.is_whole)
        for (const auto& [id, endpoint] : this->known)
            if (!present.contains(id) && rows.version >= endpoint.version)
                this->note_missing(id, rows.version, false, now);
    this->doubt_losses_of_domains();
}

bool directory::is_outdated(const endpoint_row& row) const
{
    const auto found = this->known.find(row.id);
    if (found != this->known.end())
        return row.version < found->second.version;
    const auto gone = this->dropped.find(row.id);
    return gone != this->dropped.end() && row.version <= gone->second.version;
}

void directory::apply_entry(const endpoint_row& row, instant now)
{
    const auto earlier = this->known.find(row.id);
    if (earlier != this->known.end())
    {
        const std::string_view member =
            contradicted_member(earlier->second.entry, *row.entry);
        if (!member.empty())
        {
            if (earlier->second.contradiction != *row.entry)
                this->hooks.log(log_line("endpoint_contradicted",
                                         support::log_level::warning)
                                    .add("endpoint", row.id)
                                    .add("member", member)
                                    .add("born_ms", row.entry->born_ms)
                                    .add("address", row.entry->address));
            earlier->second.contradiction = *row.entry;
            this->note_missing(row.id, row.version, true, now);
            if (!row.entry->is_draining)
                return;
            // Whoever wrote it may know.
            schema::endpoint_registration& entry = earlier->second.entry;
            this->remember_leaving(leaving_of(entry, row.version), now);
            if (!std::exchange(entry.is_draining, true))
                ++this->endpoint_changes;
            return;
        }
    }
    this->dropped.erase(row.id);
    schema::endpoint_registration entry = *row.entry;
    std::int64_t version = row.version;
    const auto told = this->news.find(row.id);
    if (entry.is_draining)
        this->remember_leaving(leaving_of(entry, row.version), now);
    else if (told != this->news.end() &&
             told->second.endpoint.version > row.version)
    {
        // A peer has read a later row than this one.
        entry.is_draining = true;
        version = told->second.endpoint.version;
    }
    else if (told != this->news.end())
        this->news.erase(told);
    known_endpoint& endpoint = this->known[row.id];
    if (endpoint.since_version == 0 || endpoint.missing_since ||
        !is_same_incarnation(endpoint.entry, entry))
        endpoint.since_version = row.version;
    endpoint.version = version;
    endpoint.missing_since.reset();
    endpoint.is_odd = false;
    this->set_doubt(endpoint, entry_doubt::none);
    endpoint.contradiction.reset();
    if (endpoint.entry == entry)
        return;
    endpoint.entry = std::move(entry);
    ++this->endpoint_changes;
}

void directory::note_missing(const std::string& id, std::int64_t version,
                             bool is_odd, instant now)
{
    const auto found = this->known.find(id);
    if (found == this->known.end())
        return;
    known_endpoint& endpoint = found->second;
    endpoint.version = version;
    endpoint.is_odd = endpoint.is_odd || is_odd;
    const bool may_have_lapsed =
        this->store_away_at &&
        now - *this->store_away_at < this->options.outage_memory;
    if (endpoint.is_odd)
        this->set_doubt(endpoint, entry_doubt::unusable);
    else if (!endpoint.missing_since)
        this->set_doubt(endpoint, may_have_lapsed ? entry_doubt::last_resort
                                                  : entry_doubt::unusable);
    if (endpoint.missing_since)
        return;
    endpoint.missing_since = now;
    this->may_miss_endpoints = true;
}

void directory::note_outage(instant now)
{
    this->store_away_at = now;
    // It may have begun before this host noticed.
    for (auto& [id, endpoint] : this->known)
        if (endpoint.missing_since && !endpoint.is_odd)
            this->set_doubt(endpoint, entry_doubt::last_resort);
}

void directory::doubt_losses_of_domains()
{
    if (!this->may_miss_endpoints)
        return;
    struct count
    {
        int all = 0;
        int missing = 0;
    };
    // A single one is more likely to have left.
    constexpr int least_missing = 2;
    std::map<std::string, count> domains;
    for (const auto& [id, endpoint] : this->known)
    {
        count& domain = domains[endpoint.entry.domain];
        ++domain.all;
        if (endpoint.missing_since && !endpoint.is_odd)
            ++domain.missing;
    }
    for (auto& [id, endpoint] : this->known)
    {
        const count& domain = domains[endpoint.entry.domain];
        const bool lacks_most =
            domain.missing >= least_missing && domain.missing * 2 > domain.all;
        if (endpoint.missing_since && !endpoint.is_odd && lacks_most)
            this->set_doubt(endpoint, entry_doubt::last_resort);
    }
}

void directory::set_doubt(known_endpoint& endpoint, entry_doubt doubt)
{
    if (std::exchange(endpoint.doubt, doubt) != doubt)
        ++this->doubt_changes;
}

std::map<std::string, entry_doubt> directory::doubts() const
{
    std::map<std::string, entry_doubt> found;
    for (const auto& [id, endpoint] : this->known)
        if (endpoint.doubt != entry_doubt::none)
            found[id] = endpoint.doubt;
    return found;
}

void directory::drop_missing_endpoints(instant now)
{
    // A missing entry means nothing while the store is unavailable.
    if (!this->available || !this->may_miss_endpoints)
        return;
    const auto gone = std::erase_if(
        this->known,
        [this, now](const auto& entry)
        {
            const known_endpoint& endpoint = entry.second;
            const bool is_gone =
                endpoint.missing_since &&
                now - *endpoint.missing_since > this->options.missing_grace;
            if (!is_gone)
                return false;
            this->remember_dropped(endpoint.entry, endpoint.version, now);
            const auto told = this->news.find(entry.first);
            if (told != this->news.end())
                told->second.as_of = now;
            return true;
        });
    if (gone > 0)
        ++this->endpoint_changes;
    this->may_miss_endpoints =
        std::any_of(this->known.begin(), this->known.end(),
                    [](const auto& entry)
                    { return entry.second.missing_since.has_value(); });
}

std::vector<schema::endpoint_registration> directory::endpoints() const
{
    std::vector<schema::endpoint_registration> usable;
    usable.reserve(this->known.size());
    for (const auto& [id, endpoint] : this->known)
        usable.push_back(endpoint.entry);
    return usable;
}

std::vector<schema::endpoint_registration>
directory::lately_dropped(instant now) const
{
    std::vector<schema::endpoint_registration> found;
    for (const auto& [id, endpoint] : this->dropped)
        if (now - endpoint.dropped_at < this->options.dropped_lately)
            found.push_back(endpoint.entry);
    return found;
}

void directory::repeat_write(instant now)
{
    this->next_write = now + this->write_backoff;
    this->write_backoff = this->next_backoff(this->write_backoff);
}

void directory::write_registration(instant now)
{
    this->is_writing = true;
    this->next_write = now;
    this->hooks.write({.name = this->options.self,
                       .record = this->options.record,
                       .expected_version = this->own_version});
}

void directory::registration_answered(const registration_written& answer,
                                      instant now)
{
    this->is_writing = false;
    const bool is_own =
        answer.status == write_status::written ||
        (answer.current && answer.current->nonce == this->options.record.nonce);
    if (is_own)
    {
        this->own_version = answer.version;
        this->is_registered = true;
        this->registered_at = now;
        this->hooks.log(log_line("registered").add("version", answer.version));
        this->hooks.registered(answer.version);
        return;
    }
    if (answer.status == write_status::conflict)
    {
        // The row of an earlier process of this host.
        this->found_earlier_row = true;
        this->own_version = answer.version;
        this->repeat_write(now);
        return;
    }
    this->set_available(false, "registration");
    this->write_backoff = this->next_backoff(this->write_backoff);
    this->next_write = now + this->write_backoff;
}

} // namespace chicorydrum::shard
