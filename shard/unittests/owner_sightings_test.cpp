/// \file
/// Tests which owners of other domains count as lost with runs, and how long.
#include "chicorydrum/shard/owner_sightings.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

using support::instant;
using support::milliseconds;

namespace
{

const instant start(milliseconds(1000));
/// When the process has run for longer than any lease.
const instant later = start + milliseconds(5000);
/// Of the entry hosts whose jobs the owners have.
constexpr milliseconds callers_silent{700};
const shard_name own{.domain = "D1", .shard = 0};
const shard_name first{.domain = "D2", .shard = 0};
const shard_name second{.domain = "D2", .shard = 1};
/// Returns a claim of the first or second shard.
schema::ownership claim(int shard, fencing_token token,
                        bool is_adopting = false)
{
    schema::ownership made;
    made.shard = shard;
    made.token = token;
    made.__set_is_adopting(is_adopting);
    return made;
}

const sighting_options limits{.recent = milliseconds(600),
                              .lapse = milliseconds(1500)};

} // namespace

BOOST_AUTO_TEST_SUITE(owner_sightings_rules)

BOOST_AUTO_TEST_CASE(owner_counts_as_lost_within_its_window_only)
{
    owner_sightings owners(limits, start);
    owners.heard("D2", claim(0, 7), 1, later, later - callers_silent);
    BOOST_TEST(!owners.find_lost(own, later + milliseconds(600)).has_value());
    const auto lost = owners.find_lost(own, later + milliseconds(601));
    BOOST_REQUIRE(lost.has_value());
    BOOST_TEST((lost->name == first));
    BOOST_TEST((lost->heard_at == later));
    BOOST_TEST((lost->lapses_at == later + milliseconds(1500)));
    BOOST_TEST(owners.find_lost(own, later + milliseconds(1499)).has_value());
    BOOST_TEST(!owners.find_lost(own, later + milliseconds(1500)).has_value());
}

// The loss of one owner is hidden by another of its domain.
BOOST_AUTO_TEST_CASE(each_shard_counts_for_itself)
{
    owner_sightings owners(limits, start);
    owners.heard("D2", claim(0, 7), 2, later, later - callers_silent);
    owners.heard("D2", claim(1, 7), 2, later + milliseconds(500),
                 later + milliseconds(500) - callers_silent);
    BOOST_TEST(
        (owners.find_lost(own, later + milliseconds(700))->name == first));
    const instant both_lost = later + milliseconds(1200);
    BOOST_TEST((owners.find_lost(own, both_lost)->name == second));
}

// An owner that was succeeded is heard, while its successor is lost.
BOOST_AUTO_TEST_CASE(lower_tokens_do_not_count)
{
    owner_sightings owners(limits, start);
    owners.heard("D2", claim(0, 7), 1, later, later - callers_silent);
    owners.heard("D2", claim(0, 8), 1, later + milliseconds(700),
                 later + milliseconds(700) - callers_silent);
    BOOST_TEST(!owners.find_lost(own, later + milliseconds(700)).has_value());
    owners.heard("D2", claim(0, 7), 1, later + milliseconds(1400),
                 later + milliseconds(1400) - callers_silent);
    BOOST_TEST(owners.find_lost(own, later + milliseconds(1400)).has_value());
    // The successor's leases have lapsed: the domain may count anew.
    owners.heard("D2", claim(0, 1), 1, later + milliseconds(2300),
                 later + milliseconds(2300) - callers_silent);
    BOOST_TEST(!owners.find_lost(own, later + milliseconds(2400)).has_value());
}

// Guards against a successor that hides the runs of the lost owner before it
// knows them.
BOOST_AUTO_TEST_CASE(adopting_successor_does_not_stand_for_its_predecessor)
{
    owner_sightings owners(limits, start);
    owners.heard("D2", claim(0, 7), 1, later, later - callers_silent);
    owners.heard("D2", claim(0, 8, true), 1, later + milliseconds(700),
                 later + milliseconds(700) - callers_silent);
    const auto lost = owners.find_lost(own, later + milliseconds(700));
    BOOST_REQUIRE(lost.has_value());
    BOOST_TEST((lost->heard_at == later));
    owners.heard("D2", claim(0, 8), 1, later + milliseconds(800),
                 later + milliseconds(800) - callers_silent);
    BOOST_TEST(!owners.find_lost(own, later + milliseconds(800)).has_value());
}

// Guards against a window that never ends, or is forgotten, if the successor is
// lost before it knows its predecessor's runs.
BOOST_AUTO_TEST_CASE(lost_successor_has_its_own_window)
{
    owner_sightings owners(limits, start);
    owners.heard("D2", claim(0, 7), 1, later, later - callers_silent);
    owners.heard("D2", claim(0, 8, true), 1, later + milliseconds(700),
                 later + milliseconds(700) - callers_silent);
    const instant end = later + milliseconds(700 + 1500);
    BOOST_TEST(
        (owners.find_lost(own, later + milliseconds(1400))->lapses_at == end));
    BOOST_TEST(owners.find_lost(own, end - milliseconds(1)).has_value());
    BOOST_TEST(!owners.find_lost(own, end).has_value());
}

// An owner knows its predecessor's runs in other ways.
BOOST_AUTO_TEST_CASE(own_shard_does_not_count)
{
    owner_sightings owners(limits, start);
    owners.heard("D2", claim(0, 7), 1, later, later - callers_silent);
    const instant silent = later + milliseconds(700);
    BOOST_TEST(!owners.find_lost(first, silent).has_value());
    BOOST_TEST(owners.find_lost(second, silent).has_value());
}

// A domain is lost while this process starts, which has never heard it.
BOOST_AUTO_TEST_CASE(new_process_waits_for_domains_that_it_has_not_heard)
{
    owner_sightings owners(limits, start);
    const instant soon = start + milliseconds(100);
    BOOST_TEST(!owners.find_lost(own, soon).has_value());
    owners.domain_listed("D2");
    BOOST_REQUIRE(owners.find_lost(own, soon).has_value());
    BOOST_TEST(
        (owners.find_lost(own, soon)->lapses_at == start + milliseconds(1500)));
    owners.heard("D2", claim(0, 7), 2, soon, soon - callers_silent);
    BOOST_TEST((owners.find_lost(own, soon)->name == second));
    owners.heard("D2", claim(1, 7, true), 2, soon, soon - callers_silent);
    BOOST_TEST((owners.find_lost(own, soon)->name == second));
    owners.heard("D2", claim(1, 7), 2, soon, soon - callers_silent);
    BOOST_TEST(!owners.find_lost(own, soon).has_value());
    BOOST_TEST(!owner_sightings(limits, start)
                    .find_lost(own, start + milliseconds(1500))
                    .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
