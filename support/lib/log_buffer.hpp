/// \file
/// Log lines on their way to a descriptor that may be slow: kept in bounded
/// memory, written only when that does not block.
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
    /// Writes what it can of the text without blocking and returns how much.
    std::function<std::size_t(std::string_view)> write_some;
    /// Lines that find so much waiting are dropped and counted.
    std::size_t max_buffered_bytes = 256U << 10U;
    /// So much is written without waiting for a flush.
    std::size_t batch_bytes = 4096;
};

/// Invariant: the descriptor sees whole lines, but for the last one of a
/// process that dies.
class log_buffer
{
public:
    explicit log_buffer(log_buffer_options given);

    /// Takes in one line with its end.
    void add(std::string_view line);
    void flush();
    /// What is not written yet.
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
    /// Dropped lines that the log does not tell yet.
    std::int64_t unreported_drops = 0;
};

} // namespace chicorydrum::support
