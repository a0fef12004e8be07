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
    /// The command failed, and tasks may have run.
    failed = 1,
    usage = 2,
    /// It is certain that nothing ran or that the step changed nothing.
    not_run = 3,
    /// The outcome is unknown, or no host could be reached.
    unknown = 4,
};

struct command_options
{
    client& entry_hosts;
    std::ostream& output;
    std::ostream& errors;
    /// Prints the JSON of the hosts instead of text.
    bool prints_json = false;
    /// Writes the progress of a running job to errors.
    bool shows_progress = false;
};

struct submit_options
{
    std::string file;
    /// The caller's key; generated if key and id are empty.
    std::string key;
    /// The complete id of an earlier submission, to send it again.
    std::string id;
};

exit_code submit(const command_options& options, const submit_options& job);
exit_code status(const command_options& options, const std::string& id);
exit_code cancel(const command_options& options, const std::string& id);
exit_code show_hosts(const command_options& options);
exit_code show_endpoints(const command_options& options);
/// Prints the merged trace of a submission from all reachable hosts.
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
