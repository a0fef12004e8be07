/// \file
/// Lends idle slots to the entry hosts of the same domain and borrows theirs.
#pragma once

#include "chicorydrum/decision/endpoint_pool.hpp"
#include "chicorydrum/decision/membership.hpp"
#include "chicorydrum/decision/messages.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::decision
{

struct slot_lease_options
{
    /// How long a lender waits for the return of slots after the borrower's
    /// link broke. A borrower starts new work only in the first half of this
    /// time.
    support::milliseconds lease{500};
    support::milliseconds first_denial_pause{20};
    support::milliseconds max_denial_pause{320};
    /// Maximum number of slots in one request.
    int max_request = 64;
};

/// Slots are lent by leases. Peer links are reliable and ordered, so the
/// borrower returns slots by a message; if the link breaks, the lender reclaims
/// them when the lease ends. At most one request is open to each peer.
class slot_lease_manager
{
public:
    slot_lease_manager(slot_lease_options opts, endpoint_pool& endpoint_pool,
                       const membership& peers, action_queue& actions);

    void set_lease(support::milliseconds lease);

    /// Requests \p slots from peers, on \p endpoint if that is not empty.
    /// Returns whether a request is open now.
    bool request_slots(int slots, const std::string& endpoint,
                       support::instant now);

    /// Answers a peer's request. If \p has_waiting_work is set, denies all
    /// requests but those for one endpoint.
    void on_request(const std::string& from,
                    const schema::slot_request& request, bool has_waiting_work,
                    support::instant now);

    /// Handles a peer's answer; returns whether it granted slots.
    bool on_grant(const std::string& from, const schema::slot_grant& grant,
                  support::instant now);
    void on_return(const std::string& from,
                   const schema::slot_return& returned);

    void on_peer_disconnected(const std::string& host, support::instant now);

    /// Ends leases and returns unused slots. If \p has_waiting_work is set,
    /// borrowed slots are kept until new work may no longer start on them.
    void tick(bool has_waiting_work, support::instant now);

    std::int64_t requests_sent() const
    {
        return this->request_count;
    }
    std::int64_t requests_denied() const
    {
        return this->denial_count;
    }

private:
    struct lent_lease
    {
        std::string borrower;
        std::vector<schema::slot_count> slots;
        /// Set when the borrower's link broke.
        bool borrower_lost = false;
        support::instant reclaim_at;
    };

    struct borrowed_lease
    {
        std::string lender;
        std::int64_t lease = 0;
        std::vector<schema::slot_count> slots;
        support::instant start_until;
        /// No new starts; slots are returned as their attempts end.
        bool closing = false;
    };

    struct denial
    {
        support::instant until;
        support::milliseconds pause{0};
    };

    bool can_request_from(const peer_state& peer, support::instant now) const;
    void send_request(const std::string& host, int slots,
                      const std::string& endpoint);
    std::vector<schema::slot_count> pick_idle(int wanted, int max_total) const;
    void close(borrowed_lease& lease);
    bool return_unused(borrowed_lease& lease);

    slot_lease_options options;
    endpoint_pool& pool;
    const membership& members;
    action_queue& out;
    std::map<std::int64_t, lent_lease> lent;
    std::vector<borrowed_lease> borrowed;
    std::map<std::string, denial> denials;
    /// Peers with an unanswered request.
    std::set<std::string> pending_requests;
    std::int64_t next_lease = 1;
    std::int64_t request_count = 0;
    std::int64_t denial_count = 0;
};

} // namespace chicorydrum::decision
