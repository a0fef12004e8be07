/// \file
/// The bundle in force, indexed for look-ups on the path of a request.
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
    /// The view before any bundle: version 0, no kinds, no teams.
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

    /// Null if the bundle names no such kind or team.
    const schema::kind_rule* kind(const std::string& name) const;
    const schema::team_rule* team(const std::string& name) const;

private:
    std::int64_t number = 0;
    std::string exact_text;
    schema::bundle parsed;
    std::unordered_map<std::string, std::size_t> kind_index;
    std::unordered_map<std::string, std::size_t> team_index;
};

/// What forbids \p next as the successor of \p current, or nothing. A kind
/// keeps its repeatable flag for ever, since a witness judges by the kind
/// whether an unclaimed submission can have started.
std::string find_bundle_conflict(const schema::bundle& current,
                                 const schema::bundle& next);

} // namespace chicorydrum::decision
