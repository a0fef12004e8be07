#include "chicorydrum/shard/room_table.hpp"

#include <algorithm>
#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;

/// Submissions to one shard that are remembered between two news of it; more
/// are counted with the last one.
constexpr std::size_t max_sent = 64;
/// The span in which room counts for the choice of what is told.
constexpr std::size_t compared_span = 5;

std::int64_t free_millicores(const pool_rooms& rooms)
{
    std::int64_t sum = 0;
    for (const pool_room& room : rooms)
        sum += room.tasks[compared_span] * room.task_millicores;
    return sum;
}

} // namespace

room_table::shard_state* room_table::update(const shard_name& shard,
                                            fencing_token token,
                                            pool_rooms rooms, instant as_of)
{
    const auto [found, is_new] = this->shards.try_emplace(shard);
    shard_state& state = found->second;
    const bool is_outdated =
        !is_new &&
        (token < state.token || (token == state.token && as_of <= state.as_of));
    if (is_outdated)
        return nullptr;
    if (token != state.token)
        state.sent.clear();
    state.token = token;
    state.rooms = std::move(rooms);
    state.as_of = as_of;
    // What was sent before has arrived, unless it was on its way then.
    std::erase_if(state.sent, [&state](const sent_tasks& tasks)
                  { return tasks.at + state.way <= state.as_of; });
    return &state;
}

void room_table::heard(const shard_name& shard, fencing_token token,
                       pool_rooms rooms, instant as_of, instant now)
{
    shard_state* const state =
        this->update(shard, token, std::move(rooms), as_of);
    if (state != nullptr)
        state->way = support::duration_cast<milliseconds>(now - as_of);
}

void room_table::told(const shard_name& shard, fencing_token token,
                      pool_rooms rooms, instant as_of)
{
    this->update(shard, token, std::move(rooms), as_of);
}

void room_table::sent(const shard_name& shard, const std::string& pool,
                      std::int64_t millicores, instant ends, instant now)
{
    const auto found = this->shards.find(shard);
    if (found == this->shards.end())
        return;
    std::vector<sent_tasks>& sent = found->second.sent;
    std::erase_if(sent,
                  [now](const sent_tasks& tasks) { return now >= tasks.ends; });
    if (sent.size() >= max_sent && sent.back().pool == pool)
    {
        sent.back().millicores += millicores;
        return;
    }
    if (sent.size() < max_sent)
        sent.push_back(
            {.pool = pool, .millicores = millicores, .at = now, .ends = ends});
}

void room_table::keep_only(
    const std::function<bool(const shard_name&)>& is_owned)
{
    std::erase_if(this->shards, [&is_owned](const auto& entry)
                  { return !is_owned(entry.first); });
}

known_room room_table::find(const shard_name& shard, const std::string& pool,
                            std::int64_t millicores, instant now) const
{
    const auto found = this->shards.find(shard);
    if (found == this->shards.end())
        return {};
    const shard_state& state = found->second;
    const pool_room* room = nullptr;
    for (const pool_room& known : state.rooms)
        if (known.pool == pool &&
            (room == nullptr || room->task_millicores < millicores))
            room = &known;
    if (room == nullptr)
        return {};
    known_room known{
        .room = room,
        .age = support::duration_cast<milliseconds>(now - state.as_of),
        .way = state.way};
    for (const sent_tasks& tasks : state.sent)
        if (tasks.pool == pool && now < tasks.ends)
            known.sent_millicores += tasks.millicores;
    return known;
}

std::vector<schema::shard_room>
room_table::to_tell(const std::function<bool(const shard_name&)>& first,
                    std::size_t others, instant now) const
{
    using entry = std::pair<const shard_name, shard_state>;
    std::vector<const entry*> told;
    std::vector<const entry*> candidates;
    for (const entry& known : this->shards)
        (first(known.first) ? told : candidates).push_back(&known);
    const std::size_t count = std::min(others, candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(),
                      [](const entry* left, const entry* right)
                      {
                          return free_millicores(left->second.rooms) >
                                 free_millicores(right->second.rooms);
                      });
    told.insert(told.end(), candidates.begin(),
                candidates.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<schema::shard_room> message;
    for (const entry* const known : told)
    {
        schema::shard_room& room = message.emplace_back();
        room.domain = known->first.domain;
        room.shard = known->first.shard;
        room.token = known->second.token;
        room.age_us = (now - known->second.as_of).count();
        room.pools = to_message(known->second.rooms);
    }
    return message;
}

} // namespace chicorydrum::shard
