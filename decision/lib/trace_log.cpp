#include "chicorydrum/decision/trace_log.hpp"

namespace chicorydrum::decision
{

void trace_log::add(const std::string& id, support::instant when,
                    std::string text)
{
    const auto [position, is_new] = this->traces.try_emplace(id);
    if (is_new)
    {
        this->insertion_order.push_back(id);
        if (this->insertion_order.size() > this->options.max_traces)
        {
            this->traces.erase(this->insertion_order.front());
            this->insertion_order.pop_front();
        }
    }
    std::vector<trace_line>& lines = position->second;
    if (lines.size() >= this->options.max_lines)
        lines.erase(lines.begin() + 1);
    lines.push_back({.when = when, .text = std::move(text)});
}

std::vector<trace_line> trace_log::trace(const std::string& id) const
{
    const auto found = this->traces.find(id);
    return found == this->traces.end() ? std::vector<trace_line>()
                                       : found->second;
}

} // namespace chicorydrum::decision
