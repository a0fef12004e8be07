/// \file
/// Large configurations in a host with a small share of a core.
#include "chicorydrum/shard/config_loader.hpp"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

using support::instant;
using support::milliseconds;

namespace
{

/// A loader whose documents are "VERSION ROUTES"; "odd" has no version, and
/// negative routes fail in their last step.
class loader_fixture
{
public:
    loader_fixture()
        : loader(
              {.routes_per_turn = 10},
              {.open =
                   [this](const std::string& document,
                          const std::shared_ptr<const routing_config>& known)
               { return this->open(document, known->version); },
               .activated = [this]
               { this->activated.push_back(this->loader.active().version()); },
               .log =
                   [](const support::log_line&) {
                   }})
    {
    }

    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i)
            this->loader.tick(this->now += milliseconds(25));
    }
    void offer(const std::string& document)
    {
        this->loader.offer(document, "store", this->now);
    }

    instant now{support::seconds(1)};
    std::vector<std::int64_t> activated;
    int most_in_a_turn = 0;
    int steps = 0;
    config_loader loader;

private:
    support::result<config_decoding> open(const std::string& document,
                                          std::int64_t /*known*/)
    {
        if (document == "odd")
            return support::fail(support::error_kind::bad_request, "odd");
        const std::int64_t version = std::stoll(document);
        const int routes = std::stoi(document.substr(document.find(' ')));
        const auto step = [this, version, is_odd = routes < 0,
                           left = std::abs(routes)](int count) mutable
            -> std::optional<support::result<routing_config>>
        {
            ++this->steps;
            this->most_in_a_turn = std::max(this->most_in_a_turn, count);
            left -= std::min(left, count);
            if (left > 0)
                return std::nullopt;
            if (is_odd)
                return support::fail(support::error_kind::bad_request, "odd");
            routing_config config;
            config.version = version;
            return config;
        };
        return config_decoding{.version = version, .step = step};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_loader_suite, loader_fixture)

BOOST_AUTO_TEST_CASE(small_configuration_is_in_force_at_once)
{
    this->offer("2 5");
    BOOST_TEST(this->loader.active().version() == 2);
}

// Guards against a loop that stands still while a large configuration is read.
BOOST_AUTO_TEST_CASE(large_configuration_is_decoded_in_turns)
{
    this->offer("2 100");
    BOOST_TEST(this->loader.active().version() == 0);
    BOOST_TEST(this->loader.arrived_version() == 2);
    this->run(8);
    BOOST_TEST(this->loader.active().version() == 0);
    this->run(1);
    BOOST_TEST(this->loader.active().version() == 2);
    BOOST_TEST(this->most_in_a_turn == 10);
}

// The same version comes from the store and from peers, and with reads anew.
BOOST_AUTO_TEST_CASE(known_version_is_not_decoded_again)
{
    this->offer("2 20");
    const int before = this->steps;
    this->offer("2 20");
    this->offer("1 20");
    BOOST_TEST(this->steps == before);
    this->run(5);
    const int after = this->steps;
    this->offer("2 20");
    this->run(5);
    BOOST_TEST(this->steps == after);
}

// Changes that come faster than they are decoded: each one that is begun is
// finished, and the last one is in force in the end.
BOOST_AUTO_TEST_CASE(changes_in_series_are_in_force)
{
    for (int version = 1; version <= 20; ++version)
    {
        this->offer(std::to_string(version) + " 50");
        this->run(2);
    }
    BOOST_TEST(this->activated.size() > 5U);
    this->run(10);
    BOOST_TEST(this->loader.active().version() == 20);
    BOOST_TEST(std::is_sorted(this->activated.begin(), this->activated.end()));
}

BOOST_AUTO_TEST_CASE(malformed_document_leaves_the_active_one)
{
    this->offer("2 5");
    this->offer("odd");
    this->offer("9 -30");
    BOOST_TEST(this->loader.arrived_version() == 9);
    this->run(5);
    BOOST_TEST(this->loader.active().version() == 2);
    // What could not be decoded is not what has arrived.
    BOOST_TEST(this->loader.arrived_version() == 2);
    this->offer("3 5");
    BOOST_TEST(this->loader.active().version() == 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
