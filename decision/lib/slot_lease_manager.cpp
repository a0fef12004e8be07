#include "chicorydrum/decision/slot_lease_manager.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

slot_lease_manager::slot_lease_manager(slot_lease_options opts,
                                       endpoint_pool& endpoint_pool,
                                       const membership& peers,
                                       action_queue& actions)
    : options(opts), pool(endpoint_pool), members(peers), out(actions)
{
}

void slot_lease_manager::set_lease(support::milliseconds lease)
{
    this->options.lease = lease;
}

bool slot_lease_manager::can_request_from(const peer_state& peer,
                                          support::instant now) const
{
    const std::string& host = peer.incarnation.host;
    if (peer.domain != this->members.domain() || peer.stopping ||
        this->pending_requests.contains(host))
        return false;
    const auto denied = this->denials.find(host);
    return denied == this->denials.end() || now >= denied->second.until;
}

void slot_lease_manager::send_request(const std::string& host, int slots,
                                      const std::string& endpoint)
{
    schema::slot_request request;
    request.wanted = slots;
    request.endpoint = endpoint;
    schema::peer_message message;
    message.__set_slots_requested(request);
    this->pending_requests.insert(host);
    ++this->request_count;
    this->out.push(send_to_peer{.host = host, .message = message});
}

bool slot_lease_manager::request_slots(int slots, const std::string& endpoint,
                                       support::instant now)
{
    std::vector<std::string> lenders;
    for (const auto& [host, peer] : this->members.peers())
        if (this->can_request_from(peer, now))
            lenders.push_back(host);
    // Divide the demand, so that several grants do not exceed it.
    const int count = static_cast<int>(lenders.size());
    for (const std::string& host : lenders)
        this->send_request(host,
                           std::clamp((slots + count - 1) / count, 1,
                                      this->options.max_request),
                           endpoint);
    return !this->pending_requests.empty();
}

std::vector<schema::slot_count>
slot_lease_manager::pick_idle(int wanted, int max_total) const
{
    std::vector<const endpoint_state*> idle;
    for (const auto& [name, state] : this->pool.endpoints())
        if (state.may_start() && state.free() > 0 && state.share > state.lent)
            idle.push_back(&state);
    std::stable_sort(idle.begin(), idle.end(),
                     [](const endpoint_state* a, const endpoint_state* b)
                     { return a->slowness < b->slowness; });
    std::vector<schema::slot_count> picked;
    int remaining = std::min(wanted, max_total);
    for (const endpoint_state* state : idle)
    {
        if (remaining <= 0)
            break;
        schema::slot_count count;
        count.endpoint = state->listing.name;
        count.slots =
            std::min({remaining, state->free(), state->share - state->lent});
        remaining -= count.slots;
        picked.push_back(count);
    }
    return picked;
}

void slot_lease_manager::on_request(const std::string& from,
                                    const schema::slot_request& request,
                                    bool has_waiting_work, support::instant now)
{
    schema::slot_grant grant;
    grant.lease_ms = this->options.lease.count();
    if (!request.endpoint.empty())
    {
        const endpoint_state* const state = this->pool.find(request.endpoint);
        schema::slot_count count;
        count.endpoint = request.endpoint;
        if (state != nullptr && state->may_start())
            count.slots = std::min(
                {request.wanted, state->free(), state->share - state->lent});
        if (count.slots > 0)
            grant.slots.push_back(count);
    }
    else if (!has_waiting_work)
    {
        // Keep half, so that the next local arrivals need not borrow slots.
        const int spare = (this->pool.idle_slots() + 1) / 2;
        grant.slots = this->pick_idle(request.wanted, spare);
    }
    if (!grant.slots.empty())
    {
        grant.lease = this->next_lease++;
        for (const schema::slot_count& count : grant.slots)
            this->pool.find(count.endpoint)->lent += count.slots;
        this->lent[grant.lease] = {.borrower = from,
                                   .slots = grant.slots,
                                   .borrower_lost = false,
                                   .reclaim_at = now};
    }
    schema::peer_message message;
    message.__set_slots_granted(grant);
    this->out.push(send_to_peer{.host = from, .message = message});
}

bool slot_lease_manager::on_grant(const std::string& from,
                                  const schema::slot_grant& grant,
                                  support::instant now)
{
    this->pending_requests.erase(from);
    denial& denied = this->denials[from];
    if (grant.slots.empty())
    {
        ++this->denial_count;
        denied.pause =
            std::clamp(denied.pause * 2, this->options.first_denial_pause,
                       this->options.max_denial_pause);
        denied.until = now + denied.pause;
        return false;
    }
    denied = {};
    borrowed_lease lease;
    lease.lender = from;
    lease.lease = grant.lease;
    lease.start_until = now + support::milliseconds(grant.lease_ms) / 2;
    for (const schema::slot_count& count : grant.slots)
    {
        endpoint_state* const state = this->pool.find(count.endpoint);
        lease.slots.push_back(count);
        // Slots on an unknown endpoint are returned with the next tick.
        if (state != nullptr)
            state->borrowed += count.slots;
    }
    this->borrowed.push_back(std::move(lease));
    return true;
}

void slot_lease_manager::on_return(const std::string& from,
                                   const schema::slot_return& returned)
{
    const auto found = this->lent.find(returned.lease);
    if (found == this->lent.end() || found->second.borrower != from)
        return;
    std::vector<schema::slot_count>& lent_slots = found->second.slots;
    for (const schema::slot_count& returned_count : returned.slots)
        for (schema::slot_count& count : lent_slots)
        {
            if (count.endpoint != returned_count.endpoint)
                continue;
            const int slots = std::clamp(returned_count.slots, 0, count.slots);
            count.slots -= slots;
            endpoint_state* const state =
                this->pool.find(returned_count.endpoint);
            if (state != nullptr)
                state->lent -= slots;
        }
    std::erase_if(lent_slots,
                  [](const auto& count) { return count.slots == 0; });
    if (lent_slots.empty())
        this->lent.erase(found);
}

void slot_lease_manager::on_peer_disconnected(const std::string& host,
                                              support::instant now)
{
    this->pending_requests.erase(host);
    this->denials.erase(host);
    for (auto& [id, lease] : this->lent)
    {
        if (lease.borrower != host || lease.borrower_lost)
            continue;
        lease.borrower_lost = true;
        lease.reclaim_at = now + this->options.lease;
    }
    for (borrowed_lease& lease : this->borrowed)
        if (lease.lender == host)
            this->close(lease);
    // The lender reclaims its slots when the lease ends.
    std::erase_if(this->borrowed, [&host](const borrowed_lease& lease)
                  { return lease.lender == host; });
}

void slot_lease_manager::close(borrowed_lease& lease)
{
    if (lease.closing)
        return;
    lease.closing = true;
    for (const schema::slot_count& count : lease.slots)
    {
        endpoint_state* const state = this->pool.find(count.endpoint);
        if (state != nullptr)
            state->borrowed -= count.slots;
    }
}

bool slot_lease_manager::return_unused(borrowed_lease& lease)
{
    schema::slot_return slot_return;
    slot_return.lease = lease.lease;
    for (schema::slot_count& count : lease.slots)
    {
        const endpoint_state* const state = this->pool.find(count.endpoint);
        // Attempts in excess of the usable slots still run on borrowed slots.
        const int busy = state == nullptr ? 0 : std::max(0, -state->free());
        const int unused = std::max(0, count.slots - busy);
        if (unused == 0)
            continue;
        schema::slot_count returned = count;
        returned.slots = unused;
        slot_return.slots.push_back(returned);
        count.slots -= unused;
    }
    std::erase_if(lease.slots,
                  [](const auto& count) { return count.slots == 0; });
    if (!slot_return.slots.empty())
    {
        schema::peer_message message;
        message.__set_slots_returned(slot_return);
        this->out.push(send_to_peer{.host = lease.lender, .message = message});
    }
    return lease.slots.empty();
}

void slot_lease_manager::tick(bool has_waiting_work, support::instant now)
{
    for (borrowed_lease& lease : this->borrowed)
        if (now >= lease.start_until || !has_waiting_work)
            this->close(lease);
    std::erase_if(this->borrowed, [this](borrowed_lease& lease)
                  { return lease.closing && this->return_unused(lease); });
    for (auto position = this->lent.begin(); position != this->lent.end();)
    {
        const lent_lease& lease = position->second;
        if (!lease.borrower_lost || now < lease.reclaim_at)
        {
            ++position;
            continue;
        }
        for (const schema::slot_count& count : lease.slots)
        {
            endpoint_state* const state = this->pool.find(count.endpoint);
            if (state != nullptr)
                state->lent -= count.slots;
        }
        position = this->lent.erase(position);
    }
}

} // namespace chicorydrum::decision
