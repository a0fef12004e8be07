/// \file
/// The clock type and the time conversions of the decision code.
#pragma once

#include <chrono>

namespace chicorydrum::support
{

/// A clock without now(). The current time is passed to all decision code, so
/// that sessions can be replayed in virtual time.
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

/// Returns \p span in milliseconds, rounded down.
constexpr std::int64_t whole_ms(decision_clock::duration span)
{
    return duration_cast<milliseconds>(span).count();
}

/// Returns \p span in seconds, for rates and averages.
constexpr double in_seconds(decision_clock::duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Converts \p count milliseconds to a duration, rounded down to microseconds.
constexpr decision_clock::duration duration_from_ms(double count)
{
    return decision_clock::duration(static_cast<std::int64_t>(count * 1000));
}

} // namespace chicorydrum::support
