/// \file
/// Virtual time: a queue of hooks that run in the order of their times.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <functional>
#include <queue>
#include <vector>

namespace chicorydrum::fleet
{

class event_queue
{
public:
    using duration = support::decision_clock::duration;

    support::instant now() const
    {
        return this->current;
    }

    /// Runs \p hook at \p when, after all hooks that were added before for
    /// the same time.
    void at(support::instant when, std::function<void()> hook)
    {
        this->entries.push({std::max(when, this->current),
                            this->next_sequence++, std::move(hook)});
    }

    void after(duration delay, std::function<void()> hook)
    {
        this->at(this->current + delay, std::move(hook));
    }

    /// Runs all hooks up to \p end and advances the time to it.
    void run_until(support::instant end)
    {
        while (!this->entries.empty() && this->entries.top().when <= end)
        {
            // The queue gives const access only; the entry is popped next.
            entry next = std::move(const_cast<entry&>(this->entries.top()));
            this->entries.pop();
            this->current = next.when;
            next.hook();
        }
        this->current = end;
    }

private:
    struct entry
    {
        support::instant when;
        std::uint64_t sequence = 0;
        std::function<void()> hook;

        bool operator>(const entry& other) const
        {
            return std::pair(this->when, this->sequence) >
                   std::pair(other.when, other.sequence);
        }
    };

    support::instant current{};
    std::uint64_t next_sequence = 0;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> entries;
};

} // namespace chicorydrum::fleet
