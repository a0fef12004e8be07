/// \file
/// The platform's table, object store and host list in virtual time.
#pragma once

#include "event_queue.hpp"

#include "chicorydrum/decision/bundle_operator.hpp"
#include "chicorydrum/decision/messages.hpp"

#include <map>
#include <set>
#include <string>

namespace chicorydrum::fleet
{

enum class platform_mode
{
    up,
    /// Requests have no effect and get no answer.
    down,
    slow,
    /// Writes take effect, and their answers are lost.
    lose_answers,
};

class fake_platform
{
public:
    explicit fake_platform(event_queue& events) : queue(events)
    {
    }

    platform_mode mode = platform_mode::up;
    /// Hosts that cannot reach the platform.
    std::set<std::string> cut_off;

    decision::host_list_read list;

    /// Returns the store as \p host reaches it.
    decision::bundle_store store_for(const std::string& host);

    bool is_reachable_from(const std::string& host) const;

    /// Returns the bundle in force according to the table; version 0 if there
    /// is none.
    decision::accepted_bundle accepted() const;
    const std::string* object(const std::string& name) const;

    /// Rolls \p text at once, for the start of a scenario.
    void preset_bundle(const std::string& text);

    std::int64_t writes = 0;

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
    };

    decision::store_outcome
    apply(const std::vector<decision::table_write>& writes_wanted);
    event_queue::duration latency(bool is_write) const;

    event_queue& queue;
    std::map<std::string, row> table;
    std::map<std::string, std::string> objects;
};

} // namespace chicorydrum::fleet
