/// \file
/// Claims of bare keys: submissions whose owner is determined by a conditional
/// insert into the platform's table.
#pragma once

#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/decision/rate_limiter.hpp"
#include "chicorydrum/decision/submission_record.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

struct key_claims_options
{
    int writes_per_second = 50;
};

struct key_claims_hooks
{
    /// The key maps to the submission id \p full_id: run or forward it.
    std::function<void(const waiter&, call_purpose, schema::submission,
                       const std::string& full_id)>
        on_resolved;
    std::function<void(const waiter&, const schema::answer&)> reply;
};

/// Claims keys. A claim maps the key to a full submission id, whose home names
/// its owner; later uses of the key resolve to that id. If the answer to the
/// insert is lost, the key is read back.
class key_claims
{
public:
    key_claims(key_claims_options opts, key_claims_hooks callbacks,
               action_queue& actions);

    /// Claims \p key; it maps to the id \p candidate if it is not claimed yet.
    void claim(const waiter& recipient, schema::submission work,
               const std::string& key, const std::string& candidate,
               support::instant now);

    /// Looks up the id of \p key without claiming it.
    void look_up(const waiter& recipient, call_purpose purpose,
                 const std::string& key);

    void answered(const store_answered& answer);

    std::size_t pending() const
    {
        return this->pending_claims.size();
    }

private:
    struct pending_claim
    {
        waiter recipient;
        call_purpose purpose = call_purpose::submit;
        schema::submission work;
        std::string key;
        std::string candidate;
        bool is_read = false;
    };

    void resolve(const pending_claim& claim, const store_answered& answer);

    key_claims_options options;
    key_claims_hooks hooks;
    action_queue& out;
    rate_limiter budget;
    std::unordered_map<ticket_id, pending_claim> pending_claims;
    ticket_id next_ticket = 1;
};

} // namespace chicorydrum::decision
