/// \file
/// Incarnations, homes and submission ids: who may start a submission.
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

/// Names the one process that may start a submission, and the one that
/// answers for it when it is gone. Callers treat the text form as opaque.
struct home
{
    incarnation owner;
    /// None if no other host could be a witness when the home was issued.
    std::optional<incarnation> witness;
    /// Rises with each home that the owner issues, from 1. Owner and witness
    /// forget records by generation, so that an id whose record may have
    /// been forgotten is known as such.
    std::int64_t generation = 1;

    bool operator==(const home&) const = default;
};

/// `<owner>~<nonce>~<witness>~<nonce>~<generation>`; witness and nonce are
/// empty if there is none.
std::string to_text(const home& issued);
result<home> parse_home(std::string_view text);

/// A submission id: `<home>.<key>`, or a bare key that no home claims yet.
struct submission_id
{
    std::optional<support::home> home;
    std::string key;
};

std::string to_text(const submission_id& id);

/// Parses and checks \p text: keys have 1 to 64 characters of
/// `A-Z a-z 0-9 - _`. Fails with bad_request.
result<submission_id> parse_submission_id(std::string_view text);

/// Whether \p text has 1 to \p max_length characters of `a-z 0-9 -`.
bool is_valid_name(std::string_view text, std::size_t max_length);

} // namespace chicorydrum::support
