/// \file
/// Structured logging: one line of key=value pairs for each event.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chicorydrum::support
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// Builds one line. Empty values and values with blanks, quotes, '=' or
/// backslashes are quoted.
class log_line
{
public:
    explicit log_line(std::string_view event,
                      log_level level = log_level::info);

    log_line& add(std::string_view key, std::string_view value);
    log_line& add(std::string_view key, const char* value);
    log_line& add(std::string_view key, std::int64_t value);
    log_line& add(std::string_view key, int value);
    log_line& add(std::string_view key, bool value);
    /// Adds \p value with three decimals.
    log_line& add(std::string_view key, double value);

    const std::string& text() const
    {
        return this->formatted;
    }
    log_level level() const
    {
        return this->severity;
    }

private:
    std::string formatted;
    log_level severity;
};

/// Sets up the process-wide log, which writes lines of at least \p level to
/// standard output, prefixed with the time and the level. Lines are buffered
/// until flush_log() or until a few kilobytes have accumulated. Lines that a
/// slow reader does not consume are dropped and counted, so that logging never
/// blocks.
void start_logging(std::string_view level);

/// Writes the buffered lines as far as possible without blocking.
void flush_log();

/// Writes \p line to the process-wide log.
void write_log(const log_line& line);

} // namespace chicorydrum::support
