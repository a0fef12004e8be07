/// \file
/// Weighted fair queueing between kinds, and between teams inside a kind.
#pragma once

#include "chicorydrum/decision/submission_record.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace chicorydrum::decision
{

/// The weights of kinds and teams, as defined by the bundle.
struct queue_shares
{
    std::function<double(const std::string& kind)> kind_share;
    std::function<double(const std::string& team)> team_share;
};

/// Returns whether a task of the flow may start now.
using flow_filter =
    std::function<bool(const std::string& kind, const std::string& team)>;

/// One task taken from the queue.
struct queued_task
{
    record_ptr record;
    std::size_t task = 0;
};

/// Holds submissions with waiting tasks. Uses start-time fair queueing: the
/// flow with the smallest start tag is served next, and each start advances its
/// tag by cost / share. A flow that was idle rejoins at the current virtual
/// time, so that it neither accumulates credit nor is penalised.
class fair_queue
{
public:
    explicit fair_queue(queue_shares queue_weights)
        : shares(std::move(queue_weights))
    {
    }

    /// Adds \p record with its waiting tasks. A record must not be added
    /// while it is queued.
    void add(const record_ptr& record);

    /// Returns a task that was refused, so certainly not run, to the front of
    /// its flow.
    void put_back(const queued_task& refused);

    /// Returns the record whose task starts next among the flows that
    /// \p is_allowed admits, or null.
    record_ptr peek(const flow_filter& is_allowed);

    /// Returns the record that arrived first in any flow, or null. Serves only
    /// as a baseline without shares in comparisons.
    record_ptr peek_oldest();
    /// Likewise, but prefers higher urgency.
    record_ptr peek_most_urgent();

    /// Takes the next task of \p record, which peek() returned last, and
    /// charges \p cost slot-seconds to its flow.
    queued_task take(const record_ptr& record, double cost);

    /// Returns the number of waiting tasks of unfinished submissions.
    std::size_t waiting_tasks() const
    {
        return this->task_count;
    }

    /// Returns the number of waiting tasks of \p kind and \p team.
    std::size_t waiting_tasks(const std::string& kind,
                              const std::string& team) const;

    /// Returns the number of waiting tasks of all kinds but \p kind.
    std::size_t waiting_tasks_of_others(const std::string& kind) const;

    /// Returns the fraction of all service that the flow gets at least while it
    /// is backlogged and no more flows become backlogged.
    double guaranteed_fraction(const std::string& kind,
                               const std::string& team) const;

    /// Subtracts the waiting tasks of \p record, which finished early. Costs
    /// O(1): the record itself is removed when it reaches the front.
    void forget(const submission_record& record);

private:
    struct team_flow
    {
        double start_tag = 0;
        // Invariant: number of waiting tasks of all unfinished records below.
        std::size_t tasks = 0;
        // Higher urgency first; in order of arrival within one urgency.
        std::map<int, std::deque<record_ptr>, std::greater<>> by_urgency;
    };

    struct kind_flow
    {
        double start_tag = 0;
        double virtual_time = 0;
        // Invariant: the sum of the teams' tasks.
        std::size_t tasks = 0;
        std::map<std::string, team_flow> teams;
    };

    /// Returns the first of all flows' front records by \p comes_before.
    record_ptr peek_first(
        const std::function<bool(const submission_record&,
                                 const submission_record&)>& comes_before);
    /// Adds \p tasks to the counts of the flow of \p work.
    team_flow& add_tasks(const schema::submission& work, std::size_t tasks);
    void remove_tasks(const schema::submission& work, std::size_t tasks);
    static record_ptr front(team_flow& flow);
    static team_flow* next_team(const std::string& kind, kind_flow& flow,
                                const flow_filter& is_allowed);

    queue_shares shares;
    double virtual_time = 0;
    std::size_t task_count = 0;
    std::map<std::string, kind_flow> kinds;
};

} // namespace chicorydrum::decision
