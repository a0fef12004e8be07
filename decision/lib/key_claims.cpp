#include "chicorydrum/decision/key_claims.hpp"

#include "chicorydrum/decision/answers.hpp"

namespace chicorydrum::decision
{

using support::error_kind;

key_claims::key_claims(key_claims_options opts, key_claims_hooks callbacks,
                       action_queue& actions)
    : options(opts), hooks(std::move(callbacks)), out(actions)
{
}

void key_claims::claim(const waiter& recipient, schema::submission work,
                       const std::string& key, const std::string& candidate,
                       support::instant now)
{
    if (!this->budget.take(1, this->options.writes_per_second, now))
    {
        this->hooks.reply(recipient,
                          status_answer(key, error_kind::store_unavailable,
                                        "the budget of claims in the "
                                        "platform's table is used up; an id "
                                        "with a home needs none"));
        return;
    }
    const ticket_id ticket = this->next_ticket++;
    this->pending_claims[ticket] = {.recipient = recipient,
                                    .purpose = call_purpose::submit,
                                    .work = std::move(work),
                                    .key = key,
                                    .candidate = candidate,
                                    .is_read = false};
    this->out.push(claim_key{.ticket = ticket, .key = key, .value = candidate});
}

void key_claims::look_up(const waiter& recipient, call_purpose purpose,
                         const std::string& key)
{
    const ticket_id ticket = this->next_ticket++;
    this->pending_claims[ticket] = {.recipient = recipient,
                                    .purpose = purpose,
                                    .work = {},
                                    .key = key,
                                    .candidate = "",
                                    .is_read = true};
    this->out.push(read_key{.ticket = ticket, .key = key});
}

void key_claims::answered(const store_answered& answer)
{
    const auto found = this->pending_claims.find(answer.ticket);
    if (found == this->pending_claims.end())
        return;
    pending_claim claim = std::move(found->second);
    this->pending_claims.erase(found);
    if (answer.outcome == store_outcome::unknown && !claim.is_read)
    {
        // The write may have taken effect: read the key to find out.
        const ticket_id ticket = this->next_ticket++;
        claim.is_read = true;
        this->out.push(read_key{.ticket = ticket, .key = claim.key});
        this->pending_claims[ticket] = std::move(claim);
        return;
    }
    this->resolve(claim, answer);
}

void key_claims::resolve(const pending_claim& claim,
                         const store_answered& answer)
{
    const bool is_claimed_now =
        answer.outcome == store_outcome::applied && !claim.is_read;
    const std::string full_id = is_claimed_now ? claim.candidate : answer.value;
    const bool is_known = answer.outcome == store_outcome::applied ||
                          answer.outcome == store_outcome::condition_failed;
    if (is_known && !full_id.empty())
    {
        this->hooks.on_resolved(claim.recipient, claim.purpose, claim.work,
                                full_id);
        return;
    }
    if (is_known && claim.purpose != call_purpose::submit)
    {
        this->hooks.reply(claim.recipient,
                          status_answer(claim.key, error_kind::not_found,
                                        "nothing is known of this key"));
        return;
    }
    // An earlier submission of the key may have run on any host, so `not_run`
    // must not be set.
    this->hooks.reply(claim.recipient,
                      status_answer(claim.key, error_kind::undetermined,
                                    "the platform's table does not say who "
                                    "owns this key"));
}

} // namespace chicorydrum::decision
