/// \file
/// Tests which change of a domain counts, in whatever order and on whatever way
/// a host hears of them.
#include "chicorydrum/shard/evacuations.hpp"

#include <algorithm>
#include <random>

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;

struct fixture
{
    evacuations known = evacuations({}, [this](const support::log_line& line)
                                    { this->lines.push_back(line.text()); });
    instant now{milliseconds(1000)};
    std::vector<std::string> lines;

    void read(std::vector<evacuation_row> rows, std::int64_t version,
              bool is_whole = false)
    {
        this->known.rows_read(
            {.rows = std::move(rows), .is_whole = is_whole, .version = version},
            this->now);
    }
    void hear(const std::string& domain, std::int64_t version,
              bool is_requested)
    {
        schema::evacuation_news news;
        schema::evacuation_change change;
        change.domain = domain;
        change.version = version;
        change.is_requested = is_requested;
        news.changes.push_back(change);
        this->known.heard("peer", news, this->now);
    }
    int logged(const std::string& text) const
    {
        return static_cast<int>(
            std::count_if(this->lines.begin(), this->lines.end(),
                          [&text](const std::string& line)
                          { return line.find(text) != std::string::npos; }));
    }
};

evacuation_row requested(const std::string& domain, std::int64_t version)
{
    return {.domain = domain, .version = version, .is_requested = true};
}

evacuation_row removed(const std::string& domain, std::int64_t version)
{
    return {.domain = domain, .version = version, .is_requested = false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuations_rules)

BOOST_FIXTURE_TEST_CASE(request_holds_until_its_removal, fixture)
{
    this->read({}, 10, true);
    BOOST_TEST(!this->known.is_evacuated("a"));
    this->read({requested("a", 11)}, 11);
    BOOST_TEST(this->known.is_evacuated("a"));
    BOOST_TEST(!this->known.is_evacuated("b"));
    this->read({removed("a", 12)}, 12);
    BOOST_TEST(!this->known.is_evacuated("a"));
    BOOST_TEST(this->logged("evacuation_requested domain=a version=11 "
                            "source=store") == 1);
    BOOST_TEST(this->logged("evacuation_removed domain=a version=12 "
                            "source=store") == 1);
}

// A read of changes lacks the rows that have not changed.
BOOST_FIXTURE_TEST_CASE(only_a_read_of_all_rows_shows_that_one_is_gone, fixture)
{
    this->read({requested("a", 5)}, 10, true);
    this->read({}, 20);
    BOOST_TEST(this->known.is_evacuated("a"));
    this->read({}, 21, true);
    BOOST_TEST(!this->known.is_evacuated("a"));
}

// Guards against rows as they were before, which the store may show.
BOOST_FIXTURE_TEST_CASE(late_read_changes_nothing, fixture)
{
    this->read({}, 10, true);
    this->read({requested("a", 12)}, 12);
    this->read({}, 11, true);
    BOOST_TEST(this->known.is_evacuated("a"));
    this->read({removed("a", 13)}, 13);
    this->read({requested("a", 12)}, 12, true);
    BOOST_TEST(!this->known.is_evacuated("a"));
}

// The same for a process that has started since and has never seen the row.
BOOST_FIXTURE_TEST_CASE(late_read_of_an_unknown_domain, fixture)
{
    this->read({}, 20, true);
    this->read({requested("a", 12)}, 15, true);
    BOOST_TEST(!this->known.is_evacuated("a"));
    this->read({requested("a", 21)}, 21);
    BOOST_TEST(this->known.is_evacuated("a"));
}

// Guards against a peer that was cut off and has not heard of the removal, also
// if this process has started since and has never seen the row.
BOOST_FIXTURE_TEST_CASE(late_peer_changes_nothing, fixture)
{
    this->read({}, 20, true);
    this->hear("a", 15, true);
    BOOST_TEST(!this->known.is_evacuated("a"));
    this->hear("a", 21, true);
    BOOST_TEST(this->known.is_evacuated("a"));
    this->hear("a", 20, false);
    BOOST_TEST(this->known.is_evacuated("a"));
    this->hear("a", 22, false);
    this->hear("a", 21, true);
    BOOST_TEST(!this->known.is_evacuated("a"));
}

// A peer may have read further than the answer that comes now.
BOOST_FIXTURE_TEST_CASE(read_of_all_rows_keeps_later_news, fixture)
{
    this->hear("a", 30, true);
    this->read({}, 25, true);
    BOOST_TEST(this->known.is_evacuated("a"));
    this->read({}, 30, true);
    BOOST_TEST(this->known.is_evacuated("a"));
    this->read({}, 31, true);
    BOOST_TEST(!this->known.is_evacuated("a"));
}

// Whatever hosts hear in whatever order, they agree in the end.
BOOST_AUTO_TEST_CASE(order_does_not_matter)
{
    std::minstd_rand random(5);
    for (int round = 0; round < 200; ++round)
    {
        struct step
        {
            std::int64_t version;
            bool is_requested;
        };
        std::vector<step> steps;
        for (int i = 1; i <= 8; ++i)
            steps.push_back({.version = i, .is_requested = random() % 2 == 0});
        const bool last = steps.back().is_requested;
        std::shuffle(steps.begin(), steps.end(), random);
        fixture host;
        for (const step& one : steps)
            host.hear("a", one.version, one.is_requested);
        BOOST_TEST(host.known.is_evacuated("a") == last);
    }
}

BOOST_FIXTURE_TEST_CASE(malformed_row_says_nothing, fixture)
{
    this->read({requested("a", 5)}, 10, true);
    this->read({{.domain = "a", .version = 11}}, 11);
    BOOST_TEST(this->known.is_evacuated("a"));
    this->read({{.domain = "a", .version = 11}}, 15, true);
    BOOST_TEST(this->known.is_evacuated("a"));
    this->read({removed("a", 16)}, 16);
    BOOST_TEST(!this->known.is_evacuated("a"));
}

// A process that started after a row was spoilt has only its peers to ask.
BOOST_FIXTURE_TEST_CASE(peers_know_what_a_malformed_row_said, fixture)
{
    this->read({{.domain = "a", .version = 11}}, 15, true);
    this->hear("a", 5, true);
    BOOST_TEST(this->known.is_evacuated("a"));
}

// Guards against news in every heartbeat, and against news that are lost with
// a link.
BOOST_FIXTURE_TEST_CASE(peers_are_told_once_on_a_link, fixture)
{
    BOOST_TEST(!this->known.news_for("p").has_value());
    this->read({requested("a", 5), requested("b", 6)}, 10, true);
    auto news = this->known.news_for("p");
    BOOST_REQUIRE(news.has_value());
    BOOST_TEST(news->changes.size() == 2U);
    BOOST_TEST(!this->known.news_for("p").has_value());
    this->read({removed("a", 11)}, 11);
    news = this->known.news_for("p");
    BOOST_REQUIRE(news.has_value());
    BOOST_REQUIRE(news->changes.size() == 1U);
    BOOST_TEST(news->changes.front().domain == "a");
    BOOST_TEST(!news->changes.front().is_requested);
    this->known.link_opened("p");
    news = this->known.news_for("p");
    BOOST_REQUIRE(news.has_value());
    BOOST_TEST(news->changes.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(nothing_is_told_without_evacuations, fixture)
{
    BOOST_TEST(!this->known.news_for("p").has_value());
    this->read({}, 10, true);
    this->read({}, 20);
    BOOST_TEST(!this->known.news_for("p").has_value());
}

// Guards against memory that grows with odd rows, and against a request that
// comes back when its removal is forgotten.
BOOST_FIXTURE_TEST_CASE(domains_are_bounded, fixture)
{
    this->read({}, 1, true);
    std::int64_t version = 1;
    for (int i = 0; i < 1000; ++i)
    {
        const std::string domain = "d" + std::to_string(i);
        this->hear(domain, ++version, true);
        this->hear(domain, ++version, false);
    }
    this->hear("d0", 2, true);
    BOOST_TEST(!this->known.is_evacuated("d0"));
    const auto news = this->known.news_for("p");
    BOOST_REQUIRE(news.has_value());
    BOOST_TEST(news->changes.size() <= support::max_evacuations);
    for (int i = 0; i < 1000; ++i)
        this->hear("e" + std::to_string(i), ++version, true);
    BOOST_TEST(this->known.evacuated_domains().size() ==
               support::max_evacuations);
    BOOST_TEST(this->logged("evacuations_full") == 1);
}

BOOST_FIXTURE_TEST_CASE(unknown_domain_is_logged_once, fixture)
{
    this->read({requested("a", 5), requested("z", 6)}, 10, true);
    this->known.log_unknown_domains({"a", "b"});
    this->known.log_unknown_domains({"a", "b"});
    BOOST_TEST(this->logged("evacuation_unknown domain=z") == 1);
    BOOST_TEST(this->logged("evacuation_unknown domain=a") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
