/// \file
/// JSON of the caller interface.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/error.hpp"

#include <string>
#include <string_view>

namespace chicorydrum::daemon
{

/// The fields of a job's or a request's body. An absent deadline is 0.
///
/// A job has `kind` and `tasks`, each with `payload` and, if declared,
/// `millicores` and `memory_mb`. A request has these of its one task beside
/// `team`, and its kind stands in the path. Both may give `team`, `caller`,
/// `urgency` and `deadline_ms`; a request may also give `id`.
support::result<schema::submission> parse_job(std::string_view body);
support::result<schema::submission> parse_request(std::string_view body,
                                                  const std::string& kind);

/// The body of an answer; the state is complete, failed or running.
std::string to_json(const schema::answer& answer);

/// SHA-256 over what makes a resubmission the same submission.
std::string digest_of(const schema::submission& work);

} // namespace chicorydrum::daemon
