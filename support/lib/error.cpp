#include "chicorydrum/support/error.hpp"

#include <array>
#include <cassert>

namespace chicorydrum::support
{

namespace
{

using enum error_kind;
using enum retry_advice;

// Ordered by error_kind value, which get_error_info() uses as the index.
constexpr std::array error_table = {
    error_info{none, "none", 200, false, never, "complete"},
    error_info{bad_request, "bad_request", 400, true, never,
               "the request is malformed"},
    error_info{conflict, "conflict", 409, false, never,
               "the id belongs to another submission"},
    error_info{over_quota, "over_quota", 429, true, later,
               "the team's quota is used up"},
    error_info{shed, "shed", 503, true, later,
               "it could not finish before its deadline"},
    error_info{no_capacity, "no_capacity", 503, true, later,
               "no endpoint can take it now"},
    error_info{never_fits, "never_fits", 422, true, never,
               "it is larger than every worker"},
    error_info{home_gone, "home_gone", 503, false, elsewhere,
               "the owner of the id is gone"},
    error_info{undetermined, "undetermined", 504, false, here,
               "its outcome cannot be known now"},
    error_info{deadline_passed, "deadline_passed", 504, false, never,
               "its deadline has passed"},
    error_info{endpoint_failed, "endpoint_failed", 502, false, never,
               "an endpoint failed a task"},
    error_info{cancelled, "cancelled", 410, false, never, "it was cancelled"},
    error_info{stopping, "stopping", 503, false, elsewhere,
               "the host is stopping"},
    error_info{bundle_missing, "bundle_missing", 503, true, elsewhere,
               "the host has no bundle yet"},
    error_info{store_unavailable, "store_unavailable", 503, false, later,
               "the platform's store does not answer"},
    error_info{internal, "internal", 500, false, never, "an internal error"},
    error_info{not_found, "not_found", 404, false, never,
               "nothing is known of it"},
    error_info{running, "running", 202, false, here, "it has not finished"},
    error_info{method_not_allowed, "method_not_allowed", 405, true, never,
               "the path does not take this method"},
    error_info{too_large, "too_large", 413, true, never,
               "the body is larger than the limit"},
    error_info{too_slow, "too_slow", 408, true, here,
               "the request took too long to arrive"},
    error_info{too_many_connections, "too_many_connections", 503, true,
               elsewhere, "the host has too many connections"},
};

constexpr std::array<std::string_view, 4> advice_names = {"never", "here",
                                                          "elsewhere", "later"};

} // namespace

const error_info& get_error_info(error_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < error_table.size() && "error kind without a table row");
    assert(error_table[index].kind == kind && "error table out of order");
    return error_table[index];
}

error_kind error_kind_named(std::string_view name)
{
    for (const error_info& row : error_table)
        if (row.name == name)
            return row.kind;
    return internal;
}

std::string_view name_of(retry_advice advice)
{
    return advice_names[static_cast<std::size_t>(advice)];
}

tl::unexpected<error> fail(error_kind kind, std::string detail)
{
    return tl::unexpected(error{.kind = kind, .detail = std::move(detail)});
}

} // namespace chicorydrum::support
