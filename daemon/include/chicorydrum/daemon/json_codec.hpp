/// \file
/// The JSON format of callers' requests and answers.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/error.hpp"

#include <string>
#include <string_view>

namespace chicorydrum::daemon
{

/// Parse the body of a job or a request; fail with bad_request. A missing
/// deadline becomes 0.
///
/// A job has `kind` and `tasks`, each with `payload` and optionally
/// `millicores` and `memory_mb`. A request has these fields of its only task at
/// the top level, and its kind is part of the path. `team`, `caller`, `urgency`
/// and `deadline_ms` are optional in both, `id` in a request.
support::result<schema::submission> parse_job(std::string_view body);
support::result<schema::submission> parse_request(std::string_view body,
                                                  const std::string& kind);

/// Encodes an answer; its state is complete, failed or running.
std::string to_json(const schema::answer& answer);

/// Returns the SHA-256 over the fields that a resubmission has to repeat.
std::string digest_of(const schema::submission& work);

} // namespace chicorydrum::daemon
