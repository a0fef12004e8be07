/// \file
/// The closed list of error kinds and what each one tells a caller.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"

#include <string_view>

#include <tl/expected.hpp>

namespace chicorydrum::support
{

using schema::error_kind;

/// What a caller may do after an error.
enum class retry_advice
{
    never,     ///< The same submission fails again.
    here,      ///< The same id through any host, at once.
    elsewhere, ///< A new id, through any other host.
    later,     ///< A new id, after retry_after.
};

/// One row of the table from error kind to answer.
struct error_info
{
    error_kind kind;
    std::string_view name;
    int http_status;
    /// Whether the kind alone proves that no task ever started.
    bool implies_not_run;
    retry_advice advice;
    std::string_view text;
};

/// The row of \p kind. Every kind has one.
const error_info& get_error_info(error_kind kind);

/// The kind called \p name, or internal if there is none.
error_kind error_kind_named(std::string_view name);

std::string_view name_of(retry_advice advice);

/// An error kind with what was wrong, in words for an operator or a caller.
struct error
{
    error_kind kind = error_kind::internal;
    std::string detail;
};

template <typename T>
using result = tl::expected<T, error>;

/// Shorthand for the unexpected branch of a result.
tl::unexpected<error> fail(error_kind kind, std::string detail);

} // namespace chicorydrum::support
