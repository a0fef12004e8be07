/// \file
/// Builds the answers that callers get, so that each says no more than its
/// error kind allows.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/error.hpp"

#include <string>

namespace chicorydrum::decision
{

/// Stands in tasks_maybe_run where only the owner knew the count.
inline constexpr std::int32_t unknown_task_count = -1;

/// A failure of which it is certain that no task of \p id ever started.
schema::answer not_run_answer(const std::string& id, support::error_kind kind,
                              std::string detail);

/// A failure after which up to \p tasks_maybe_run tasks may have run.
schema::answer maybe_run_answer(const std::string& id, support::error_kind kind,
                                std::string detail,
                                std::int32_t tasks_maybe_run);

/// A statement about the request, not about what became of \p id.
schema::answer status_answer(const std::string& id, support::error_kind kind,
                             std::string detail);

} // namespace chicorydrum::decision
