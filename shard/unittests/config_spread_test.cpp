/// \file
/// A large configuration among hosts of which some cannot read the store.
#include "chicorydrum/shard/config_spread.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

using support::instant;
using support::milliseconds;

namespace
{

constexpr milliseconds tick{25};
constexpr std::size_t part = 1000;

/// Spreads that exchange messages, which arrive with the next step.
class spread_group
{
public:
    explicit spread_group(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->add("h" + std::to_string(i), i);
    }

    config_spread& at(const std::string& name)
    {
        return *this->members.at(name);
    }
    instant now() const
    {
        return this->time;
    }
    void activate(const std::string& name, std::int64_t version,
                  std::size_t size)
    {
        this->versions[name] = version;
        this->documents[name] = std::make_shared<const std::string>(
            std::to_string(version) + std::string(size, 'x'));
        this->at(name).set_active(version, this->documents[name]);
        this->at(name).set_arrived(version);
    }
    void step()
    {
        this->time += tick;
        for (const auto& [name, member] : this->members)
            for (const auto& [other, version] : this->versions)
                if (other != name)
                    member->heard(other, version, true, this->time);
        for (const auto& [name, member] : this->members)
        {
            member->set_arrived(this->versions[name]);
            member->tick(this->time);
        }
        if (this->steps_in_link > 0)
        {
            // Each message takes several ticks.
            this->delayed.push_back(std::exchange(this->queue, {}));
            if (this->delayed.size() < this->steps_in_link)
                return;
            this->queue = std::move(this->delayed.front());
            this->delayed.pop_front();
            this->deliver();
            return;
        }
        for (int round = 0; round < 3; ++round)
            this->deliver();
    }
    void run(milliseconds span)
    {
        for (const instant end = this->time + span; this->time < end;)
            this->step();
    }

    std::map<std::string, std::int64_t> versions;
    std::map<std::string, std::shared_ptr<const std::string>> documents;
    /// Whole documents that arrived, by receiver.
    std::map<std::string, int> arrivals;
    std::size_t bytes = 0;
    std::size_t most_parts_in_flight = 0;
    /// How many steps a message takes; 0 if it arrives at once.
    std::size_t steps_in_link = 0;
    /// Hosts that do not answer.
    std::set<std::string> silent;

private:
    using message = std::function<void()>;

    void add(const std::string& name, std::uint64_t seed)
    {
        config_spread_hooks hooks;
        hooks.request = [this, name](const std::string& peer,
                                     const schema::config_requested& request)
        {
            if (!this->silent.contains(peer))
                this->queue.push_back(
                    [this, name, peer, request]
                    { this->at(peer).requested(name, request, this->time); });
        };
        hooks.send = [this, name](const std::string& peer,
                                  const schema::config_part& one)
        {
            this->bytes += one.bytes.size();
            ++this->in_flight[peer];
            this->most_parts_in_flight =
                std::max(this->most_parts_in_flight, this->in_flight[peer]);
            this->queue.push_back(
                [this, name, peer, one]
                {
                    --this->in_flight[peer];
                    this->at(peer).part_received(name, one, this->time);
                });
        };
        hooks.received = [this, name](const std::string& document,
                                      const std::string& /*peer*/)
        {
            ++this->arrivals[name];
            this->activate(name, std::stoll(document), document.size());
        };
        hooks.log = [](const support::log_line&) {
        };
        this->versions[name] = 1;
        this->members[name] = std::make_unique<config_spread>(
            config_spread_options{.part_bytes = part, .seed = seed + 1}, hooks);
        this->members[name]->set_arrived(1);
    }
    void deliver()
    {
        for (const message& one : std::exchange(this->queue, {}))
            one();
    }

    instant time{support::seconds(1)};
    std::map<std::string, std::unique_ptr<config_spread>> members;
    std::deque<message> queue;
    std::deque<std::deque<message>> delayed;
    std::map<std::string, std::size_t> in_flight;
};

} // namespace

BOOST_AUTO_TEST_SUITE(config_spread_suite)

// The usual change: all hosts read it within 350 ms, and nobody sends it.
BOOST_AUTO_TEST_CASE(change_that_all_read_is_not_sent)
{
    spread_group group(28);
    group.run(milliseconds(200));
    for (int i = 0; i < 28; ++i)
    {
        group.activate("h" + std::to_string(i), 2, 20 * part);
        if (i % 2 == 0)
            group.step();
    }
    group.run(milliseconds(2000));
    BOOST_TEST(group.bytes == 0U);
}

// One host reads the store: the bytes grow with the hosts, not with their
// pairs, and at most one part is on its way to a host.
BOOST_AUTO_TEST_CASE(change_that_one_host_reads_reaches_all)
{
    spread_group group(28);
    group.run(milliseconds(200));
    group.activate("h3", 2, 20 * part);
    group.run(milliseconds(6000));
    for (const auto& [name, version] : group.versions)
        BOOST_TEST(version == 2, name);
    BOOST_TEST(group.bytes < part * 28 * 22);
    BOOST_TEST(group.most_parts_in_flight == 1U);
}

// A host that can't read the store asks at once, and another peer if the first
// one is silent; what has arrived is not sent again.
BOOST_AUTO_TEST_CASE(silent_peer_is_left_for_another)
{
    spread_group group(4);
    group.run(milliseconds(200));
    for (const char* const name : {"h1", "h2", "h3"})
        group.activate(name, 2, 40 * part);
    group.at("h0").set_store_fails(true);
    group.run(milliseconds(300));
    BOOST_TEST(group.versions["h0"] == 1);
    group.silent = {"h1", "h2"};
    group.run(milliseconds(3000));
    BOOST_TEST(group.versions["h0"] == 2);
    BOOST_TEST(group.bytes < 43 * part);
}

// Guards against a host that asks a further peer with each tick, as the answer
// of the first one takes longer than that.
BOOST_AUTO_TEST_CASE(answer_that_takes_several_ticks_is_waited_for)
{
    spread_group group(8);
    group.run(milliseconds(200));
    for (int i = 1; i < 8; ++i)
        group.activate("h" + std::to_string(i), 2, 20 * part);
    group.steps_in_link = 4;
    group.run(milliseconds(8000));
    BOOST_TEST(group.versions["h0"] == 2);
    BOOST_TEST(group.most_parts_in_flight == 1U);
    BOOST_TEST(group.bytes < 22 * part);
}

// A later version does not restart a transfer for ever.
BOOST_AUTO_TEST_CASE(changes_in_series_reach_a_host_without_the_store)
{
    spread_group group(4);
    group.at("h0").set_store_fails(true);
    group.run(milliseconds(200));
    for (int version = 2; version < 22; ++version)
    {
        for (const char* const name : {"h1", "h2", "h3"})
            group.activate(name, version, 20 * part);
        group.run(milliseconds(300));
    }
    BOOST_TEST(group.arrivals["h0"] > 5);
    group.run(milliseconds(2000));
    BOOST_TEST(group.versions["h0"] == 21);
}

// A peer whose document is not what it says must not be asked all the time.
BOOST_AUTO_TEST_CASE(peer_without_a_newer_document_is_asked_rarely)
{
    int requests = 0;
    instant now(support::seconds(1));
    config_spread* self = nullptr;
    config_spread_hooks hooks;
    hooks.request =
        [&](const std::string& peer, const schema::config_requested&)
    {
        ++requests;
        schema::config_part odd;
        odd.version = 9;
        odd.offset = requests % 2;
        odd.total = requests % 3 == 0 ? 4 : 1;
        odd.bytes = "xx";
        self->part_received(peer, odd, now);
    };
    hooks.send = [](const std::string&, const schema::config_part&) {
    };
    hooks.received = [](const std::string&, const std::string&) {
    };
    hooks.log = [](const support::log_line&) {
    };
    config_spread spread({}, hooks);
    self = &spread;
    for (int i = 0; i < 400; ++i, now += tick)
    {
        spread.heard("odd", 9, true, now);
        spread.tick(now);
    }
    BOOST_TEST(requests > 0);
    BOOST_TEST(requests < 30);
}

// A part or a request that no state of this host expects changes nothing.
BOOST_AUTO_TEST_CASE(unexpected_messages_are_ignored)
{
    spread_group group(2);
    group.activate("h1", 2, 4 * part);
    schema::config_part odd;
    odd.version = 7;
    odd.total = 1;
    odd.bytes = "x";
    group.at("h0").part_received("h1", odd, group.now());
    schema::config_requested request;
    request.version = 2;
    request.offset = 1LL << 50;
    group.at("h1").requested("h0", request, group.now());
    group.at("h1").requested("nobody's", {}, group.now());
    group.at("h1").peer_lost("nobody's");
    group.run(milliseconds(2000));
    BOOST_TEST(group.versions["h0"] == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
