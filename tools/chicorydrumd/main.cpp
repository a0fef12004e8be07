/// \file
/// The entry host's process.
#include "chicorydrum/daemon/daemon.hpp"
#include "chicorydrum/daemon/entry_daemon.hpp"
#include "chicorydrum/support/build_info.hpp"
#include "chicorydrum/support/crash_report.hpp"
#include "chicorydrum/support/log.hpp"
#include "chicorydrum/support/yaml_reader.hpp"

#include <cstdlib>
#include <iostream>
#include <optional>

#include <docopt/docopt.h>

namespace
{

constexpr const char* usage = R"(chicorydrumd: one entry host of the dispatcher.

Usage:
  chicorydrumd --settings FILE [--check]
  chicorydrumd entry (--settings FILE | --settings-from VARIABLE)
                     [--link-rate-from VARIABLE] [--check]
  chicorydrumd --help
  chicorydrumd --version

Options:
  entry                     Serve as an entry host on the platform.
  --settings FILE           The YAML settings of this host.
  --settings-from VARIABLE  The environment variable that holds their path.
  --link-rate-from VARIABLE  The environment variable that holds the rate of
                            the host's link in Mbit/s, in place of that in the
                            settings. Ignored if unset or empty.
  --check                   Check the settings and exit.
  --help                    Show this text.
  --version                 Show the version and the source commit.

Exit codes: 0 stopped as planned or settings fine, 1 a listener could not be
opened, 2 wrong usage or settings.
)";

constexpr std::size_t max_settings_bytes = 1U << 20U;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

/// Reads the file at \p path and parses it with \p read.
template <typename T>
chicorydrum::support::result<T> load_settings(
    const std::string& path,
    chicorydrum::support::result<T> (*read)(std::string_view, std::string_view))
{
    const auto text = chicorydrum::support::read_file(path, max_settings_bytes);
    if (!text)
        return tl::unexpected(text.error());
    return read(*text, path);
}

std::string settings_path(std::map<std::string, docopt::value>& arguments)
{
    if (arguments["--settings"])
        return arguments["--settings"].asString();
    const std::string& variable = arguments["--settings-from"].asString();
    const char* const path = std::getenv(variable.c_str());
    return path == nullptr ? variable + " (not set)" : path;
}

int serve_host(const std::string& path, bool checks_only)
{
    const auto settings =
        load_settings(path, chicorydrum::support::read_settings);
    if (!settings)
    {
        std::cerr << settings.error().detail << "\n";
        return exit_usage;
    }
    if (checks_only)
        return 0;
    chicorydrum::support::start_logging(settings->log_level);
    chicorydrum::support::report_crashes();
    chicorydrum::daemon::daemon(*settings).run();
    return 0;
}

/// Returns the rate that the environment gives; nothing if there is none.
std::optional<std::string>
link_rate_text(std::map<std::string, docopt::value>& arguments)
{
    if (!arguments["--link-rate-from"])
        return std::nullopt;
    const char* const text =
        std::getenv(arguments["--link-rate-from"].asString().c_str());
    return text == nullptr || *text == '\0' ? std::nullopt
                                            : std::optional<std::string>(text);
}

int serve_entry(const std::string& path,
                const std::optional<std::string>& link_rate, bool checks_only)
{
    using chicorydrum::schema::entry_settings;
    const auto read = chicorydrum::support::read_entry_settings;
    auto settings = load_settings(path, read);
    if (!settings)
    {
        std::cerr << settings.error().detail << "\n";
        return exit_usage;
    }
    if (link_rate)
    {
        const auto rate = chicorydrum::support::parse_link_rate(*link_rate);
        if (!rate)
        {
            std::cerr << rate.error().detail << "\n";
            return exit_usage;
        }
        settings->limits.link_rate = *rate;
    }
    if (checks_only)
        return 0;
    chicorydrum::support::start_logging(settings->log_level);
    chicorydrum::support::report_crashes();
    const auto reload = [path, read]() -> std::optional<entry_settings>
    {
        auto changed = load_settings(path, read);
        if (changed)
            return std::move(*changed);
        chicorydrum::support::write_log(
            chicorydrum::support::log_line(
                "settings_malformed", chicorydrum::support::log_level::warning)
                .add("problem", changed.error().detail));
        return std::nullopt;
    };
    chicorydrum::daemon::entry_daemon(*settings, reload).run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::map<std::string, docopt::value> arguments;
    try
    {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true,
                                         true, false);
    }
    catch (const docopt::DocoptExitHelp&)
    {
        std::cout << usage;
        return 0;
    }
    catch (const docopt::DocoptExitVersion&)
    {
        std::cout << chicorydrum::support::version_text("chicorydrumd") << "\n";
        return 0;
    }
    catch (const std::exception&)
    {
        std::cerr << "chicorydrumd: wrong usage; see chicorydrumd --help\n";
        return exit_usage;
    }
    const std::string path = settings_path(arguments);
    const bool checks_only = arguments.at("--check").asBool();
    try
    {
        return arguments.at("entry").asBool()
                   ? serve_entry(path, link_rate_text(arguments), checks_only)
                   : serve_host(path, checks_only);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "chicorydrumd: " << failure.what() << "\n";
        return exit_failed;
    }
}
