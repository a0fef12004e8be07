/// \file
/// The entry host's process.
#include "chicorydrum/daemon/daemon.hpp"
#include "chicorydrum/support/log.hpp"
#include "chicorydrum/support/yaml_reader.hpp"

#include <iostream>

#include <docopt/docopt.h>

namespace
{

constexpr const char* usage = R"(chicorydrumd: one entry host of the dispatcher.

Usage:
  chicorydrumd --settings FILE [--check]
  chicorydrumd --help
  chicorydrumd --version

Options:
  --settings FILE  The YAML settings of this host.
  --check          Check the settings and exit.
  --help           Show this text.
  --version        Show the version.

Exit codes: 0 stopped as planned or settings fine, 1 a listener could not be
opened, 2 wrong usage or settings.
)";

constexpr std::size_t max_settings_bytes = 1U << 20U;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

chicorydrum::support::result<chicorydrum::schema::settings>
load_settings(const std::string& path)
{
    const auto text = chicorydrum::support::read_file(path, max_settings_bytes);
    if (!text)
        return tl::unexpected(text.error());
    return chicorydrum::support::read_settings(*text, path);
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
        std::cout << "chicorydrumd " CHICORYDRUM_VERSION "\n";
        return 0;
    }
    catch (const std::exception&)
    {
        std::cerr << "chicorydrumd: wrong usage; see chicorydrumd --help\n";
        return exit_usage;
    }
    const auto settings = load_settings(arguments.at("--settings").asString());
    if (!settings)
    {
        std::cerr << settings.error().detail << "\n";
        return exit_usage;
    }
    if (arguments.at("--check").asBool())
        return 0;
    chicorydrum::support::start_logging(settings->log_level);
    try
    {
        chicorydrum::daemon::daemon(*settings).run();
    }
    catch (const std::exception& failure)
    {
        std::cerr << "chicorydrumd: " << failure.what() << "\n";
        return exit_failed;
    }
    return 0;
}
