#include "chicorydrum/decision/home_issuer.hpp"

namespace chicorydrum::decision
{

home_issuer::home_issuer(home_issuer_options opts, support::instant now)
    : options(std::move(opts)), issued_at(now)
{
    this->issued.owner = this->options.self;
}

bool home_issuer::update(const std::optional<schema::incarnation>& witness,
                         support::instant now)
{
    const bool is_due = now - this->issued_at >= this->options.rotation;
    if (!is_due && witness == this->issued.witness)
        return false;
    this->issued.witness = witness;
    ++this->issued.generation;
    this->issued_at = now;
    return true;
}

} // namespace chicorydrum::decision
