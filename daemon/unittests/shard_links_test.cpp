/// \file
/// Links between two entry hosts over loopback, dialled by one or both sides.
#include "chicorydrum/daemon/shard_links.hpp"

#include <boost/test/unit_test.hpp>

#include <ctime>
#include <memory>
#include <string>

namespace chicorydrum::daemon
{

namespace
{

using support::milliseconds;

constexpr int first_port = 19460;

/// A host's links and counts of their callbacks.
struct linked_host
{
    linked_host(transport::event_loop& loop, const std::string& name, int port,
                milliseconds reverse_dial_delay)
        : self{.name = name, .domain = "D1", .nonce = port},
          links(
              {.loop = loop,
               .self = this->self,
               .address = "127.0.0.1",
               .peer_port = port,
               .reverse_dial_delay = reverse_dial_delay,
               .on_connected = [this](const shard::host_identity& /*peer*/)
               { ++this->connected; },
               .on_lost = [this](const std::string& /*peer*/) { ++this->lost; },
               .on_message =
                   [this](const std::string& /*peer*/,
                          const schema::shard_message& /*message*/)
               {
                   ++this->messages;
               }})
    {
        this->record.domain = this->self.domain;
        this->record.address = "127.0.0.1";
        this->record.peer_port = port;
        this->record.nonce = this->self.nonce;
    }

    void learn(const linked_host& other)
    {
        this->links.update_host(other.self.name, other.record);
    }

    shard::host_identity self;
    schema::host_record record;
    int connected = 0;
    int lost = 0;
    int messages = 0;
    shard_links links;
};

struct two_hosts
{
    explicit two_hosts(milliseconds delay = milliseconds(800))
        : reverse_dial_delay(delay)
    {
    }

    void run_for(milliseconds span)
    {
        bool is_over = false;
        transport::timer end =
            this->loop.make_timer([&is_over] { is_over = true; });
        end.start(span);
        this->loop.run_until([&is_over] { return is_over; });
    }
    bool are_linked() const
    {
        return this->one.connected > this->one.lost &&
               this->other.connected > this->other.lost;
    }
    /// Runs until both hosts are linked; returns false after ten seconds.
    bool wait_for_link()
    {
        for (int i = 0; i < 200 && !this->are_linked(); ++i)
            this->run_for(milliseconds(50));
        return this->are_linked();
    }

    /// Runs for longer than either side waits before it dials, while both send
    /// messages.
    void talk()
    {
        schema::shard_message message;
        message.__set_beat({});
        for (int i = 0; i < 30; ++i)
        {
            this->one.links.send("h2", message);
            this->other.links.send("h1", message);
            this->run_for(milliseconds(100));
        }
    }

    milliseconds reverse_dial_delay;
    transport::event_loop loop{{.max_connections = 50}};
    linked_host one{this->loop, "h1", first_port, this->reverse_dial_delay};
    linked_host other{this->loop, "h2", first_port + 1,
                      this->reverse_dial_delay};
};

} // namespace

BOOST_AUTO_TEST_SUITE(links)

BOOST_AUTO_TEST_CASE(the_smaller_name_dials)
{
    two_hosts hosts;
    hosts.one.learn(hosts.other);
    BOOST_TEST(hosts.wait_for_link());
}

// A host that restarts while the store is unavailable knows no peer. The hosts
// with greater names, which know it, have to dial.
BOOST_AUTO_TEST_CASE(a_host_that_knows_no_peers_is_dialled_by_greater_names)
{
    two_hosts hosts;
    hosts.other.learn(hosts.one);
    BOOST_TEST(hosts.wait_for_link());
}

BOOST_AUTO_TEST_CASE(hosts_that_know_each_other_keep_one_link)
{
    two_hosts hosts;
    hosts.one.learn(hosts.other);
    hosts.other.learn(hosts.one);
    BOOST_TEST(hosts.wait_for_link());
    hosts.talk();
    BOOST_TEST(hosts.one.connected == 1);
    BOOST_TEST(hosts.one.lost == 0);
    BOOST_TEST(hosts.other.messages > 0);
}

// A host closes a link that may carry messages from before a silence. Both
// sides must learn of it and connect again.
BOOST_AUTO_TEST_CASE(closed_link_is_dialled_again)
{
    two_hosts hosts;
    hosts.one.learn(hosts.other);
    hosts.other.learn(hosts.one);
    BOOST_TEST(hosts.wait_for_link());
    hosts.other.links.close("h1");
    BOOST_TEST(hosts.other.lost == 1);
    hosts.talk();
    BOOST_TEST(hosts.are_linked());
    BOOST_TEST(hosts.one.lost == 1);
    BOOST_TEST(hosts.other.lost == 1);
    BOOST_TEST(hosts.other.messages > 0);
}

BOOST_AUTO_TEST_CASE(simultaneous_dials_leave_one_link)
{
    two_hosts hosts(milliseconds(0));
    hosts.one.learn(hosts.other);
    hosts.other.learn(hosts.one);
    BOOST_TEST(hosts.wait_for_link());
    hosts.talk();
    BOOST_TEST(hosts.are_linked());
    BOOST_TEST(hosts.one.connected <= 2);
    BOOST_TEST(hosts.other.connected <= 2);
    BOOST_TEST(hosts.one.messages > 0);
    BOOST_TEST(hosts.other.messages > 0);
}

// Guards against a row with this host's own address under another name, which
// would link the host to itself, and one with another host's address.
BOOST_AUTO_TEST_CASE(a_row_with_the_address_of_another_host_links_nobody)
{
    two_hosts hosts;
    hosts.one.links.update_host("i-own", hosts.one.record);
    hosts.one.links.update_host("i-other", hosts.other.record);
    hosts.run_for(milliseconds(2000));
    BOOST_TEST(hosts.one.connected == 0);
    BOOST_TEST(hosts.other.connected <= 1);
    hosts.one.learn(hosts.other);
    BOOST_TEST(hosts.wait_for_link());
    hosts.talk();
    BOOST_TEST(hosts.one.connected == 1);
    BOOST_TEST(hosts.one.lost == 0);
}

// Guards against rows of hosts that do not exist, whose dials leave no
// connection for a real host.
BOOST_AUTO_TEST_CASE(hosts_that_do_not_exist_do_not_delay_the_others)
{
    two_hosts hosts;
    schema::host_record record = hosts.other.record;
    // Not routed, so that a dial of it ends only with its timeout.
    record.address = "192.0.2.1";
    for (int i = 0; i < 500; ++i)
        hosts.one.links.update_host("a-" + std::to_string(i), record);
    hosts.run_for(milliseconds(1500));
    hosts.one.learn(hosts.other);
    BOOST_TEST(hosts.wait_for_link());
    hosts.talk();
    BOOST_TEST(hosts.one.lost == 0);
}

// Guards against rows of hosts that do not exist, each of which makes the host
// look through all of them: its peers then take it for lost.
BOOST_AUTO_TEST_CASE(many_hosts_are_learnt_before_peers_miss_a_heartbeat)
{
    two_hosts hosts;
    schema::host_record record = hosts.other.record;
    record.address = "192.0.2.1";
    // The silence limit of a link, on the smallest host of 0.09 cores.
    constexpr double max_seconds = 1.5 * 0.09;
    const std::clock_t begin = std::clock();
    for (int i = 0; i < 10000; ++i)
        hosts.one.links.update_host("a-" + std::to_string(i), record);
    BOOST_TEST(static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC <
               max_seconds);
}

// Guards against a row with this host's own address that is dialled again and
// again: the incoming end of the link is rejected before the outgoing one can
// tell whom it has reached.
BOOST_AUTO_TEST_CASE(the_own_address_under_another_name_is_not_dialled)
{
    two_hosts hosts;
    hosts.one.links.update_host("i-own", hosts.one.record);
    hosts.run_for(milliseconds(1500));
    BOOST_TEST(hosts.one.links.dials() == 0);
}

// Guards against a list of hosts to dial that only grows.
BOOST_AUTO_TEST_CASE(removed_hosts_are_not_dialled)
{
    two_hosts hosts;
    schema::host_record record = hosts.other.record;
    // Nothing listens there.
    record.peer_port = first_port + 9;
    hosts.one.links.update_host("h9", record);
    hosts.run_for(milliseconds(300));
    BOOST_TEST(hosts.one.links.dials() > 0);
    hosts.one.links.remove_host("h9");
    const std::int64_t before = hosts.one.links.dials();
    hosts.run_for(milliseconds(500));
    BOOST_TEST(hosts.one.links.dials() == before);
    // A link that is open stays.
    hosts.one.learn(hosts.other);
    BOOST_TEST(hosts.wait_for_link());
    hosts.one.links.remove_host("h2");
    hosts.talk();
    BOOST_TEST(hosts.one.lost == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::daemon
