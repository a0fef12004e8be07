/// \file
/// Tests how the room of a shard is measured, told and kept: a shard with
/// endpoints that are free, busy, or needed by a backlog.
#include "chicorydrum/shard/room_table.hpp"
#include "room_digest.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;

const instant start(milliseconds(100000));
const shard_name cold{.domain = "D2", .shard = 1};

schema::resources cores(std::int64_t count)
{
    schema::resources need;
    need.millicores = count * 1000;
    return need;
}

/// An endpoint of 64 cores that runs tasks of 32 cores until \p ends.
endpoint_forecast endpoint(const std::vector<milliseconds>& ends)
{
    endpoint_forecast made{.id = "e", .capacity = cores(64)};
    for (const milliseconds end : ends)
        made.occupied.push_back({.need = cores(32), .ends = start + end});
    return made;
}

/// Returns the room for tasks of the mean size.
pool_room measure_mean(const std::string& pool,
                       const std::vector<endpoint_forecast>& endpoints,
                       const std::vector<waiting_tasks>& queue, instant now)
{
    return measure_rooms(pool, endpoints, queue, now)[1];
}

int tasks_within(const pool_room& room, milliseconds span)
{
    for (std::size_t i = 0; i < room_spans.size(); ++i)
        if (room_spans[i] == span)
            return room.tasks[i];
    return -1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(room_digest)

BOOST_AUTO_TEST_CASE(room_grows_as_runs_end)
{
    const pool_room room = measure_mean(
        "pool", {endpoint({}), endpoint({milliseconds(40), milliseconds(90)})},
        {}, start);
    BOOST_TEST(room.task_millicores == 32000);
    BOOST_TEST(tasks_within(room, milliseconds(0)) == 2);
    BOOST_TEST(tasks_within(room, milliseconds(50)) == 3);
    BOOST_TEST(tasks_within(room, milliseconds(100)) == 4);
}

BOOST_AUTO_TEST_CASE(what_waits_takes_room_first)
{
    const std::vector<waiting_tasks> queue{
        {.count = 3, .millicores = 32000, .task_ms = 200}};
    const pool_room room = measure_mean(
        "pool", {endpoint({}), endpoint({milliseconds(40), milliseconds(90)})},
        queue, start);
    BOOST_TEST(tasks_within(room, milliseconds(50)) == 0);
    BOOST_TEST(tasks_within(room, milliseconds(100)) == 1);
    BOOST_TEST(tasks_within(room, milliseconds(200)) == 3);
}

BOOST_AUTO_TEST_CASE(a_long_backlog_leaves_no_room)
{
    const std::vector<waiting_tasks> queue{
        {.count = 100000, .millicores = 32000, .task_ms = 100}};
    const pool_room room = measure_mean("pool", {endpoint({})}, queue, start);
    BOOST_TEST(room.tasks.back() == 0);
}

// Tasks that want half an endpoint, more or less: whether one fits beside
// another depends on its size.
BOOST_AUTO_TEST_CASE(room_is_told_for_several_sizes)
{
    endpoint_forecast busy{.id = "e", .capacity = cores(64)};
    busy.occupied.push_back(
        {.need = cores(32), .ends = start + milliseconds(500)});
    const pool_rooms rooms =
        measure_rooms("pool", std::vector(10, busy), {}, start);
    BOOST_REQUIRE(rooms.size() == 3U);
    BOOST_TEST(rooms[0].tasks.front() == 10);
    BOOST_TEST(rooms[1].tasks.front() == 10);
    BOOST_TEST(rooms[2].tasks.front() == 0);
    BOOST_TEST(rooms[2].tasks.back() == 10);
    room_table table;
    table.told(cold, 1, rooms, start);
    const auto size_for = [&table](std::int64_t millicores)
    {
        return table.find(cold, "pool", millicores, start)
            .room->task_millicores;
    };
    BOOST_TEST(size_for(20000) == 25600);
    BOOST_TEST(size_for(32000) == 32000);
    BOOST_TEST(size_for(33000) == 40000);
    BOOST_TEST(size_for(64000) == 40000);
}

BOOST_AUTO_TEST_CASE(a_shard_without_endpoints_has_no_room)
{
    BOOST_TEST(measure_mean("pool", {}, {}, start).tasks.back() == 0);
}

BOOST_AUTO_TEST_CASE(a_room_survives_its_message)
{
    const pool_rooms rooms = measure_rooms(
        "pool", {endpoint({milliseconds(40)}), endpoint({})}, {}, start);
    const auto told = to_message(rooms);
    BOOST_TEST(told.size() == 1U);
    const auto read = read_room(told);
    BOOST_REQUIRE(read);
    BOOST_REQUIRE(read->size() == rooms.size());
    for (std::size_t i = 0; i < rooms.size(); ++i)
    {
        BOOST_TEST((*read)[i].pool == "pool");
        BOOST_TEST((*read)[i].task_millicores == rooms[i].task_millicores);
        BOOST_TEST(((*read)[i].tasks == rooms[i].tasks));
    }
}

BOOST_AUTO_TEST_CASE(malformed_rooms_are_refused)
{
    const std::vector<schema::pool_room> good = to_message(
        measure_rooms("pool", {endpoint({milliseconds(40)})}, {}, start));
    const auto is_refused = [&good](auto change)
    {
        std::vector<schema::pool_room> odd = good;
        change(odd.front());
        return !read_room(odd);
    };
    BOOST_TEST(!is_refused([](schema::pool_room&) {}));
    BOOST_TEST(is_refused([](auto& room) { room.task_millicores = 0; }));
    BOOST_TEST(is_refused([](auto& room) { room.task_millicores = -1; }));
    BOOST_TEST(is_refused([](auto& room) { room.tasks.clear(); }));
    BOOST_TEST(is_refused([](auto& room) { room.tasks.pop_back(); }));
    BOOST_TEST(is_refused([](auto& room) { room.tasks.front() = -1; }));
    BOOST_TEST(is_refused([](auto& room) { room.tasks.front() = 100; }));
    BOOST_TEST(is_refused([](auto& room) { room.tasks.back() = 0; }));
    BOOST_TEST(!read_room(
        std::vector<schema::pool_room>(max_told_pools + 1, good.front())));
}

BOOST_AUTO_TEST_CASE(earlier_news_and_lower_tokens_are_ignored)
{
    room_table table;
    const auto rooms_of = [](int endpoints)
    {
        return pool_rooms{measure_mean(
            "pool", std::vector(endpoints, endpoint({})), {}, start)};
    };
    table.heard(cold, 2, rooms_of(1), start, start + milliseconds(3));
    table.told(cold, 2, rooms_of(5), start - milliseconds(100));
    table.told(cold, 1, rooms_of(5), start + milliseconds(100));
    const known_room known =
        table.find(cold, "pool", 1000, start + milliseconds(20));
    BOOST_REQUIRE(known.room != nullptr);
    BOOST_TEST(known.room->tasks.front() == 4);
    BOOST_TEST((known.age == milliseconds(20)));
    BOOST_TEST((known.way == milliseconds(3)));
    BOOST_TEST((table.find(cold, "other", 1000, start).room == nullptr));
}

BOOST_AUTO_TEST_CASE(what_was_sent_counts_until_it_is_told_or_has_ended)
{
    room_table table;
    const pool_rooms rooms{measure_mean("pool", {endpoint({})}, {}, start)};
    const auto sent_at = [&table](milliseconds time)
    {
        return table.find(cold, "pool", 1000, start + time).sent_millicores;
    };
    table.heard(cold, 1, rooms, start, start + milliseconds(2));
    table.sent(cold, "pool", 5000, start + milliseconds(60),
               start + milliseconds(10));
    BOOST_TEST(sent_at(milliseconds(20)) == 5000);
    BOOST_TEST(sent_at(milliseconds(60)) == 0);
    table.sent(cold, "pool", 7000, start + milliseconds(500),
               start + milliseconds(50));
    // It was on its way then.
    table.heard(cold, 1, rooms, start + milliseconds(51),
                start + milliseconds(53));
    BOOST_TEST(sent_at(milliseconds(80)) == 7000);
    table.heard(cold, 1, rooms, start + milliseconds(100),
                start + milliseconds(102));
    BOOST_TEST(sent_at(milliseconds(110)) == 0);
}

BOOST_AUTO_TEST_CASE(a_refusal_tells_the_own_shards_and_the_roomiest_others)
{
    room_table table;
    for (int shard = 0; shard < 6; ++shard)
        table.told(
            {.domain = "D1", .shard = shard}, 1,
            measure_rooms("pool", std::vector(shard, endpoint({})), {}, start),
            start);
    const auto told =
        table.to_tell([](const shard_name& name) { return name.shard == 0; }, 2,
                      start + milliseconds(7));
    BOOST_REQUIRE(told.size() == 3U);
    BOOST_TEST(told[0].shard == 0);
    BOOST_TEST(told[1].shard == 5);
    BOOST_TEST(told[2].shard == 4);
    BOOST_TEST(told[2].age_us == 7000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
