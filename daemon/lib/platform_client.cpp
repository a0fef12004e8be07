#include "chicorydrum/daemon/platform_client.hpp"

#include "chicorydrum/support/digest.hpp"
#include "chicorydrum/support/json_fields.hpp"
#include "chicorydrum/support/log.hpp"
#include "chicorydrum/support/validation.hpp"

#include <optional>

#include <nlohmann/json.hpp>

namespace chicorydrum::daemon
{

namespace
{

using decision::store_outcome;
using nlohmann::json;
using support::error_kind;
using transport::client_error;
using transport::client_outcome;
using transport::http_method;

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_connections = 1'000'000;

std::string claim_row_key(const std::string& key)
{
    return "claim/" + key;
}

/// Reads the members of one entry of a list and records whether all of them are
/// usable.
class entry_reader
{
public:
    explicit entry_reader(const json& item) : entry(item)
    {
    }

    std::string text(const char* name)
    {
        const auto found = this->entry.find(name);
        if (found == this->entry.end())
            return {};
        this->is_usable = this->is_usable && found->is_string();
        return support::text_field(this->entry, name);
    }
    /// Returns a text that is sent and logged.
    std::string name(const char* name)
    {
        std::string value = this->text(name);
        this->is_usable = this->is_usable && support::is_plain_name(value);
        return value;
    }
    int integer(const char* name, int default_value, std::int64_t min,
                std::int64_t max)
    {
        const auto found = this->entry.find(name);
        if (found == this->entry.end())
            return default_value;
        const std::int64_t value = support::integer_field(this->entry, name);
        this->is_usable = this->is_usable && found->is_number_integer() &&
                          value >= min && value <= max;
        return this->is_usable ? static_cast<int>(value) : default_value;
    }
    int port(const char* name)
    {
        return this->integer(name, 0, 1, max_port);
    }
    decision::listing_state state()
    {
        const std::string value = this->text("state");
        const bool is_leaving = value == "leaving";
        this->is_usable =
            this->is_usable && (value.empty() || value == "live" || is_leaving);
        return is_leaving ? decision::listing_state::leaving
                          : decision::listing_state::live;
    }
    bool is_valid() const
    {
        return this->is_usable;
    }

private:
    const json& entry;
    bool is_usable = true;
};

std::optional<decision::endpoint_listing> parse_endpoint(const json& item)
{
    entry_reader reader(item);
    decision::endpoint_listing endpoint{
        .name = reader.name("name"),
        .domain = reader.name("domain"),
        .rack = reader.text("rack"),
        .address = reader.name("address"),
        .port = reader.port("port"),
        .slots = reader.integer("slots", 8, 0, max_connections),
        .connections = reader.integer("connections", 64, 0, max_connections),
        .millicores =
            reader.integer("millicores", 16000, 0, support::max_millicores),
        .memory_mb =
            reader.integer("memory_mb", 65536, 0, support::max_memory_mb),
        .state = reader.state()};
    if (!reader.is_valid() || endpoint.port == 0)
        return std::nullopt;
    return endpoint;
}

std::optional<decision::host_listing> parse_host(const json& item)
{
    entry_reader reader(item);
    decision::host_listing host{.name = reader.name("name"),
                                .domain = reader.name("domain"),
                                .address = reader.name("address"),
                                .peer_port = reader.port("peer_port"),
                                .state = reader.state()};
    if (!reader.is_valid() || host.peer_port == 0)
        return std::nullopt;
    return host;
}

/// Returns the usable entries of \p items.
template <typename T>
std::vector<T> parse_entries(const json& items,
                             std::optional<T> (*parse)(const json&))
{
    std::vector<T> entries;
    for (const json& item : items)
    {
        auto entry = item.is_object() ? parse(item) : std::nullopt;
        if (entry)
            entries.push_back(std::move(*entry));
    }
    if (entries.size() < items.size())
        support::write_log(
            support::log_line("host_list_malformed",
                              support::log_level::warning)
                .add("entries", static_cast<std::int64_t>(items.size()))
                .add("usable", static_cast<std::int64_t>(entries.size())));
    return entries;
}

} // namespace

support::result<decision::host_list_read>
parse_host_list(const std::string& text)
{
    const json parsed = support::parse_repaired_json(text);
    const auto hosts = parsed.find("entry_hosts");
    const auto endpoints = parsed.find("endpoints");
    if (!parsed.is_object() || hosts == parsed.end() ||
        endpoints == parsed.end() || !hosts->is_array() ||
        !endpoints->is_array())
        return support::fail(error_kind::bad_request,
                             "the host list is malformed");
    return decision::host_list_read{
        .hosts = parse_entries(*hosts, parse_host),
        .endpoints = parse_entries(*endpoints, parse_endpoint)};
}

platform_client::platform_client(platform_client_options opts)
    : options(std::move(opts)), http({.loop = this->options.loop}),
      breaker({.seed = this->options.seed}),
      poll_timer(this->options.loop.make_timer([this] { this->poll(); }))
{
    this->poll_timer.start(support::milliseconds(1));
}

transport::client_request platform_client::make_request(http_method method,
                                                        std::string path,
                                                        std::string body) const
{
    return {.address = this->options.address,
            .port = this->options.port,
            .method = method,
            .path = std::move(path),
            .headers = {},
            .body = std::move(body),
            .timeout = this->options.request_timeout};
}

void platform_client::send(transport::client_request request,
                           const outcome_callback& done)
{
    const support::instant now = transport::event_loop::now();
    const bool is_read = request.method == http_method::get;
    const bool in_budget =
        is_read
            ? this->read_budget.take(1, this->options.reads_per_second, now)
            : this->write_budget.take(1, this->options.writes_per_second, now);
    if (!in_budget || !this->breaker.allow(now))
    {
        done(tl::unexpected(client_error::not_sent));
        return;
    }
    ++(is_read ? this->read_count : this->write_count);
    this->http.send(std::move(request),
                    [this, done](client_outcome outcome)
                    {
                        constexpr int server_error = 500;
                        if (outcome && outcome->status < server_error)
                            this->breaker.succeeded();
                        else
                            this->breaker.failed(transport::event_loop::now());
                        done(std::move(outcome));
                    });
}

void platform_client::poll()
{
    this->poll_timer.start(this->options.poll_interval);
    this->poll_hosts();
    this->poll_bundle();
}

void platform_client::poll_hosts()
{
    // The platform sends the list, of up to thousands of workers, only if it
    // has changed since this revision.
    this->send(this->make_request(http_method::get,
                                  "/hosts/since/" +
                                      std::to_string(this->host_list_revision),
                                  ""),
               [this](const client_outcome& outcome)
               { this->handle_host_list(outcome); });
}

void platform_client::handle_host_list(const client_outcome& outcome)
{
    constexpr int not_modified = 304;
    if (outcome && outcome->status == not_modified)
    {
        this->options.on_event(decision::host_list_unchanged{});
        return;
    }
    auto list = outcome && outcome->status == 200
                    ? parse_host_list(outcome->body)
                    : support::fail(error_kind::store_unavailable,
                                    "the platform did not answer");
    if (!list)
    {
        this->options.on_event(decision::host_list_unavailable{});
        return;
    }
    this->host_list_revision = support::integer_field(
        support::parse_repaired_json(outcome->body), "revision");
    this->options.on_event(std::move(*list));
}

void platform_client::poll_bundle()
{
    this->read_row(
        decision::current_bundle_key,
        [this](const support::result<decision::table_row>& row)
        {
            if (!row)
                return;
            const auto accepted = decision::parse_accepted_bundle(row->value);
            if (accepted && accepted->version > this->known_bundle_version)
                this->fetch_bundle(*accepted);
        });
}

void platform_client::fetch_bundle(const decision::accepted_bundle& accepted)
{
    if (this->is_fetching_bundle)
        return;
    this->is_fetching_bundle = true;
    this->send(this->make_request(
                   http_method::get,
                   "/objects/" + decision::bundle_object_name(accepted.digest),
                   ""),
               [this, accepted](const client_outcome& outcome)
               {
                   this->is_fetching_bundle = false;
                   if (!outcome || outcome->status != 200 ||
                       support::sha256_hex(outcome->body) != accepted.digest)
                       return;
                   this->known_bundle_version = accepted.version;
                   this->options.on_event(decision::bundle_read{
                       .version = accepted.version, .text = outcome->body});
               });
}

void platform_client::read_row(
    const std::string& key,
    std::function<void(support::result<decision::table_row>)> done)
{
    this->send(this->make_request(http_method::get, "/table/" + key, ""),
               [done = std::move(done)](const client_outcome& outcome)
               {
                   if (outcome && outcome->status == 404)
                       return done(decision::table_row{});
                   if (!outcome || outcome->status != 200)
                       return done(
                           support::fail(error_kind::store_unavailable,
                                         "the platform did not answer"));
                   const json parsed = support::parse_json(outcome->body);
                   if (!parsed.is_object())
                       return done(support::fail(error_kind::store_unavailable,
                                                 "the platform's answer is "
                                                 "malformed"));
                   done(decision::table_row{
                       .value = support::text_field(parsed, "value"),
                       .version = support::integer_field(parsed, "version")});
               });
}

void platform_client::transact(const std::vector<decision::table_write>& writes,
                               const std::function<void(store_outcome)>& done)
{
    json body = {{"writes", json::array()}};
    for (const decision::table_write& write : writes)
        body["writes"].push_back(
            {{"key", write.key},
             {"value", write.value},
             {"expected_version", write.expected_version}});
    this->send(
        this->make_request(http_method::post, "/table/transact", body.dump()),
        [done](const client_outcome& outcome)
        {
            if (!outcome)
                done(outcome.error() == client_error::not_sent
                         ? store_outcome::unavailable
                         : store_outcome::unknown);
            else if (outcome->status == 200)
                done(store_outcome::applied);
            else if (outcome->status == 409)
                done(store_outcome::condition_failed);
            else
                done(store_outcome::unknown);
        });
}

void platform_client::claim(const decision::claim_key& claim)
{
    const auto answer =
        [this, claim](store_outcome outcome, const std::string& value)
    {
        this->options.on_event(decision::store_answered{
            .ticket = claim.ticket, .outcome = outcome, .value = value});
    };
    const auto read_owner = [this, claim, answer]
    {
        this->read_row(claim_row_key(claim.key),
                       [answer](const support::result<decision::table_row>& row)
                       {
                           if (row)
                               answer(store_outcome::condition_failed,
                                      row->value);
                           else
                               answer(store_outcome::unavailable, "");
                       });
    };
    this->transact({{.key = claim_row_key(claim.key),
                     .value = claim.value,
                     .expected_version = 0}},
                   [answer, read_owner](store_outcome outcome)
                   {
                       if (outcome == store_outcome::condition_failed)
                           read_owner();
                       else
                           answer(outcome, "");
                   });
}

void platform_client::read(const decision::read_key& read)
{
    this->read_row(claim_row_key(read.key),
                   [this, read](const support::result<decision::table_row>& row)
                   {
                       decision::store_answered answer{
                           .ticket = read.ticket,
                           .outcome = store_outcome::unavailable,
                           .value = ""};
                       if (row)
                       {
                           answer.outcome = store_outcome::applied;
                           answer.value = row->value;
                       }
                       this->options.on_event(answer);
                   });
}

decision::bundle_store platform_client::bundle_store()
{
    return {
        .read = [this](const std::string& key, auto done)
        { this->read_row(key, std::move(done)); },
        .transact = [this](const std::vector<decision::table_write>& writes,
                           const auto& done) { this->transact(writes, done); },
        .put_object =
            [this](const std::string& name, const std::string& bytes, auto done)
        {
            this->send(
                this->make_request(http_method::put, "/objects/" + name, bytes),
                [done](const client_outcome& outcome)
                { done(outcome && outcome->status == 200); });
        },
        .get_object =
            [this](const std::string& name, auto done)
        {
            this->send(
                this->make_request(http_method::get, "/objects/" + name, ""),
                [done](client_outcome outcome)
                {
                    if (outcome && outcome->status == 200)
                        done(std::move(outcome->body));
                    else
                        done(support::fail(error_kind::store_unavailable,
                                           "the object store did not "
                                           "answer"));
                });
        },
    };
}

} // namespace chicorydrum::daemon
