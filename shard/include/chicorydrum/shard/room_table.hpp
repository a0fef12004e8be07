/// \file
/// What a host knows of the room of other shards: as their owners told it, less
/// what this host has sent there since.
#pragma once

#include "chicorydrum/shard/messages.hpp"
#include "chicorydrum/shard/shard_room.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// The room of a shard's pool as of some time ago.
struct known_room
{
    const pool_room* room = nullptr;
    support::milliseconds age{0};
    /// What this host has sent there that the room does not include.
    std::int64_t sent_millicores = 0;
    /// How long the last message from the owner took, with its way back.
    support::milliseconds way{0};
};

class room_table
{
public:
    /// News from the shard's owner itself, which has sent it at \p as_of or
    /// later. Earlier news than what is known is ignored.
    void heard(const shard_name& shard, fencing_token token, pool_rooms rooms,
               support::instant as_of, support::instant now);
    /// The same, relayed by another host.
    void told(const shard_name& shard, fencing_token token, pool_rooms rooms,
              support::instant as_of);
    /// This host sends tasks to \p shard that take \p millicores there until
    /// about \p ends.
    void sent(const shard_name& shard, const std::string& pool,
              std::int64_t millicores, support::instant ends,
              support::instant now);
    /// Forgets the shards that \p is_owned does not hold for.
    void keep_only(const std::function<bool(const shard_name&)>& is_owned);
    /// Returns the room for tasks of \p millicores, as that for the next larger
    /// size that is told, or for the largest; without room if the shard's owner
    /// has told none.
    known_room find(const shard_name& shard, const std::string& pool,
                    std::int64_t millicores, support::instant now) const;
    /// Returns the rooms to tell with a refusal: those of \p first, and as many
    /// of the others with the most room as \p others says.
    std::vector<schema::shard_room>
    to_tell(const std::function<bool(const shard_name&)>& first,
            std::size_t others, support::instant now) const;

private:
    struct sent_tasks
    {
        std::string pool;
        std::int64_t millicores = 0;
        support::instant at;
        support::instant ends;
    };
    struct shard_state
    {
        fencing_token token = 0;
        pool_rooms rooms;
        support::instant as_of;
        support::milliseconds way{0};
        /// Since as_of; at most max_sent.
        std::vector<sent_tasks> sent = {};
    };

    /// Returns the state to update, or null if the news is outdated.
    shard_state* update(const shard_name& shard, fencing_token token,
                        pool_rooms rooms, support::instant as_of);

    std::map<shard_name, shard_state> shards;
};

} // namespace chicorydrum::shard
