/// \file
/// Reads and writes of the store's tables after odd answers.
#include "chicorydrum/shard/directory.hpp"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;

constexpr std::int64_t own_nonce = 7;

/// A directory and what it has requested.
struct directory_fixture
{
    directory_fixture()
        : table({.self = "h1",
                 .record = make_record(own_nonce),
                 .change_wait = milliseconds(1000)},
                {.read = [this](const table_read& read)
                 { this->reads.push_back(read); },
                 .write = [this](const registration_write& write)
                 { this->writes.push_back(write); },
                 .config_read = [](const routing_config&) {},
                 .host_read = [](const std::string&,
                                 const schema::host_record&) {},
                 .registered = [](std::int64_t) {},
                 .hosts_complete = [](bool) {},
                 .log =
                     [this](const support::log_line& line)
                 {
                     this->lines.emplace_back(line.text());
                 }},
                this->now)
    {
        this->table.tick(this->now);
    }

    static schema::host_record make_record(std::int64_t nonce)
    {
        schema::host_record record;
        record.nonce = nonce;
        return record;
    }

    void run_for(milliseconds span)
    {
        constexpr milliseconds tick_interval{25};
        const instant end = this->now + span;
        while (this->now < end)
        {
            this->now += tick_interval;
            this->table.tick(this->now);
        }
    }
    /// Answers the open read of a table and returns the next one.
    table_read answer(const table_rows& rows)
    {
        this->reads.clear();
        this->table.rows_read(rows, this->now);
        this->run_for(milliseconds(1000));
        for (const table_read& read : this->reads)
            if (read.table == rows.table)
                return read;
        BOOST_FAIL("the table is not read any more");
        return {};
    }
    int count_lines(const std::string& text) const
    {
        return static_cast<int>(
            std::count_if(this->lines.begin(), this->lines.end(),
                          [&text](const std::string& line)
                          { return line.find(text) != std::string::npos; }));
    }

    instant now{milliseconds(1000)};
    std::vector<table_read> reads;
    std::vector<registration_write> writes;
    std::vector<std::string> lines;
    directory table;
};

} // namespace

BOOST_AUTO_TEST_SUITE(directory_reads)

// Guards against one answer with a version too high after which all later
// changes are skipped.
BOOST_FIXTURE_TEST_CASE(a_version_that_decreases_is_followed, directory_fixture)
{
    table_rows rows;
    rows.status = read_status::read;
    rows.version = 1LL << 50;
    BOOST_TEST(this->answer(rows).after == 1LL << 50);
    rows.version = 20;
    BOOST_TEST(this->answer(rows).wants_all);
    rows.is_whole = true;
    const table_read next = this->answer(rows);
    BOOST_TEST(!next.wants_all);
    BOOST_TEST(next.after == 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
