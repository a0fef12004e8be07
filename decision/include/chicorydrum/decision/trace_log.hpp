/// \file
/// What this host remembers of each submission's course, for `explain`.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorydrum::decision
{

struct trace_log_options
{
    std::size_t max_traces = 2000;
    std::size_t max_lines = 40;
};

/// One line of a story and when it happened.
struct trace_line
{
    support::instant when;
    std::string text;
};

/// Keeps the last lines of the latest submissions, within fixed bounds.
class trace_log
{
public:
    explicit trace_log(trace_log_options given) : options(given)
    {
    }

    void add(const std::string& id, support::instant when, std::string text);
    std::vector<trace_line> trace(const std::string& id) const;

private:
    trace_log_options options;
    std::unordered_map<std::string, std::vector<trace_line>> traces;
    // Ids in the order in which their stories began.
    std::deque<std::string> by_age;
};

} // namespace chicorydrum::decision
