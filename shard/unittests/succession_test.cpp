/// \file
/// Tests at which endpoints an owner starts tasks, and when its successor may
/// count on knowing them.
#include "chicorydrum/shard/succession.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

using support::instant;
using support::milliseconds;

namespace
{

const instant start(milliseconds(1000));
constexpr fencing_token token = 7;
/// The peer's reads have come to this version.
constexpr std::int64_t read_to = 100;

schema::held_endpoint held(const std::string& id, std::int64_t version,
                           std::int64_t born_ms = 1)
{
    schema::held_endpoint one;
    one.entry.id = id;
    one.entry.domain = "D1";
    one.entry.born_ms = born_ms;
    one.version = version;
    one.is_listed = true;
    return one;
}

/// An owner and a host that may succeed it, with a link between them.
struct pair_of_hosts
{
    pair_of_hosts()
    {
        this->owner.set_read_to(read_to);
        this->owner.link_opened("successor");
        this->successor.link_opened("owner");
    }

    /// Sends a message from the owner, and the answer. Returns what was told.
    schema::succession_state exchange(instant now, bool may_succeed = true)
    {
        const schema::succession_state told =
            this->owner.state_for("successor", may_succeed, now);
        this->successor.heard("owner", told, read_to, now, now);
        this->owner.heard("successor",
                          this->successor.state_for("owner", true, now),
                          read_to, now, now);
        return told;
    }

    succession owner{{}, {.log = [](const support::log_line&) {
                     }}};
    succession successor{{}, {.log = [](const support::log_line&) {
                         }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(succession_rules)

BOOST_AUTO_TEST_CASE(owner_vouches_for_endpoints_that_the_peer_has_read)
{
    pair_of_hosts hosts;
    hosts.owner.update_shard(0, token, true, {held("e1", read_to)}, start);
    BOOST_TEST(hosts.owner.may_start_at(0, held("e1", 0).entry, start));
    // The first message of a link precedes the peer's.
    hosts.exchange(start);
    BOOST_TEST(!hosts.successor.is_vouched(0, token, start));
    const auto told = hosts.exchange(start);
    BOOST_TEST(told.endpoints.empty());
    BOOST_TEST(hosts.successor.is_vouched(0, token, start));
    BOOST_TEST(!hosts.successor.is_vouched(0, token + 1, start));
    BOOST_TEST(!hosts.successor.is_vouched(1, token, start));
}

// The successor's reads are behind: it starts a task again that runs at a
// used endpoint which it doesn't know.
BOOST_AUTO_TEST_CASE(endpoint_is_told_before_it_is_vouched_for)
{
    pair_of_hosts hosts;
    hosts.exchange(start);
    hosts.owner.update_shard(0, token, true, {held("e1", read_to + 1)}, start);
    BOOST_TEST(hosts.owner.may_start_at(0, held("e1", 0).entry, start));
    BOOST_TEST(hosts.owner.take_news());
    BOOST_TEST(!hosts.owner.take_news());
    auto told = hosts.exchange(start);
    BOOST_REQUIRE(told.endpoints.size() == 1);
    BOOST_TEST(told.endpoints.front().entry.id == "e1");
    BOOST_TEST(!hosts.successor.is_vouched(0, token, start));
    told = hosts.exchange(start);
    BOOST_TEST(told.endpoints.empty());
    BOOST_TEST(hosts.successor.is_vouched(0, token, start));
}

// The owner's reads are behind: it lists an endpoint whose entry has lapsed,
// and a host that started after that has read further, but never found it.
BOOST_AUTO_TEST_CASE(read_beyond_the_owners_own_shows_no_knowledge)
{
    pair_of_hosts hosts;
    hosts.owner.set_read_to(read_to - 1);
    hosts.owner.update_shard(0, token, true, {held("e1", read_to - 2)}, start);
    BOOST_TEST(hosts.owner.may_start_at(0, held("e1", 0).entry, start));
    hosts.exchange(start);
    hosts.exchange(start);
    hosts.owner.update_shard(0, token, true,
                             {held("e1", read_to - 2), held("e2", read_to - 1)},
                             start);
    BOOST_TEST(!hosts.owner.may_start_at(0, held("e2", 0).entry, start));
    const auto told = hosts.exchange(start);
    BOOST_REQUIRE(told.endpoints.size() == 1);
    BOOST_TEST(told.endpoints.front().entry.id == "e2");
    BOOST_TEST(hosts.owner.may_start_at(0, held("e2", 0).entry, start));
}

// The link keeps what the peer knows while their reads pass each other.
BOOST_AUTO_TEST_CASE(knowledge_of_a_peer_that_reads_on_is_kept)
{
    pair_of_hosts hosts;
    hosts.owner.update_shard(0, token, true, {held("e1", read_to)}, start);
    BOOST_TEST(hosts.owner.may_start_at(0, held("e1", 0).entry, start));
    hosts.exchange(start);
    hosts.exchange(start);
    hosts.owner.set_read_to(read_to - 1);
    const instant later = start + milliseconds(1000);
    BOOST_TEST(hosts.exchange(later).endpoints.empty());
    BOOST_TEST(hosts.successor.is_vouched(
        0, token, later + succession_options().vouch_time - milliseconds(1)));
}

// Its entry was missing for a while: a peer that read in between lacks it.
BOOST_AUTO_TEST_CASE(endpoint_that_is_back_is_told_again)
{
    pair_of_hosts hosts;
    hosts.owner.update_shard(0, token, true, {held("e1", read_to - 1)}, start);
    BOOST_TEST(hosts.owner.may_start_at(0, held("e1", 0).entry, start));
    hosts.exchange(start);
    BOOST_TEST(hosts.exchange(start).endpoints.empty());
    hosts.owner.update_shard(0, token, true, {held("e1", read_to + 1)}, start);
    BOOST_TEST(hosts.owner.take_news());
    BOOST_TEST(hosts.exchange(start).endpoints.size() == 1);
}

// An owner has vouched to a host, and reads of a new endpoint.
BOOST_AUTO_TEST_CASE(new_endpoint_is_not_used_before_it_is_known)
{
    pair_of_hosts hosts;
    hosts.owner.update_shard(0, token, true, {held("e1", 1)}, start);
    hosts.owner.may_start_at(0, held("e1", 0).entry, start);
    hosts.exchange(start);
    hosts.exchange(start);
    hosts.owner.update_shard(0, token, true,
                             {held("e1", 1), held("e2", read_to + 1)}, start);
    BOOST_TEST(hosts.owner.may_start_at(0, held("e1", 0).entry, start));
    BOOST_TEST(!hosts.owner.may_start_at(0, held("e2", 0).entry, start));
    hosts.exchange(start);
    BOOST_TEST(hosts.owner.may_start_at(0, held("e2", 0).entry, start));
    // A new incarnation is a new endpoint.
    hosts.owner.update_shard(
        0, token, true, {held("e1", 1), held("e2", read_to + 2, 2)}, start);
    BOOST_TEST(!hosts.owner.may_start_at(0, held("e2", 0, 1).entry, start));
    BOOST_TEST(!hosts.owner.may_start_at(0, held("e2", 0, 2).entry, start));
}

// A host falls silent: its vouch runs out there before the owner stops to abide
// by it.
BOOST_AUTO_TEST_CASE(vouch_runs_out_at_the_successor_first)
{
    pair_of_hosts hosts;
    hosts.owner.update_shard(0, token, true, {}, start);
    hosts.exchange(start);
    hosts.exchange(start);
    const milliseconds span = succession_options().vouch_time;
    const milliseconds margin = succession_options().vouch_margin;
    hosts.owner.update_shard(0, token, true, {held("e1", read_to + 1)}, start);
    const auto may_start = [&hosts](instant now)
    {
        return hosts.owner.may_start_at(0, held("e1", 0).entry, now);
    };
    BOOST_TEST(
        hosts.successor.is_vouched(0, token, start + span - milliseconds(1)));
    BOOST_TEST(!hosts.successor.is_vouched(0, token, start + span));
    BOOST_TEST(!may_start(start + span + margin - milliseconds(1)));
    // Also if the link was closed meanwhile.
    hosts.owner.link_closed("successor", start + span);
    BOOST_TEST(!may_start(start + span + margin - milliseconds(1)));
    BOOST_TEST(may_start(start + span + margin));
}

BOOST_AUTO_TEST_CASE(vouch_counts_from_when_it_was_sent)
{
    pair_of_hosts hosts;
    hosts.owner.update_shard(0, token, true, {}, start);
    hosts.exchange(start);
    const auto state = hosts.owner.state_for("successor", true, start);
    const milliseconds span = succession_options().vouch_time;
    const instant late = start + milliseconds(500);
    hosts.successor.heard("owner", state, read_to, std::nullopt, late);
    BOOST_TEST(!hosts.successor.is_vouched(0, token, late));
    hosts.successor.heard("owner", state, read_to, start, late);
    BOOST_TEST(hosts.successor.is_vouched(0, token, late));
    BOOST_TEST(!hosts.successor.is_vouched(0, token, start + span));
}

BOOST_AUTO_TEST_CASE(paused_process_forgets_vouches)
{
    pair_of_hosts hosts;
    hosts.owner.update_shard(0, token, true, {}, start);
    hosts.exchange(start);
    hosts.exchange(start);
    BOOST_TEST(hosts.successor.is_vouched(0, token, start));
    hosts.successor.forget_vouches();
    BOOST_TEST(!hosts.successor.is_vouched(0, token, start));
}

BOOST_AUTO_TEST_CASE(no_vouch_of_an_owner_without_knowledge)
{
    pair_of_hosts hosts;
    hosts.owner.update_shard(0, token, false, {}, start);
    hosts.exchange(start);
    hosts.exchange(start);
    BOOST_TEST(!hosts.successor.is_vouched(0, token, start));
    hosts.owner.update_shard(0, token, true, {}, start);
    hosts.exchange(start, false);
    BOOST_TEST(!hosts.successor.is_vouched(0, token, start));
}

// A host's new process, or its new link, may have lost what was told.
BOOST_AUTO_TEST_CASE(new_link_starts_with_nothing_told)
{
    pair_of_hosts hosts;
    hosts.owner.update_shard(0, token, true, {held("e1", read_to + 1)}, start);
    hosts.owner.may_start_at(0, held("e1", 0).entry, start);
    hosts.exchange(start);
    hosts.owner.link_opened("successor");
    hosts.successor = succession({}, {.log = [](const support::log_line&) {
                                 }});
    BOOST_TEST(hosts.exchange(start).endpoints.size() == 1);
    BOOST_TEST(!hosts.successor.is_vouched(0, token, start));
    hosts.exchange(start);
    BOOST_TEST(hosts.successor.is_vouched(0, token, start));
}

BOOST_AUTO_TEST_CASE(many_endpoints_are_told_in_parts)
{
    pair_of_hosts hosts;
    std::vector<schema::held_endpoint> many;
    const std::size_t part = succession_options().max_told;
    for (std::size_t i = 0; i < 2 * part + 1; ++i)
        many.push_back(held("e" + std::to_string(i), read_to + 1));
    hosts.owner.update_shard(0, token, true, many, start);
    for (const auto& one : many)
        hosts.owner.may_start_at(0, one.entry, start);
    BOOST_TEST(hosts.exchange(start).endpoints.size() == part);
    BOOST_TEST(hosts.exchange(start).endpoints.size() == part);
    BOOST_TEST(hosts.exchange(start).endpoints.size() == 1);
    BOOST_TEST(!hosts.successor.is_vouched(0, token, start));
    hosts.exchange(start);
    BOOST_TEST(hosts.successor.is_vouched(0, token, start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
