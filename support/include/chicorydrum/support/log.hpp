/// \file
/// Structured logs: one line of key=value pairs for each event.
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

/// Builds one key=value line. Values with blanks or quotes are quoted.
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

/// Sets up the process-wide log: lines of at least \p level go to standard
/// output with a time and the level in front. They are kept until flush_log()
/// or until some kilobytes have come together; lines that a slow reader does
/// not take are dropped and counted, so that logging never blocks.
void start_logging(std::string_view level);

/// Writes the lines that are kept, as far as that does not block.
void flush_log();

/// Writes \p line to the process-wide log.
void write_log(const log_line& line);

} // namespace chicorydrum::support
