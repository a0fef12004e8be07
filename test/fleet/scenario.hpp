/// \file
/// The scenario language: scripted sessions in virtual time. See
/// docs/SCENARIOS.md for its keywords.
#pragma once

#include "fleet.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chicorydrum::fleet
{

/// Result of one run.
struct scenario_result
{
    /// One line for each decision, with time and host.
    std::vector<std::string> log;
    /// Failed expectations and violated invariants.
    std::vector<std::string> problems;
};

/// Runs \p text. An invalid line is reported as a problem, and nothing is run.
scenario_result run_scenario(std::string_view text);

/// Like run_scenario(), with a deliberate fault or changed options.
scenario_result run_scenario(std::string_view text, fleet_options options);

/// The bundle that scenarios begin with: `quote` and `lookup` may be
/// repeated, `tag` and `filing` may not; one team, `desk`.
extern const char* const scenario_bundle;

} // namespace chicorydrum::fleet
