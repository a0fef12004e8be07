/// \file
/// The operators' steps towards a new bundle version: propose, sign off, roll.
#pragma once

#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/support/error.hpp"

#include <functional>
#include <optional>
#include <string>

namespace chicorydrum::decision
{

/// One key of the platform's table. Version 0 means that it is absent.
struct table_row
{
    std::string value;
    std::int64_t version = 0;
};

/// A write that applies only if the row still has \p expected_version.
struct table_write
{
    std::string key;
    std::string value;
    std::int64_t expected_version = 0;
};

/// The platform as operators' steps see it. Each hook calls back once.
struct bundle_store
{
    std::function<void(const std::string& key,
                       std::function<void(support::result<table_row>)>)>
        read;
    /// All writes apply, or none.
    std::function<void(std::vector<table_write>,
                       std::function<void(store_outcome)>)>
        transact;
    std::function<void(const std::string& name, const std::string& bytes,
                       std::function<void(bool is_stored)>)>
        put_object;
    std::function<void(const std::string& name,
                       std::function<void(support::result<std::string>)>)>
        get_object;
};

/// The version in force as the platform's table says.
struct accepted_bundle
{
    std::int64_t version = 0;
    std::string digest;
    std::string proposer;
    std::string signer;
    std::string roller;
    /// Unique to the roll that wrote it: settles a lost answer.
    std::string token;
};

/// What a step came to.
struct bundle_step
{
    std::string digest;
    std::int64_t version = 0;
    std::string text;
};

using bundle_step_hook = std::function<void(support::result<bundle_step>)>;

std::string to_json(const accepted_bundle& bundle);
/// Version 0 if \p text is empty.
support::result<accepted_bundle> parse_accepted_bundle(const std::string& text);

inline constexpr const char* current_bundle_key = "bundle/current";
std::string history_key(std::int64_t version);
std::string bundle_object_name(const std::string& digest);

/// Stores \p text as a proposal of \p operator_name; gives its digest.
void propose_bundle(const bundle_store& store, const std::string& text,
                    const std::string& operator_name,
                    const bundle_step_hook& done);

/// Signs off the exact bytes with \p digest. The proposer may not.
void sign_off_bundle(const bundle_store& store, const std::string& digest,
                     const std::string& operator_name,
                     const bundle_step_hook& done);

/// Makes the signed-off bundle the next version. Of racing operators one
/// wins; the others get a conflict that names the current version. A lost
/// answer is settled by \p token, which must be unique.
void roll_bundle(const bundle_store& store, const std::string& digest,
                 const std::string& operator_name, const std::string& token,
                 const bundle_step_hook& done);

} // namespace chicorydrum::decision
