/// \file
/// Records of a run for the checker: every start and every answer.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/clock.hpp"

#include <map>
#include <string>
#include <vector>

namespace chicorydrum::fleet
{

/// A task began on an endpoint.
struct start_record
{
    support::instant when;
    std::string endpoint;
    std::string payload;
    std::string host;
    /// How long the list had shown the endpoint as leaving when the attempt
    /// was decided, if the host could read the list; else zero.
    support::decision_clock::duration after_leaving{};
};

/// One call of a caller, with its answer if there is one.
struct call_record
{
    /// Name of the submission in the scenario.
    std::string name;
    std::string host;
    bool is_submission = true;
    support::instant asked;
    support::instant deadline;
    /// The request reached the host's process.
    bool has_arrived = false;
    bool is_answered = false;
    /// The connection broke before an answer came.
    bool is_lost = false;
    int answers = 0;
    support::instant answered;
    schema::answer answer;
};

/// One submission as its caller sent it.
struct submission_entry
{
    schema::submission work;
    /// Only a submission with an id is protected against double starts.
    bool has_id = true;
    /// Run time of each task on an endpoint of slowness 1.
    std::vector<support::decision_clock::duration> run_times;
};

/// A host adopted a bundle version.
struct adoption_record
{
    support::instant when;
    std::string host;
    /// Counts the host's restarts.
    int incarnation = 0;
    std::int64_t version = 0;
};

struct run_records
{
    std::vector<start_record> starts;
    std::vector<call_record> calls;
    std::map<std::string, submission_entry> submissions;
    std::vector<adoption_record> adoptions;
    /// Hosts that finished a planned stop while calls were open there.
    std::vector<std::string> stops_with_open_calls;
};

/// Returns one line for each violated invariant in \p records. \p end is when
/// the run ended: calls whose deadline is well before it must have been
/// answered.
std::vector<std::string> find_violations(const run_records& records,
                                         support::instant end);

} // namespace chicorydrum::fleet
