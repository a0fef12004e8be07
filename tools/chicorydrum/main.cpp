/// \file
/// The command line for callers and operators.
#include "chicorydrum/cli/commands.hpp"
#include "chicorydrum/support/build_info.hpp"

#include <unistd.h>

#include <cstdlib>
#include <iostream>

#include <docopt/docopt.h>

namespace
{

using namespace chicorydrum::cli;
using argument_map = std::map<std::string, docopt::value>;

constexpr const char* usage =
    R"(chicorydrum: submits work to entry hosts and operates them.

Usage:
  chicorydrum [options] submit FILE [--key KEY | --id ID]
  chicorydrum [options] status ID
  chicorydrum [options] cancel ID
  chicorydrum [options] hosts
  chicorydrum [options] endpoints
  chicorydrum [options] explain ID
  chicorydrum [options] drain
  chicorydrum [options] bundle check FILE
  chicorydrum [options] bundle propose FILE --operator NAME
  chicorydrum [options] bundle sign-off DIGEST --operator NAME
  chicorydrum [options] bundle roll DIGEST --operator NAME
  chicorydrum [options] bundle show
  chicorydrum [options] bundle history
  chicorydrum --help
  chicorydrum --version

Options:
  --host LIST      Entry hosts as IP:PORT, separated by commas; where it is
                   safe, the next one is tried if one does not answer.
                   Default: $CHICORYDRUM_HOST, else 127.0.0.1:8080.
  --json           Print JSON.
  --key KEY        The caller's key for a new submission.
  --id ID          The whole id of an earlier submission, to send it again.
  --operator NAME  Who takes the step.
  --help           Show this text.
  --version        Show the version and the source commit.

Exit codes: 0 done; 1 failed, and may have run; 2 wrong usage or input;
3 certain that nothing ran or changed; 4 the outcome is not known.
)";

std::string host_list(const argument_map& arguments)
{
    if (arguments.at("--host").isString())
        return arguments.at("--host").asString();
    const char* const variable = std::getenv("CHICORYDRUM_HOST");
    return variable == nullptr ? "127.0.0.1:8080" : variable;
}

chicorydrum::support::result<std::vector<host_address>>
parse_hosts(const std::string& list)
{
    std::vector<host_address> hosts;
    std::size_t start = 0;
    while (start <= list.size())
    {
        const std::size_t end = std::min(list.find(',', start), list.size());
        auto host = parse_host_address(list.substr(start, end - start));
        if (!host)
            return tl::unexpected(host.error());
        hosts.push_back(std::move(*host));
        start = end + 1;
    }
    return hosts;
}

std::string text_of(const argument_map& arguments, const char* name)
{
    const docopt::value& value = arguments.at(name);
    return value.isString() ? value.asString() : std::string();
}

exit_code run_bundle(const command_options& options,
                     const argument_map& arguments)
{
    const auto is = [&arguments](const char* command)
    {
        return arguments.at(command).asBool();
    };
    const std::string operator_name = text_of(arguments, "--operator");
    const std::string digest = text_of(arguments, "DIGEST");
    const std::string file = text_of(arguments, "FILE");
    if (is("check"))
        return bundle_check(options, file);
    if (is("propose"))
        return bundle_propose(options, file, operator_name);
    if (is("sign-off"))
        return bundle_sign_off(options, digest, operator_name);
    if (is("roll"))
        return bundle_roll(options, digest, operator_name);
    if (is("show"))
        return bundle_show(options);
    return bundle_history(options);
}

exit_code run(const command_options& options, const argument_map& arguments)
{
    const auto is = [&arguments](const char* command)
    {
        return arguments.at(command).asBool();
    };
    const std::string id = text_of(arguments, "ID");
    if (is("bundle"))
        return run_bundle(options, arguments);
    if (is("submit"))
        return submit(options, {.file = text_of(arguments, "FILE"),
                                .key = text_of(arguments, "--key"),
                                .id = text_of(arguments, "--id")});
    if (is("status"))
        return status(options, id);
    if (is("cancel"))
        return cancel(options, id);
    if (is("hosts"))
        return show_hosts(options);
    if (is("endpoints"))
        return show_endpoints(options);
    if (is("explain"))
        return explain(options, id);
    return drain(options);
}

} // namespace

int main(int argc, char** argv)
{
    argument_map arguments;
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
        std::cout << chicorydrum::support::version_text("chicorydrum") << "\n";
        return 0;
    }
    catch (const std::exception&)
    {
        std::cerr << "chicorydrum: wrong usage; see chicorydrum --help\n";
        return static_cast<int>(exit_code::usage);
    }
    auto hosts = parse_hosts(host_list(arguments));
    if (!hosts)
    {
        std::cerr << "chicorydrum: " << hosts.error().detail << "\n";
        return static_cast<int>(exit_code::usage);
    }
    client connection(std::move(*hosts));
    const bool prints_json = arguments.at("--json").asBool();
    const command_options options{.entry_hosts = connection,
                                  .output = std::cout,
                                  .errors = std::cerr,
                                  .prints_json = prints_json,
                                  .shows_progress = !prints_json &&
                                                    isatty(STDOUT_FILENO) != 0};
    return static_cast<int>(run(options, arguments));
}
