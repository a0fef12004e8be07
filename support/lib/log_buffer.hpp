/// \file
/// A bounded buffer of log lines for a file descriptor with a slow reader.
/// Writes only what does not block.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chicorydrum::support
{

struct log_buffer_options
{
    /// Writes a prefix of the text without blocking and returns its length.
    std::function<std::size_t(std::string_view)> write_some;
    /// Lines that do not fit in the buffer are dropped and counted.
    std::size_t max_buffered_bytes = 256U << 10U;
    /// The buffered amount that triggers a write without a flush.
    std::size_t batch_bytes = 4096;
};

/// Invariant: only complete lines are written, except for the last line of a
/// process that terminates.
class log_buffer
{
public:
    explicit log_buffer(log_buffer_options opts);

    /// Appends one line, which includes its line break.
    void add(std::string_view line);
    void flush();
    /// Returns the text that is not written yet.
    std::string_view pending() const
    {
        return this->buffered;
    }
    std::int64_t dropped_lines() const
    {
        return this->dropped;
    }

private:
    log_buffer_options options;
    std::string buffered;
    std::int64_t dropped = 0;
    /// Dropped lines that are not reported in the log yet.
    std::int64_t unreported_drops = 0;
};

} // namespace chicorydrum::support
