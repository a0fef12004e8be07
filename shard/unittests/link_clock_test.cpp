/// \file
/// Tests the bounds of messages' ages between clocks that differ.
#include "chicorydrum/shard/link_clock.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

using support::instant;
using support::milliseconds;

namespace
{

/// Two processes whose clocks differ by a constant.
struct clock_pair
{
    /// Sends a message from the first to the second at \p time of the second's
    /// clock, which takes \p delay. Returns the bound of its age.
    std::optional<milliseconds> send(milliseconds time, milliseconds delay)
    {
        const auto times = this->first.times_at(instant(time + difference));
        const instant arrival(time + delay);
        this->second.message_arrived(times, arrival);
        const auto age = longest_age(times, arrival);
        if (!age)
            return std::nullopt;
        return support::duration_cast<milliseconds>(*age);
    }
    void send_back(milliseconds time, milliseconds delay)
    {
        this->first.message_arrived(this->second.times_at(instant(time)),
                                    instant(time + delay + difference));
    }

    /// By how much the first clock is ahead.
    milliseconds difference;
    link_clock first = {};
    link_clock second = {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(link_clock_rules)

BOOST_AUTO_TEST_CASE(age_is_known_to_the_round_trip_whatever_the_clocks_show)
{
    for (const int difference : {-400000, 0, 7000000})
    {
        clock_pair pair{.difference = milliseconds(difference)};
        const milliseconds start(500000);
        BOOST_TEST(!pair.send(start, milliseconds(1)).has_value());
        pair.send_back(start + milliseconds(10), milliseconds(2));
        const auto prompt =
            pair.send(start + milliseconds(20), milliseconds(1));
        BOOST_REQUIRE(prompt.has_value());
        BOOST_TEST(prompt->count() == 3);
        // Guards against a message that was held up and counts as new.
        const auto late =
            pair.send(start + milliseconds(50), milliseconds(750));
        BOOST_TEST(late->count() >= 752);
        BOOST_TEST(late->count() <= 755);
    }
}

// Guards against ages that grow with every queue on the way back.
BOOST_AUTO_TEST_CASE(fastest_message_of_the_last_second_counts)
{
    clock_pair pair{.difference = milliseconds(0)};
    pair.send_back(milliseconds(5000), milliseconds(2));
    pair.send_back(milliseconds(5100), milliseconds(400));
    const auto age = pair.send(milliseconds(5600), milliseconds(1));
    BOOST_TEST(age->count() >= 3);
    BOOST_TEST(age->count() <= 3 + 12);
}

// Guards against a bound that is too low once clocks have drifted by 2%.
BOOST_AUTO_TEST_CASE(bound_grows_as_clocks_drift)
{
    clock_pair pair{.difference = milliseconds(0)};
    pair.send_back(milliseconds(5000), milliseconds(0));
    const auto age = pair.send(milliseconds(15000), milliseconds(0));
    BOOST_TEST(age->count() >= 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
