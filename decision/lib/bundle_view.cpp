#include "chicorydrum/decision/bundle_view.hpp"

namespace chicorydrum::decision
{

bundle_view::bundle_view(std::int64_t version, std::string text,
                         schema::bundle rules)
    : number(version), exact_text(std::move(text)), parsed(std::move(rules))
{
    for (std::size_t i = 0; i < this->parsed.kinds.size(); ++i)
        this->kind_index.emplace(this->parsed.kinds[i].name, i);
    for (std::size_t i = 0; i < this->parsed.teams.size(); ++i)
        this->team_index.emplace(this->parsed.teams[i].name, i);
}

const schema::kind_rule* bundle_view::kind(const std::string& name) const
{
    const auto found = this->kind_index.find(name);
    return found == this->kind_index.end() ? nullptr
                                           : &this->parsed.kinds[found->second];
}

const schema::team_rule* bundle_view::team(const std::string& name) const
{
    const auto found = this->team_index.find(name);
    return found == this->team_index.end() ? nullptr
                                           : &this->parsed.teams[found->second];
}

std::string find_bundle_conflict(const schema::bundle& current,
                                 const schema::bundle& next)
{
    for (const schema::kind_rule& old_rule : current.kinds)
        for (const schema::kind_rule& new_rule : next.kinds)
            if (old_rule.name == new_rule.name &&
                old_rule.repeatable != new_rule.repeatable)
                return "kind '" + old_rule.name +
                       "' cannot change repeatable; use a new name";
    return "";
}

} // namespace chicorydrum::decision
