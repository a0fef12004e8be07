#include "chicorydrum/support/log.hpp"

#include "log_buffer.hpp"
#include "unwritten_log_lines.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

#include <poll.h>
#include <unistd.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace chicorydrum::support
{

namespace
{

bool is_control(char c)
{
    constexpr char delete_character = 0x7f;
    return static_cast<unsigned char>(c) < 0x20 || c == delete_character;
}

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" \"=\\") != std::string_view::npos ||
           std::any_of(value.begin(), value.end(), is_control);
}

void append_quoted(std::string& text, std::string_view value)
{
    text += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
            text += '\\';
        text += is_control(c) ? ' ' : c;
    }
    text += '"';
}

/// Writes to standard output without blocking. A writable pipe accepts at least
/// 4096 bytes (PIPE_BUF).
std::size_t write_to_output(std::string_view text)
{
    constexpr std::size_t pipe_buffer_bytes = 4096;
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
        return 0;
    const ssize_t written = ::write(STDOUT_FILENO, text.data(),
                                    std::min(text.size(), pipe_buffer_bytes));
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

log_buffer& output_buffer()
{
    static log_buffer buffer({.write_some = write_to_output});
    return buffer;
}

/// Replaces the library's own writer and receives its formatted lines.
class buffered_dispatch : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) override
    {
        const el::LogMessage* const message = data->logMessage();
        output_buffer().add(
            message->logger()->logBuilder()->build(message, true));
    }
};

} // namespace

log_line::log_line(std::string_view event, log_level level) : severity(level)
{
    this->formatted = "event=";
    this->formatted += event;
}

log_line& log_line::add(std::string_view key, std::string_view value)
{
    this->formatted += ' ';
    this->formatted += key;
    this->formatted += '=';
    if (needs_quotes(value))
        append_quoted(this->formatted, value);
    else
        this->formatted += value;
    return *this;
}

log_line& log_line::add(std::string_view key, const char* value)
{
    return this->add(key, std::string_view(value));
}

log_line& log_line::add(std::string_view key, std::int64_t value)
{
    return this->add(key, std::string_view(std::to_string(value)));
}

log_line& log_line::add(std::string_view key, int value)
{
    return this->add(key, std::int64_t{value});
}

log_line& log_line::add(std::string_view key, bool value)
{
    return this->add(key, std::string_view(value ? "true" : "false"));
}

log_line& log_line::add(std::string_view key, double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", value);
    return this->add(key, std::string_view(text.data()));
}

void start_logging(std::string_view level)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(
        el::ConfigurationType::Format,
        "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    const auto disable = [&configuration](el::Level disabled_level)
    {
        configuration.set(disabled_level, el::ConfigurationType::Enabled,
                          "false");
    };
    if (level != "debug")
        disable(el::Level::Debug);
    if (level == "warning" || level == "error")
        disable(el::Level::Info);
    if (level == "error")
        disable(el::Level::Warning);
    el::Loggers::reconfigureLogger("default", configuration);
    constexpr const char* callback_id = "buffered_dispatch";
    if (el::Helpers::installLogDispatchCallback<buffered_dispatch>(callback_id))
    {
        el::Helpers::uninstallLogDispatchCallback<
            el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
        // Constructed before atexit(), so that it still exists when flush_log()
        // runs at exit.
        output_buffer();
        std::atexit(flush_log);
    }
}

void flush_log()
{
    output_buffer().flush();
}

std::string_view unwritten_log_lines()
{
    return output_buffer().pending();
}

void write_log(const log_line& line)
{
    switch (line.level())
    {
    case log_level::debug:
        LOG(DEBUG) << line.text();
        return;
    case log_level::info:
        LOG(INFO) << line.text();
        return;
    case log_level::warning:
        LOG(WARNING) << line.text();
        return;
    case log_level::error:
        LOG(ERROR) << line.text();
        return;
    }
}

} // namespace chicorydrum::support
