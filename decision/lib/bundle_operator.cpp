#include "chicorydrum/decision/bundle_operator.hpp"

#include "chicorydrum/decision/bundle_view.hpp"
#include "chicorydrum/support/digest.hpp"
#include "chicorydrum/support/json_fields.hpp"
#include "chicorydrum/support/yaml_reader.hpp"

#include <memory>

#include <nlohmann/json.hpp>

namespace chicorydrum::decision
{

namespace
{

using nlohmann::json;
using support::error_kind;
using support::fail;

/// Maximum number of reads to find out whether a roll took effect.
constexpr int max_outcome_reads = 4;

struct proposal
{
    std::string proposer;
    std::string signer;
};

std::string to_json(const proposal& proposed)
{
    return json{{"proposer", proposed.proposer}, {"signer", proposed.signer}}
        .dump();
}

std::optional<proposal> parse_proposal(const std::string& text)
{
    const json parsed = support::parse_json(text);
    if (!parsed.is_object())
        return std::nullopt;
    return proposal{.proposer = support::text_field(parsed, "proposer"),
                    .signer = support::text_field(parsed, "signer")};
}

std::string proposal_key(const std::string& digest)
{
    return "bundle/proposal/" + digest;
}

auto store_error(const std::string& doing)
{
    return fail(error_kind::store_unavailable,
                "the platform's store did not answer while " + doing);
}

/// One roll operation in progress; keeps itself alive through its callbacks.
class roll : public std::enable_shared_from_this<roll>
{
public:
    roll(const bundle_store& platform_store, std::string bundle_digest,
         std::string operator_name, std::string unique_token,
         bundle_step_hook hook)
        : store(platform_store), digest(std::move(bundle_digest)),
          roller(std::move(operator_name)), token(std::move(unique_token)),
          done(std::move(hook))
    {
    }

    void read_proposal();

private:
    void read_text();
    void read_current();
    void check_against(const std::string& current_text);
    void transact();
    void resolve_outcome();
    void fail_with(error_kind kind, const std::string& detail);
    void report_conflict(const accepted_bundle& winner);
    void succeed();

    bundle_store store;
    std::string digest;
    std::string roller;
    std::string token;
    bundle_step_hook done;
    proposal proposed;
    std::string text;
    accepted_bundle current;
    std::int64_t current_row_version = 0;
    int outcome_reads = 0;
};

void roll::fail_with(error_kind kind, const std::string& detail)
{
    this->done(fail(kind, detail));
}

void roll::read_proposal()
{
    const auto self = this->shared_from_this();
    this->store.read(
        proposal_key(this->digest),
        [self](support::result<table_row> row)
        {
            if (!row)
                return self->done(store_error("reading the proposal"));
            const auto parsed = parse_proposal(row->value);
            if (row->version == 0 || !parsed)
                return self->fail_with(error_kind::not_found,
                                       "no proposal has this digest");
            if (parsed->signer.empty())
                return self->fail_with(error_kind::conflict,
                                       "nobody has signed it off");
            self->proposed = *parsed;
            self->read_text();
        });
}

void roll::read_text()
{
    const auto self = this->shared_from_this();
    this->store.get_object(
        bundle_object_name(this->digest),
        [self](support::result<std::string> bytes)
        {
            if (!bytes)
                return self->done(store_error("reading the bundle"));
            if (support::sha256_hex(*bytes) != self->digest)
                return self->fail_with(error_kind::internal,
                                       "the stored bytes do not match the "
                                       "digest");
            self->text = *bytes;
            self->read_current();
        });
}

void roll::read_current()
{
    const auto self = this->shared_from_this();
    this->store.read(
        current_bundle_key,
        [self](support::result<table_row> row)
        {
            if (!row)
                return self->done(store_error("reading the current version"));
            const auto parsed = parse_accepted_bundle(row->value);
            if (!parsed)
                return self->done(tl::unexpected(parsed.error()));
            self->current = *parsed;
            self->current_row_version = row->version;
            if (self->current.version == 0)
                return self->transact();
            self->store.get_object(
                bundle_object_name(self->current.digest),
                [self](support::result<std::string> bytes)
                {
                    if (!bytes)
                        return self->done(store_error("reading the bundle in "
                                                      "force"));
                    self->check_against(*bytes);
                });
        });
}

void roll::check_against(const std::string& current_text)
{
    const auto now = support::read_bundle(current_text, "current");
    const auto next = support::read_bundle(this->text, "proposed");
    if (!next)
        return this->done(tl::unexpected(next.error()));
    const std::string conflict =
        now ? find_bundle_conflict(*now, *next) : std::string();
    if (!conflict.empty())
        return this->fail_with(error_kind::bad_request, conflict);
    this->transact();
}

void roll::transact()
{
    accepted_bundle next;
    next.version = this->current.version + 1;
    next.digest = this->digest;
    next.proposer = this->proposed.proposer;
    next.signer = this->proposed.signer;
    next.roller = this->roller;
    next.token = this->token;
    const std::string value = to_json(next);
    const auto self = this->shared_from_this();
    this->store.transact(
        {{.key = current_bundle_key,
          .value = value,
          .expected_version = this->current_row_version},
         {.key = history_key(next.version),
          .value = value,
          .expected_version = 0}},
        [self](store_outcome outcome)
        {
            switch (outcome)
            {
            case store_outcome::applied:
                return self->succeed();
            case store_outcome::unavailable:
                return self->done(store_error("rolling; nothing was rolled"));
            case store_outcome::condition_failed:
            case store_outcome::unknown:
                return self->resolve_outcome();
            }
        });
}

void roll::resolve_outcome()
{
    const auto self = this->shared_from_this();
    this->store.read(
        current_bundle_key,
        [self](support::result<table_row> row)
        {
            const auto parsed = row ? parse_accepted_bundle(row->value)
                                    : support::result<accepted_bundle>(
                                          store_error("settling the roll"));
            if (parsed && parsed->token == self->token)
                return self->succeed();
            if (parsed && parsed->version > self->current.version)
                return self->report_conflict(*parsed);
            if (++self->outcome_reads >= max_outcome_reads)
                return self->fail_with(error_kind::undetermined,
                                       "it is not known whether the roll took "
                                       "effect; `bundle show` tells later");
            // Not applied yet. Repeating the write is safe: if the first one
            // still arrives, only one of the two meets its condition.
            if (parsed)
                return self->transact();
            self->resolve_outcome();
        });
}

void roll::report_conflict(const accepted_bundle& winner)
{
    // The history shows whether this roll succeeded and a later one replaced
    // it.
    const auto self = this->shared_from_this();
    this->store.read(
        history_key(this->current.version + 1),
        [self, winner](support::result<table_row> row)
        {
            const auto parsed = row ? parse_accepted_bundle(row->value)
                                    : support::result<accepted_bundle>(
                                          store_error("reading the history"));
            if (!parsed)
                return self->fail_with(error_kind::undetermined,
                                       "it is not known whether the roll "
                                       "took effect; `bundle history` tells "
                                       "later");
            if (parsed->token == self->token)
                return self->succeed();
            self->fail_with(error_kind::conflict,
                            "version " + std::to_string(winner.version) +
                                " was rolled by " + winner.roller +
                                " meanwhile");
        });
}

void roll::succeed()
{
    this->done(bundle_step{.digest = this->digest,
                           .version = this->current.version + 1,
                           .text = this->text});
}

} // namespace

std::string to_json(const accepted_bundle& bundle)
{
    return json{{"version", bundle.version},   {"digest", bundle.digest},
                {"proposer", bundle.proposer}, {"signer", bundle.signer},
                {"roller", bundle.roller},     {"token", bundle.token}}
        .dump();
}

support::result<accepted_bundle> parse_accepted_bundle(const std::string& text)
{
    if (text.empty())
        return accepted_bundle{};
    const json parsed = support::parse_json(text);
    if (!parsed.is_object() || !parsed.contains("version") ||
        !parsed["version"].is_number_integer())
        return fail(error_kind::internal,
                    "the platform's table holds a malformed bundle record");
    return accepted_bundle{.version = parsed["version"],
                           .digest = support::text_field(parsed, "digest"),
                           .proposer = support::text_field(parsed, "proposer"),
                           .signer = support::text_field(parsed, "signer"),
                           .roller = support::text_field(parsed, "roller"),
                           .token = support::text_field(parsed, "token")};
}

std::string history_key(std::int64_t version)
{
    return "bundle/history/" + std::to_string(version);
}

std::string bundle_object_name(const std::string& digest)
{
    return "bundle-" + digest;
}

void propose_bundle(const bundle_store& store, const std::string& text,
                    const std::string& operator_name,
                    const bundle_step_hook& done)
{
    const auto checked = support::read_bundle(text, "bundle");
    if (!checked)
        return done(tl::unexpected(checked.error()));
    const std::string digest = support::sha256_hex(text);
    store.put_object(
        bundle_object_name(digest), text,
        [store, digest, operator_name, done](bool is_stored)
        {
            if (!is_stored)
                return done(store_error("storing the bundle"));
            const proposal proposed{.proposer = operator_name, .signer = ""};
            store.transact({{.key = proposal_key(digest),
                             .value = to_json(proposed),
                             .expected_version = 0}},
                           [digest, done](store_outcome outcome)
                           {
                               const bundle_step step{
                                   .digest = digest, .version = 0, .text = ""};
                               // An existing proposal of the same bytes
                               // counts as success and keeps its proposer.
                               if (outcome == store_outcome::applied ||
                                   outcome == store_outcome::condition_failed)
                                   return done(step);
                               done(store_error("proposing; propose again"));
                           });
        });
}

void sign_off_bundle(const bundle_store& store, const std::string& digest,
                     const std::string& operator_name,
                     const bundle_step_hook& done)
{
    store.read(
        proposal_key(digest),
        [store, digest, operator_name, done](support::result<table_row> row)
        {
            if (!row)
                return done(store_error("reading the proposal"));
            const auto parsed = parse_proposal(row->value);
            if (row->version == 0 || !parsed)
                return done(
                    fail(error_kind::not_found, "no proposal has this digest"));
            if (parsed->proposer == operator_name)
                return done(fail(error_kind::conflict,
                                 "its proposer may not sign it off"));
            proposal signed_off = *parsed;
            signed_off.signer = operator_name;
            store.transact({{.key = proposal_key(digest),
                             .value = to_json(signed_off),
                             .expected_version = row->version}},
                           [digest, done](store_outcome outcome)
                           {
                               if (outcome == store_outcome::applied)
                                   return done(bundle_step{.digest = digest,
                                                           .version = 0,
                                                           .text = ""});
                               if (outcome == store_outcome::condition_failed)
                                   return done(fail(error_kind::conflict,
                                                    "somebody signed it off "
                                                    "meanwhile"));
                               done(store_error("signing off; sign off again"));
                           });
        });
}

void roll_bundle(const bundle_store& store, const std::string& digest,
                 const std::string& operator_name, const std::string& token,
                 const bundle_step_hook& done)
{
    std::make_shared<roll>(store, digest, operator_name, token, done)
        ->read_proposal();
}

} // namespace chicorydrum::decision
