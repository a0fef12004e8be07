/// \file
/// The current bundle, indexed for look-ups while a request is handled.
#pragma once

#include "chicorydrum/schema/generated/settings_types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chicorydrum::decision
{

/// One adopted version of the operators' bundle.
class bundle_view
{
public:
    /// Creates an empty view: version 0, no kinds, no teams.
    bundle_view() = default;
    bundle_view(std::int64_t number, std::string exact_text,
                schema::bundle parsed);

    std::int64_t version() const
    {
        return this->number;
    }
    const std::string& text() const
    {
        return this->exact_text;
    }
    const schema::bundle& rules() const
    {
        return this->parsed;
    }

    /// Return null if the bundle has no such kind or team.
    const schema::kind_rule* kind(const std::string& name) const;
    const schema::team_rule* team(const std::string& name) const;

private:
    std::int64_t number = 0;
    std::string exact_text;
    schema::bundle parsed;
    std::unordered_map<std::string, std::size_t> kind_index;
    std::unordered_map<std::string, std::size_t> team_index;
};

/// Returns why \p next may not follow \p current, or an empty string. The
/// repeatable flag of a kind must never change, since a witness uses it to
/// decide whether an unclaimed submission can have started.
std::string find_bundle_conflict(const schema::bundle& current,
                                 const schema::bundle& next);

} // namespace chicorydrum::decision
