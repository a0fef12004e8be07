/// \file
/// The commands of `chicorydrum` for callers and operators.
#pragma once

#include "chicorydrum/cli/client.hpp"

#include <iosfwd>
#include <string>

namespace chicorydrum::cli
{

/// Exit codes of the command line, also listed in its help.
enum class exit_code
{
    success = 0,
    /// It failed, and may have run.
    failed = 1,
    usage = 2,
    /// Certain: nothing ran, or the operator's step changed nothing.
    not_run = 3,
    /// The outcome is not known, or no host could be reached.
    unknown = 4,
};

struct command_options
{
    client& hosts;
    std::ostream& output;
    std::ostream& errors;
    /// Prints the hosts' JSON instead of text.
    bool prints_json = false;
    /// Shows progress on errors while a job runs.
    bool shows_progress = false;
};

struct submit_options
{
    std::string file;
    /// The caller's key; one is drawn if both are empty.
    std::string key;
    /// A whole id of an earlier submission, to ask for its answer again.
    std::string id;
};

exit_code submit(const command_options& options, const submit_options& job);
exit_code status(const command_options& options, const std::string& id);
exit_code cancel(const command_options& options, const std::string& id);
exit_code show_hosts(const command_options& options);
exit_code show_endpoints(const command_options& options);
/// Merges what every reachable host remembers of a submission.
exit_code explain(const command_options& options, const std::string& id);
exit_code drain(const command_options& options);

exit_code bundle_check(const command_options& options, const std::string& file);
exit_code bundle_propose(const command_options& options,
                         const std::string& file,
                         const std::string& operator_name);
exit_code bundle_sign_off(const command_options& options,
                          const std::string& digest,
                          const std::string& operator_name);
exit_code bundle_roll(const command_options& options, const std::string& digest,
                      const std::string& operator_name);
exit_code bundle_show(const command_options& options);
exit_code bundle_history(const command_options& options);

} // namespace chicorydrum::cli
