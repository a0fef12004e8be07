/// \file
/// The error kinds and the HTTP status, text and retry advice of each.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"

#include <string_view>

#include <tl/expected.hpp>

namespace chicorydrum::support
{

using schema::error_kind;

/// How a caller may retry after an error.
enum class retry_advice
{
    never,     ///< The same submission would fail again.
    here,      ///< With the same id, through any host, at once.
    elsewhere, ///< With a new id, through any other host.
    later,     ///< With a new id, after retry_after.
};

/// What a caller is told about one error kind.
struct error_info
{
    error_kind kind;
    std::string_view name;
    int http_status;
    /// Whether the kind alone proves that no task has started.
    bool implies_not_run;
    retry_advice advice;
    std::string_view text;
};

/// Returns the description of \p kind, which every kind has.
const error_info& get_error_info(error_kind kind);

/// Returns the kind called \p name, or internal if there is none.
error_kind error_kind_named(std::string_view name);

std::string_view name_of(retry_advice advice);

/// An error kind and a message for an operator or a caller.
struct error
{
    error_kind kind = error_kind::internal;
    std::string detail;
};

template <typename T>
using result = tl::expected<T, error>;

/// Returns an error that converts to any result.
tl::unexpected<error> fail(error_kind kind, std::string detail);

} // namespace chicorydrum::support
