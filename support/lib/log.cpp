#include "chicorydrum/support/log.hpp"

#include <array>
#include <cstdio>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace chicorydrum::support
{

namespace
{

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void append_quoted(std::string& text, std::string_view value)
{
    text += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
            text += '\\';
        const bool is_control = static_cast<unsigned char>(c) < 0x20;
        text += is_control ? ' ' : c;
    }
    text += '"';
}

} // namespace

log_line::log_line(std::string_view event, log_level level) : severity(level)
{
    this->text_built = "event=";
    this->text_built += event;
}

log_line& log_line::add(std::string_view key, std::string_view value)
{
    this->text_built += ' ';
    this->text_built += key;
    this->text_built += '=';
    if (needs_quotes(value))
        append_quoted(this->text_built, value);
    else
        this->text_built += value;
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
    const auto silence = [&configuration](el::Level below)
    {
        configuration.set(below, el::ConfigurationType::Enabled, "false");
    };
    if (level != "debug")
        silence(el::Level::Debug);
    if (level == "warning" || level == "error")
        silence(el::Level::Info);
    if (level == "error")
        silence(el::Level::Warning);
    el::Loggers::reconfigureLogger("default", configuration);
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
