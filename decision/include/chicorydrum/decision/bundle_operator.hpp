/// \file
/// The operations by which operators publish a new bundle version: propose,
/// sign off, roll.
#pragma once

#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/support/error.hpp"

#include <functional>
#include <optional>
#include <string>

namespace chicorydrum::decision
{

/// One row of the platform's table. Version 0 means that the key is absent.
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

/// The platform's table and object store. Each function calls its callback
/// exactly once.
struct bundle_store
{
    std::function<void(const std::string& key,
                       std::function<void(support::result<table_row>)>)>
        read;
    /// Applies all writes or none.
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

/// The current bundle version as recorded in the platform's table.
struct accepted_bundle
{
    std::int64_t version = 0;
    std::string digest;
    std::string proposer;
    std::string signer;
    std::string roller;
    /// Unique per roll; identifies the writer if the store's answer was lost.
    std::string token;
};

/// The result of one operation.
struct bundle_step
{
    std::string digest;
    std::int64_t version = 0;
    std::string text;
};

using bundle_step_hook = std::function<void(support::result<bundle_step>)>;

std::string to_json(const accepted_bundle& bundle);
/// Parses a table row's value; returns version 0 if \p text is empty.
support::result<accepted_bundle> parse_accepted_bundle(const std::string& text);

inline constexpr const char* current_bundle_key = "bundle/current";
std::string history_key(std::int64_t version);
std::string bundle_object_name(const std::string& digest);

/// Stores \p text as a proposal of \p operator_name and reports its digest.
void propose_bundle(const bundle_store& store, const std::string& text,
                    const std::string& operator_name,
                    const bundle_step_hook& done);

/// Signs off the bundle with \p digest. The proposer may not sign it off.
void sign_off_bundle(const bundle_store& store, const std::string& digest,
                     const std::string& operator_name,
                     const bundle_step_hook& done);

/// Makes the signed-off bundle the next version. If several operators roll
/// concurrently, one succeeds and the others get a conflict that names the
/// current version. If the store's answer is lost, \p token, which must be
/// unique, shows whether this roll took effect.
void roll_bundle(const bundle_store& store, const std::string& digest,
                 const std::string& operator_name, const std::string& token,
                 const bundle_step_hook& done);

} // namespace chicorydrum::decision
