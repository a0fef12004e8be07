/// \file
/// The notion of time that every decision uses.
#pragma once

#include <chrono>

namespace chicorydrum::support
{

/// A clock without a now(): decisions are handed the time, so that whole
/// sessions replay in virtual time.
struct decision_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

using instant = decision_clock::time_point;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The whole milliseconds of \p span, rounded down.
constexpr std::int64_t whole_ms(decision_clock::duration span)
{
    return duration_cast<milliseconds>(span).count();
}

/// \p span in seconds, for rates and averages.
constexpr double in_seconds(decision_clock::duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// A span of so many milliseconds, rounded down to microseconds.
constexpr decision_clock::duration duration_from_ms(double span)
{
    return decision_clock::duration(static_cast<std::int64_t>(span * 1000));
}

} // namespace chicorydrum::support
