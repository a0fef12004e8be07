/// \file
/// Tests where jobs go that a shard has refused. Each case is one load: a
/// domain that is flooded while others idle, an installation that is full, hot
/// shards among cold ones, many hosts that choose at once, a domain that is cut
/// off or has lost hosts.
#include "offer_ranking.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

namespace chicorydrum::shard
{

namespace
{

using support::milliseconds;

constexpr std::int64_t cores = 1000;
/// Eight tasks for 60 ms, with 200 ms left.
const offer_need quick{.tasks = 8,
                       .millicores = 32 * cores,
                       .run = milliseconds(60),
                       .left = milliseconds(200)};

/// Room for \p tasks of 32 cores from \p wait on.
pool_room room_of(int tasks, milliseconds wait = milliseconds(0))
{
    pool_room room{.pool = "pool", .task_millicores = 32 * cores};
    for (std::size_t i = 0; i < room_spans.size(); ++i)
        room.tasks[i] = room_spans[i] >= wait ? tasks : 0;
    return room;
}

offer_candidate local(const pool_room& room)
{
    return {.room = &room, .age = milliseconds(50)};
}

offer_candidate remote(const pool_room& room)
{
    return {.is_local = false,
            .room = &room,
            .age = milliseconds(50),
            .way = milliseconds(2)};
}

std::optional<std::size_t>
chosen_of(const std::vector<offer_candidate>& candidates, double draw = 0.5,
          const offer_need& need = quick)
{
    return choose_offer({}, need, candidates, draw).chosen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(offer_ranking)

BOOST_AUTO_TEST_CASE(overflow_of_a_flooded_domain_goes_to_an_idle_one)
{
    const pool_room full = room_of(0);
    const pool_room idle = room_of(40);
    BOOST_TEST((chosen_of({local(full), local(full), remote(idle)}) == 2U));
}

BOOST_AUTO_TEST_CASE(own_domain_comes_first_if_it_has_room)
{
    const pool_room idle = room_of(40);
    const pool_room later = room_of(40, milliseconds(50));
    BOOST_TEST((chosen_of({remote(later), local(idle)}) == 1U));
}

BOOST_AUTO_TEST_CASE(
    a_full_installation_gets_no_offer_and_tells_when_room_comes)
{
    const pool_room later = room_of(40, milliseconds(300));
    const pool_room latest = room_of(40, milliseconds(800));
    const offer_choice choice =
        choose_offer({}, quick, {local(latest), remote(later)}, 0.5);
    BOOST_TEST(!choice.chosen);
    BOOST_TEST((choice.soonest == milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(a_hot_shard_is_passed_by_among_cold_ones)
{
    const pool_room hot = room_of(4);
    const pool_room cold = room_of(12);
    for (int draw = 0; draw < 10; ++draw)
        BOOST_TEST((chosen_of({local(hot), local(cold), local(hot)},
                              draw / 10.0) == 1U));
}

BOOST_AUTO_TEST_CASE(what_this_host_has_sent_is_subtracted)
{
    const pool_room idle = room_of(12);
    offer_candidate sent = local(idle);
    sent.sent_millicores = 17 * quick.millicores;
    BOOST_TEST(!chosen_of({sent}));
    BOOST_TEST((chosen_of({sent, local(idle)}) == 1U));
}

// Hosts hear the same rooms at the same time. None of the neighbours must get
// the overflow of all of them.
BOOST_AUTO_TEST_CASE(hosts_that_choose_at_once_spread_by_room)
{
    const pool_room small = room_of(17);
    const pool_room large = room_of(37);
    std::map<std::size_t, int> chosen;
    for (int host = 0; host < 100; ++host)
        ++chosen[*chosen_of({remote(small), remote(large), remote(small)},
                            host / 100.0)];
    BOOST_TEST(chosen[0] >= 15);
    BOOST_TEST(chosen[1] >= 50);
    BOOST_TEST(chosen[2] >= 15);
}

BOOST_AUTO_TEST_CASE(room_that_comes_soon_counts_from_when_it_was_told)
{
    const pool_room soon = room_of(8, milliseconds(100));
    offer_candidate aged = local(soon);
    aged.age = milliseconds(90);
    BOOST_TEST((expected_wait(quick, aged) == milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(waves_of_short_tasks_need_fewer_units)
{
    const pool_room half = room_of(4);
    BOOST_TEST((expected_wait(quick, local(half)) == milliseconds(75)));
}

// A domain that is cut off is silent before it counts as lost.
BOOST_AUTO_TEST_CASE(a_domain_that_was_not_heard_lately_is_not_asked)
{
    const pool_room idle = room_of(40);
    offer_candidate cut = remote(idle);
    cut.age = offer_options{}.stale_after + milliseconds(1);
    BOOST_TEST(!chosen_of({cut}));
}

BOOST_AUTO_TEST_CASE(a_domain_that_loses_hosts_is_asked_last)
{
    const pool_room idle = room_of(40);
    offer_candidate losing = remote(idle);
    losing.risk = 0.25;
    for (int draw = 0; draw < 10; ++draw)
        BOOST_TEST((chosen_of({losing, remote(idle)}, draw / 10.0) == 1U));
    losing.risk = 1;
    BOOST_TEST(!chosen_of({losing}));
}

// Own callers come first: a long or less urgent job leaves them more room.
BOOST_AUTO_TEST_CASE(another_domain_keeps_room_for_its_own_callers)
{
    const pool_room room = room_of(20);
    const offer_need slow{.tasks = 8,
                          .millicores = 32 * cores,
                          .run = milliseconds(900),
                          .left = milliseconds(1200)};
    offer_need idle_work = slow;
    idle_work.priority = 3;
    BOOST_TEST((chosen_of({remote(room)}, 0.5, slow) == 0U));
    BOOST_TEST(!chosen_of({remote(room)}, 0.5, idle_work));
    BOOST_TEST((chosen_of({local(room)}, 0.5, idle_work) == 0U));
}

BOOST_AUTO_TEST_CASE(the_way_there_counts)
{
    const pool_room idle = room_of(40);
    offer_candidate far = remote(idle);
    far.way = milliseconds(150);
    BOOST_TEST(!chosen_of({far}));
}

BOOST_AUTO_TEST_CASE(owners_that_tell_no_room_are_chosen_by_load)
{
    const offer_candidate loaded{.is_local = false, .load = 0.9};
    const offer_candidate idle{.is_local = false, .load = 0.2};
    BOOST_TEST(!chosen_of({loaded}));
    BOOST_TEST((chosen_of({loaded, idle}) == 1U));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
