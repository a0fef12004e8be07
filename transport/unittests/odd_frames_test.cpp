/// \file
/// Frames of peers with values that no entry host sends.
#include "chicorydrum/support/validation.hpp"
#include "chicorydrum/transport/peer_codec.hpp"

#include <functional>
#include <limits>
#include <random>

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace chicorydrum;
using namespace chicorydrum::transport;

namespace
{

using change = std::function<void(schema::shard_message&)>;

struct odd_frame
{
    const char* name;
    change apply;
};

schema::shard_message make_hello()
{
    schema::shard_handshake handshake;
    handshake.protocol_version = 1;
    handshake.host = "h1";
    handshake.domain = "d";
    handshake.nonce = 5;
    handshake.power = 1;
    schema::shard_message message;
    message.__set_hello(handshake);
    return message;
}

schema::shard_message make_beat()
{
    schema::ownership claim;
    claim.domain = "d";
    claim.token = 1LL << 40;
    schema::shard_heartbeat heartbeat;
    heartbeat.owned = {claim};
    heartbeat.shard_count = 4;
    heartbeat.waiting = {{"r", 2}};
    schema::shard_message message;
    message.__set_beat(heartbeat);
    return message;
}

schema::shard_message make_submission()
{
    schema::task_group group;
    group.count = 4;
    group.need.millicores = 500;
    schema::job_submitted job;
    job.call = 1;
    job.work.id = "00ff";
    job.work.groups = {group, group};
    job.work.groups[1].after = {0};
    job.terms.max_attempts = 3;
    job.terms.stretch = 1.5;
    job.time_left_us = -5;
    schema::shard_message message;
    message.__set_submitted(job);
    return message;
}

schema::shard_message make_end()
{
    schema::shard_message message;
    message.__set_ended({});
    return message;
}

void check_rejected(const schema::shard_message& valid,
                    const std::vector<odd_frame>& cases)
{
    BOOST_TEST(decode_shard_message(encode_message(valid)).has_value());
    for (const odd_frame& odd : cases)
    {
        schema::shard_message message = valid;
        odd.apply(message);
        BOOST_TEST(!decode_shard_message(encode_message(message)).has_value(),
                   odd.name);
    }
}

constexpr std::int64_t max64 = std::numeric_limits<std::int64_t>::max();
constexpr std::int32_t max32 = std::numeric_limits<std::int32_t>::max();
constexpr double infinite = std::numeric_limits<double>::infinity();

} // namespace

BOOST_AUTO_TEST_SUITE(odd_frames)

// Guards against names that are logged or compared, and shares that win every
// choice of an owner.
BOOST_AUTO_TEST_CASE(odd_handshakes_are_rejected)
{
    using message = schema::shard_message;
    check_rejected(make_hello(), {{"no host",
                                   [](message& m)
                                   {
                                       m.hello.host.clear();
                                   }},
                                  {"host with a line break",
                                   [](message& m)
                                   {
                                       m.hello.host = "h\n";
                                   }},
                                  {"long host",
                                   [](message& m)
                                   {
                                       m.hello.host.assign(300, 'h');
                                   }},
                                  {"domain with a space",
                                   [](message& m)
                                   {
                                       m.hello.domain = "d d";
                                   }},
                                  {"nonce 0",
                                   [](message& m)
                                   {
                                       m.hello.nonce = 0;
                                   }},
                                  {"infinite power",
                                   [](message& m)
                                   {
                                       m.hello.power = infinite;
                                   }},
                                  {"negative power",
                                   [](message& m)
                                   {
                                       m.hello.power = -1;
                                   }},
                                  {"power NaN", [](message& m)
                                   {
                                       m.hello.power = infinite * 0;
                                   }}});
}

// Guards against loops over claimed shards and tokens that no later claim can
// exceed.
BOOST_AUTO_TEST_CASE(odd_heartbeats_are_rejected)
{
    using message = schema::shard_message;
    check_rejected(make_beat(),
                   {{"2^31 shards",
                     [](message& m)
                     {
                         m.beat.shard_count = max32;
                     }},
                    {"-1 shards",
                     [](message& m)
                     {
                         m.beat.shard_count = -1;
                     }},
                    {"17 shards",
                     [](message& m)
                     {
                         m.beat.shard_count = support::max_shards + 1;
                     }},
                    {"token 2^63",
                     [](message& m)
                     {
                         m.beat.owned[0].token = max64;
                     }},
                    {"token -1",
                     [](message& m)
                     {
                         m.beat.owned[0].token = -1;
                     }},
                    {"token 0",
                     [](message& m)
                     {
                         m.beat.owned[0].token = 0;
                     }},
                    {"shard -1",
                     [](message& m)
                     {
                         m.beat.owned[0].shard = -1;
                     }},
                    {"shard 2^31",
                     [](message& m)
                     {
                         m.beat.owned[0].shard = max32;
                     }},
                    {"capacity -1",
                     [](message& m)
                     {
                         m.beat.owned[0].capacity_millicores = -1;
                     }},
                    {"wanted 2^63",
                     [](message& m)
                     {
                         m.beat.owned[0].wanted_millicores = max64;
                     }},
                    {"config -1",
                     [](message& m)
                     {
                         m.beat.config_version = -1;
                     }},
                    {"config 2^63",
                     [](message& m)
                     {
                         m.beat.config_version = max64;
                     }},
                    {"waiting -1",
                     [](message& m)
                     {
                         m.beat.waiting["r"] = -1;
                     }},
                    {"known token 0",
                     [](message& m)
                     {
                         m.beat.__set_known_tokens({{0, 0}});
                     }},
                    {"known token of shard -1",
                     [](message& m)
                     {
                         m.beat.__set_known_tokens({{-1, 1}});
                     }},
                    {"a job elsewhere without id",
                     [](message& m)
                     {
                         schema::job_elsewhere job;
                         job.domain = "D1";
                         m.beat.__set_elsewhere({job});
                     }},
                    {"a job elsewhere of shard -1",
                     [](message& m)
                     {
                         schema::job_elsewhere job;
                         job.id = "job";
                         job.domain = "D1";
                         job.shard = -1;
                         m.beat.__set_elsewhere({job});
                     }},
                    {"100000 shards owned", [](message& m)
                     {
                         m.beat.owned.resize(100000, m.beat.owned[0]);
                     }}});
}

// Guards against positions in a configuration that no document has.
BOOST_AUTO_TEST_CASE(odd_parts_of_configurations_are_rejected)
{
    using message = schema::shard_message;
    message request;
    request.__set_config_request({});
    check_rejected(request, {{"known version -1",
                              [](message& m)
                              {
                                  m.config_request.known_version = -1;
                              }},
                             {"version 2^63",
                              [](message& m)
                              {
                                  m.config_request.version = max64;
                              }},
                             {"offset -1", [](message& m)
                              {
                                  m.config_request.offset = -1;
                              }}});
    message part;
    part.__set_config_bytes({});
    check_rejected(part, {{"version -1",
                           [](message& m)
                           {
                               m.config_bytes.version = -1;
                           }},
                          {"offset -1",
                           [](message& m)
                           {
                               m.config_bytes.offset = -1;
                           }},
                          {"total -1",
                           [](message& m)
                           {
                               m.config_bytes.total = -1;
                           }},
                          {"total 2^63", [](message& m)
                           {
                               m.config_bytes.total = max64;
                           }}});
}

// Guards against counts that cannot be allocated, groups outside the job, and
// texts that cannot be sent to an endpoint.
BOOST_AUTO_TEST_CASE(odd_submissions_are_rejected)
{
    using message = schema::shard_message;
    check_rejected(make_submission(),
                   {{"no id",
                     [](message& m)
                     {
                         m.submitted.work.id.clear();
                     }},
                    {"id with a dot",
                     [](message& m)
                     {
                         m.submitted.work.id = "a.b";
                     }},
                    {"spec not UTF-8",
                     [](message& m)
                     {
                         m.submitted.work.spec = "\xff";
                     }},
                    {"spec of 1 MB",
                     [](message& m)
                     {
                         m.submitted.work.spec.assign(1 << 20, 's');
                     }},
                    {"no groups",
                     [](message& m)
                     {
                         m.submitted.work.groups.clear();
                     }},
                    {"count -1",
                     [](message& m)
                     {
                         m.submitted.work.groups[0].count = -1;
                     }},
                    {"count 0",
                     [](message& m)
                     {
                         m.submitted.work.groups[0].count = 0;
                     }},
                    {"count 2^31",
                     [](message& m)
                     {
                         m.submitted.work.groups[0].count = max32;
                     }},
                    {"millicores -1",
                     [](message& m)
                     {
                         m.submitted.work.groups[0].need.millicores = -1;
                     }},
                    {"millicores 2^63",
                     [](message& m)
                     {
                         m.submitted.work.groups[0].need.millicores = max64;
                     }},
                    {"estimate 2^63",
                     [](message& m)
                     {
                         m.submitted.work.groups[0].estimate_ms = max64;
                     }},
                    {"after itself",
                     [](message& m)
                     {
                         m.submitted.work.groups[0].after = {0};
                     }},
                    {"after -1",
                     [](message& m)
                     {
                         m.submitted.work.groups[1].after = {-1};
                     }},
                    {"after 7",
                     [](message& m)
                     {
                         m.submitted.work.groups[1].after = {7};
                     }},
                    {"age -1",
                     [](message& m)
                     {
                         m.submitted.age_us = -1;
                     }},
                    {"age 2^63",
                     [](message& m)
                     {
                         m.submitted.age_us = max64;
                     }},
                    {"time 2^63",
                     [](message& m)
                     {
                         m.submitted.time_left_us = max64;
                     }},
                    {"attempts 0",
                     [](message& m)
                     {
                         m.submitted.terms.max_attempts = 0;
                     }},
                    {"priority -1",
                     [](message& m)
                     {
                         m.submitted.terms.priority = -1;
                     }},
                    {"slack 2^63",
                     [](message& m)
                     {
                         m.submitted.terms.slack_ms = max64;
                     }},
                    {"stretch infinite",
                     [](message& m)
                     {
                         m.submitted.terms.stretch = infinite;
                     }},
                    {"stretch NaN", [](message& m)
                     {
                         m.submitted.terms.stretch = infinite * 0;
                     }}});
}

// Guards against results that no withdrawn job can have.
BOOST_AUTO_TEST_CASE(odd_withdrawals_are_rejected)
{
    using message = schema::shard_message;
    message withdrawal;
    withdrawal.__set_withdrawn({});
    check_rejected(withdrawal,
                   {{"not run",
                     [](message& m)
                     {
                         m.withdrawn.__set_outcome(schema::job_result::not_run);
                     }},
                    {"outcome 9", [](message& m)
                     {
                         m.withdrawn.__set_outcome(
                             static_cast<schema::job_result>(9));
                     }}});
}

// Guards against outcomes that no answer exists for.
BOOST_AUTO_TEST_CASE(odd_ends_are_rejected)
{
    using message = schema::shard_message;
    check_rejected(make_end(), {{"outcome 9",
                                 [](message& m)
                                 {
                                     m.ended.outcome =
                                         static_cast<schema::job_result>(9);
                                 }},
                                {"retry -1",
                                 [](message& m)
                                 {
                                     m.ended.retry_after_ms = -1;
                                 }},
                                {"retry 2^63", [](message& m)
                                 {
                                     m.ended.retry_after_ms = max64;
                                 }}});
}

// Guards against a frame of a few bytes that claims a list of millions of
// structures, which are allocated before they are read.
BOOST_AUTO_TEST_CASE(a_claimed_list_size_allocates_nothing)
{
    const auto peak_kb = []
    {
        rusage usage{};
        ::getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    };
    const auto before = peak_kb();
    // A heartbeat whose list `owned` claims 4,000,000 elements.
    BOOST_TEST(!decode_shard_message("\x2c\x39\xfc\x80\x92\xf4\x01"));
    constexpr long max_growth_kb = 32L << 10;
    BOOST_TEST(peak_kb() - before < max_growth_kb);
}

// Guards against mutated frames that crash the decoder, with fixed seeds.
BOOST_AUTO_TEST_CASE(mutated_frames_do_not_end_the_process)
{
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        std::minstd_rand random(seed);
        for (const schema::shard_message& message :
             {make_hello(), make_beat(), make_submission(), make_end()})
        {
            const std::string frame = encode_message(message);
            for (int round = 0; round < 3000; ++round)
            {
                std::string mutated = frame;
                for (int i = 0; i < 3; ++i)
                    mutated[random() % mutated.size()] =
                        static_cast<char>(random() % 256);
                static_cast<void>(decode_shard_message(mutated));
                static_cast<void>(decode_record(mutated));
            }
        }
    }
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_SUITE_END()
