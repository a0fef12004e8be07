/// \file
/// Bounds the lines of an event that may happen often.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <cstdint>
#include <optional>

namespace chicorydrum::support
{

class line_limit
{
public:
    /// The events that one line stands for.
    struct summary
    {
        std::int64_t count = 0;
        /// The largest of their values.
        std::int64_t most = 0;
    };

    explicit line_limit(milliseconds between_lines = milliseconds(1000))
        : interval(between_lines)
    {
    }

    /// Notes an event with \p value. Returns what its line has to say, or
    /// nothing if the last line is too recent: a later one counts the event.
    std::optional<summary> add(std::int64_t value, instant now);

private:
    milliseconds interval;
    summary unwritten;
    std::optional<instant> last_line;
};

} // namespace chicorydrum::support
