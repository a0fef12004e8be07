/// \file
/// Builds answers to callers whose fields match the guarantees of their error
/// kind.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/error.hpp"

#include <string>

namespace chicorydrum::decision
{

/// Value of tasks_maybe_run if only an unreachable owner knew the count.
inline constexpr std::int32_t unknown_task_count = -1;

/// Returns a failure that guarantees that no task of \p id ever started.
schema::answer not_run_answer(const std::string& id, support::error_kind kind,
                              std::string detail);

/// Returns a failure after which up to \p tasks_maybe_run tasks may have run.
schema::answer maybe_run_answer(const std::string& id, support::error_kind kind,
                                std::string detail,
                                std::int32_t tasks_maybe_run);

/// Returns an answer about the request that says nothing about the outcome of
/// the submission \p id.
schema::answer status_answer(const std::string& id, support::error_kind kind,
                             std::string detail);

} // namespace chicorydrum::decision
