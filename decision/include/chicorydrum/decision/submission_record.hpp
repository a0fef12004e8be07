/// \file
/// The owner's record of a submission.
#pragma once

#include "chicorydrum/decision/messages.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace chicorydrum::decision
{

/// A caller connected to this host.
struct local_waiter
{
    call_id call = 0;
};

/// A call that another host forwarded or offered.
struct peer_waiter
{
    /// Call numbers are unique only within one incarnation of the host.
    schema::incarnation incarnation;
    std::int64_t call = 0;
    /// Whether the call came as an offer of one task from another domain.
    bool is_offer = false;
};

using waiter = std::variant<local_waiter, peer_waiter>;

/// The operation that a call about a submission requests.
enum class call_purpose
{
    submit,
    query,
    cancel,
};

enum class submission_phase
{
    /// Not queued yet: the witness has not acknowledged the claim.
    unqueued,
    /// Tasks are waiting or running.
    active,
    /// The outcome is final.
    finished,
};

struct submission_record
{
    schema::submission work;
    support::instant arrived;
    support::instant deadline;
    submission_phase phase = submission_phase::unqueued;
    /// Has no id from the caller: the record is removed once it is answered.
    bool anonymous = false;
    /// The witness acknowledged the claim before the first start.
    bool witnessed = false;
    /// The kind may run again after an attempt of unknown outcome.
    bool repeatable = false;
    /// Numbers of the tasks waiting for a slot; the next one is last.
    std::vector<std::size_t> waiting;
    std::size_t running = 0;
    std::size_t succeeded = 0;
    /// Tasks that were sent to an endpoint or peer and not refused.
    std::size_t maybe_run = 0;
    /// Attempts with unknown or failed outcome that were retried.
    std::size_t retries = 0;
    std::vector<std::string> results;
    std::vector<waiter> waiters;
    /// Valid in phase finished.
    schema::answer outcome;

    bool finished() const
    {
        return this->phase == submission_phase::finished;
    }
};

using record_ptr = std::shared_ptr<submission_record>;

/// Returns the bytes that \p record counts towards the queue and answer
/// budgets.
std::size_t bytes_held(const submission_record& record);

} // namespace chicorydrum::decision
