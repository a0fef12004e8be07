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

/// The shares that the queue works by; the bundle gives them.
struct queue_shares
{
    std::function<double(const std::string& kind)> kind_share;
    std::function<double(const std::string& team)> team_share;
};

/// Whether a task of the flow may start now.
using flow_filter =
    std::function<bool(const std::string& kind, const std::string& team)>;

/// One task that was taken from the queue.
struct queued_task
{
    record_ptr record;
    std::size_t task = 0;
};

/// Holds submissions with waiting tasks. Start-time fair queueing: the flow
/// with the smallest start tag is served next, and each start moves its tag by
/// cost over share. A flow that was idle joins at the current virtual time, so
/// that it can neither save up service nor be made to pay for idleness.
class fair_queue
{
public:
    explicit fair_queue(queue_shares given) : shares(std::move(given))
    {
    }

    /// Adds \p record with its waiting tasks. A record must not be added
    /// while it is queued.
    void add(const record_ptr& record);

    /// Puts a task that was refused for certain back in front of its flow.
    void put_back(const queued_task& refused);

    /// The record whose task would start next among the flows that
    /// \p is_allowed admits, or null.
    record_ptr peek(const flow_filter& is_allowed);

    /// The record that arrived first, whatever its flow, or null. Only for
    /// comparisons with queues that know no shares.
    record_ptr peek_oldest();
    /// The same with higher urgency first, whatever its flow.
    record_ptr peek_most_urgent();

    /// Takes the next task of \p record, which peek() returned last, and
    /// charges \p cost slot-seconds to its flow.
    queued_task take(const record_ptr& record, double cost);

    /// Tasks that wait, finished submissions not counted.
    std::size_t waiting_tasks() const
    {
        return this->task_count;
    }

    /// Tasks that wait in the flow of \p kind and \p team.
    std::size_t waiting_tasks(const std::string& kind,
                              const std::string& team) const;

    /// Tasks that wait in all flows of other kinds.
    std::size_t waiting_tasks_of_others(const std::string& kind) const;

    /// The part of all service that the flow is sure to get while every flow
    /// that now has work keeps having it, and it has work itself.
    double guaranteed_fraction(const std::string& kind,
                               const std::string& team) const;

    /// Accounts for the waiting tasks of \p record, which finished early.
    /// Costs O(1): the record itself is dropped when it reaches the front.
    void forget(const submission_record& record);

private:
    struct team_flow
    {
        double start_tag = 0;
        // Invariant: the waiting tasks of all unfinished records below.
        std::size_t tasks = 0;
        // Higher urgency first; inside one urgency in order of arrival.
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

    /// The front that \p comes_before puts first, whatever its flow.
    record_ptr peek_first(
        const std::function<bool(const submission_record&,
                                 const submission_record&)>& comes_before);
    /// Counts \p tasks more in the flow of \p work.
    team_flow& count_in(const schema::submission& work, std::size_t tasks);
    void count_out(const schema::submission& work, std::size_t tasks);
    static record_ptr front(team_flow& flow);
    static team_flow* next_team(const std::string& kind, kind_flow& flow,
                                const flow_filter& is_allowed);

    queue_shares shares;
    double virtual_time = 0;
    std::size_t task_count = 0;
    std::map<std::string, kind_flow> kinds;
};

} // namespace chicorydrum::decision
