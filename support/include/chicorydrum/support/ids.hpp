/// \file
/// Incarnations, homes and submission ids. A submission's id names the process
/// that may start it.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace chicorydrum::support
{

using schema::incarnation;

/// Returns the text form of \p process: `<host>~<nonce in hex>`.
std::string to_text(const incarnation& process);

/// Names the process that owns a submission, the only one that may start it,
/// and the witness that answers for it if the owner has failed. Callers treat
/// the text form as opaque.
struct home
{
    incarnation owner;
    /// Empty if no other host could be the witness when the home was issued.
    std::optional<incarnation> witness;
    /// Counts the homes that the owner has issued, from 1. Owner and witness
    /// purge records by generation, so that they can tell whether the record of
    /// an id may have been purged.
    std::int64_t generation = 1;

    bool operator==(const home&) const = default;
};

/// Returns `<owner>~<nonce>~<witness>~<nonce>~<generation>`. The witness and
/// its nonce are empty if there is none.
std::string to_text(const home& issued);
result<home> parse_home(std::string_view text);

/// A submission id: `<home>.<key>`, or a bare key without a home yet.
struct submission_id
{
    std::optional<support::home> home;
    std::string key;
};

std::string to_text(const submission_id& id);

/// Parses and validates \p text. A key has 1 to 64 characters of
/// `A-Z a-z 0-9 - _`. Fails with bad_request.
result<submission_id> parse_submission_id(std::string_view text);

/// Returns whether \p text has 1 to \p max_length characters of `a-z 0-9 -`.
bool is_valid_name(std::string_view text, std::size_t max_length);

} // namespace chicorydrum::support
