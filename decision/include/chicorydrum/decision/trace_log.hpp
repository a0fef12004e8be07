/// \file
/// Decision traces of the latest submissions, for `explain`.
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

/// One line of a trace and its time.
struct trace_line
{
    support::instant when;
    std::string text;
};

/// Keeps the first and the latest log lines of the latest submissions, within
/// fixed bounds.
class trace_log
{
public:
    explicit trace_log(trace_log_options opts) : options(opts)
    {
    }

    void add(const std::string& id, support::instant when, std::string text);
    std::vector<trace_line> trace(const std::string& id) const;

private:
    trace_log_options options;
    std::unordered_map<std::string, std::vector<trace_line>> traces;
    // Ids in the order of their first line.
    std::deque<std::string> insertion_order;
};

} // namespace chicorydrum::decision
