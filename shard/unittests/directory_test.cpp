/// \file
/// Reads and writes of the store's tables after odd answers.
#include "chicorydrum/shard/directory.hpp"

#include <algorithm>
#include <set>

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
                 .config_read = [](const std::string&) {},
                 .host_read = [](const std::string&,
                                 const schema::host_record&) {},
                 .host_removed = [this](const std::string& host)
                 { this->removed_hosts += host + " "; },
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
        // Longer than any interval between reads.
        this->run_for(milliseconds(2500));
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
    std::string removed_hosts;
    std::int64_t version = 0;
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

// Guards against a write for each answer when another writer's row stays in
// the way of the registration.
BOOST_FIXTURE_TEST_CASE(repeated_conflicts_are_retried_with_a_delay,
                        directory_fixture)
{
    std::size_t answered = 0;
    for (int i = 0; i < 400; ++i)
    {
        this->run_for(milliseconds(25));
        if (this->writes.size() == answered)
            continue;
        ++answered;
        this->table.registration_answered(
            {.status = write_status::conflict, .version = 5 + i, .current = {}},
            this->now);
    }
    // Ten seconds with a delay of half a second or more after the first writes.
    BOOST_TEST(this->writes.size() <= 25U);
    BOOST_TEST(this->writes.size() >= 10U);
    BOOST_TEST(this->writes.back().expected_version >= 5);
}

// Guards against two processes of one name that write for each change of the
// other.
BOOST_FIXTURE_TEST_CASE(a_row_that_is_replaced_again_is_written_with_a_delay,
                        directory_fixture)
{
    table_rows rows;
    rows.table = directory_table::hosts;
    rows.status = read_status::read;
    rows.version = 3;
    std::size_t answered = 0;
    for (int i = 0; i < 400; ++i)
    {
        this->run_for(milliseconds(25));
        if (this->writes.size() == answered)
            continue;
        ++answered;
        ++rows.version;
        this->table.registration_answered({.status = write_status::written,
                                           .version = rows.version,
                                           .current = {}},
                                          this->now);
        rows.hosts = {{.name = "h1",
                       .record = make_record(own_nonce + 1),
                       .version = ++rows.version}};
        this->table.rows_read(rows, this->now);
    }
    BOOST_TEST(this->writes.size() <= 25U);
    BOOST_TEST(this->writes.size() >= 10U);
    BOOST_TEST(this->writes.back().expected_version >= 5);
}

// Guards against a registration whose row another writer made unreadable: the
// next write must expect the version of that row.
BOOST_FIXTURE_TEST_CASE(an_unreadable_own_row_is_replaced, directory_fixture)
{
    this->run_for(milliseconds(25));
    this->table.registration_answered(
        {.status = write_status::written, .version = 4, .current = {}},
        this->now);
    table_rows rows;
    rows.table = directory_table::hosts;
    rows.status = read_status::read;
    rows.version = 6;
    rows.hosts = {{.name = "h1", .record = {}, .version = 6}};
    this->table.rows_read(rows, this->now);
    this->run_for(milliseconds(25));
    BOOST_TEST(this->writes.size() == 2U);
    BOOST_TEST(this->writes.back().expected_version == 6);
}

// Guards against odd rows that are logged at each read of them.
BOOST_FIXTURE_TEST_CASE(malformed_rows_are_logged_once, directory_fixture)
{
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    for (int i = 0; i < 20; ++i)
    {
        ++rows.version;
        rows.malformed = {
            {.key = "i-1", .problem = "state " + std::to_string(i)}};
        this->table.rows_read(rows, this->now);
    }
    BOOST_TEST(this->count_lines("event=row_malformed ") == 1);
    for (int i = 0; i < 1000; ++i)
        rows.malformed.push_back(
            {.key = "j-" + std::to_string(i), .problem = "x"});
    this->table.rows_read(rows, this->now);
    this->table.rows_read(rows, this->now);
    BOOST_TEST(this->count_lines("event=row_malformed ") == 100);
    BOOST_TEST(this->count_lines("event=row_malformed_limit") == 1);
}

// Guards against a read of all rows that ends with the first answer although
// odd rows fill it: the endpoints after them were never read.
BOOST_FIXTURE_TEST_CASE(a_table_is_read_in_several_answers, directory_fixture)
{
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::history_lost;
    BOOST_TEST(this->answer(rows).from.empty());
    const auto make_row = [](const std::string& id)
    {
        endpoint_row row;
        row.id = id;
        row.entry.emplace();
        row.entry->id = id;
        return row;
    };
    rows.status = read_status::read;
    rows.version = 8;
    rows.endpoints = {make_row("i-1")};
    rows.next_key = "i-1";
    const table_read second = this->answer(rows);
    BOOST_TEST(second.wants_all);
    BOOST_TEST(second.from == "i-1");
    rows.status = read_status::unavailable;
    BOOST_TEST(this->answer(rows).from == "i-1");
    rows.status = read_status::read;
    rows.version = 9;
    rows.endpoints = {make_row("i-1"), make_row("i-2")};
    rows.next_key.clear();
    rows.is_whole = true;
    const table_read next = this->answer(rows);
    BOOST_TEST(!next.wants_all);
    BOOST_TEST(next.after == 8);
    BOOST_TEST(this->table.endpoints().size() == 2U);
}

// Guards against a list of hosts to dial that only grows.
BOOST_FIXTURE_TEST_CASE(removed_hosts_are_reported, directory_fixture)
{
    table_rows rows;
    rows.table = directory_table::hosts;
    rows.status = read_status::read;
    rows.version = 6;
    rows.is_whole = true;
    for (const char* const name : {"h2", "h3", "h4", "h5"})
        rows.hosts.push_back(
            {.name = name, .record = make_record(2), .version = 5});
    this->table.rows_read(rows, this->now);
    BOOST_TEST(this->removed_hosts.empty());
    rows.version = 8;
    rows.is_whole = false;
    // Removed, unreadable, and never read.
    rows.hosts = {{.name = "h2", .record = {}, .version = 0},
                  {.name = "h3", .record = {}, .version = 7},
                  {.name = "h9", .record = {}, .version = 0}};
    this->table.rows_read(rows, this->now);
    BOOST_TEST(this->removed_hosts == "h2 ");
    // Removed and written again in one answer.
    rows.version = 10;
    rows.hosts = {{.name = "h4", .record = {}, .version = 0},
                  {.name = "h4", .record = make_record(3), .version = 10}};
    this->table.rows_read(rows, this->now);
    BOOST_TEST(this->removed_hosts == "h2 ");
    rows.version = 12;
    rows.is_whole = true;
    rows.hosts = {{.name = "h4", .record = make_record(3), .version = 10}};
    this->table.rows_read(rows, this->now);
    BOOST_TEST(this->removed_hosts == "h2 h3 h5 ");
}

// Guards against a row of another writer that moves a running endpoint to
// another address, or changes its capacity or kind.
BOOST_FIXTURE_TEST_CASE(rows_that_contradict_an_incarnation_are_not_used,
                        directory_fixture)
{
    const auto read = [this](std::optional<schema::endpoint_registration> entry)
    {
        table_rows rows;
        rows.table = directory_table::endpoints;
        rows.status = read_status::read;
        rows.version = ++this->version;
        rows.endpoints = {{.id = "i-1", .entry = std::move(entry)}};
        this->table.rows_read(rows, this->now);
        this->run_for(milliseconds(100));
    };
    schema::endpoint_registration good;
    good.id = "i-1";
    good.pool = "pool";
    good.address = "10.1.0.9";
    good.port = 80;
    good.capacity.millicores = 16000;
    good.labels = {"a", "r1"};
    good.born_ms = 7;
    std::vector<schema::endpoint_registration> odd(6, good);
    odd[0].address = "10.1.0.10";
    odd[1].port = 81;
    odd[2].capacity.millicores = 24000;
    odd[3].labels = {"b", "r1"};
    odd[4].pool = "other";
    odd[5].born_ms = 0;
    for (const schema::endpoint_registration& entry : odd)
    {
        read(good);
        const auto before = this->table.endpoints_version();
        read(entry);
        read(entry);
        BOOST_TEST((this->table.endpoints() == std::vector{good}));
        BOOST_TEST(this->table.endpoints_version() == before);
    }
    BOOST_TEST(this->count_lines("endpoint_contradicted") == 6);
    // What the endpoint itself may change, and another incarnation.
    schema::endpoint_registration leaving = good;
    leaving.is_draining = true;
    read(leaving);
    BOOST_TEST((this->table.endpoints() == std::vector{leaving}));
    odd[0].born_ms = 8;
    read(odd[0]);
    BOOST_TEST((this->table.endpoints() == std::vector{odd[0]}));
    // An endpoint whose own row does not come back counts as missing.
    odd[1].born_ms = 8;
    read(odd[1]);
    this->run_for(milliseconds(3000));
    BOOST_TEST(this->table.endpoints().empty());
}

// Guards against a read of all rows, as they were before other answers, after
// which an endpoint that leaves gets new work again, or one that has left is
// back.
BOOST_FIXTURE_TEST_CASE(outdated_rows_undo_nothing, directory_fixture)
{
    const auto make_row =
        [](const std::string& id, bool is_draining, std::int64_t row_version)
    {
        endpoint_row row{.id = id, .entry = {}, .version = row_version};
        row.entry.emplace();
        row.entry->id = id;
        row.entry->born_ms = 7;
        row.entry->is_draining = is_draining;
        return row;
    };
    const std::vector<endpoint_row> old_rows = {make_row("i-1", false, 11),
                                                make_row("i-2", false, 12)};
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.version = 12;
    rows.endpoints = old_rows;
    this->table.rows_read(rows, this->now);
    rows.version = 15;
    rows.endpoints = {make_row("i-1", true, 13),
                      {.id = "i-2", .entry = {}, .version = 14},
                      make_row("i-3", false, 15)};
    this->table.rows_read(rows, this->now);
    this->run_for(milliseconds(3000));
    const auto known = this->table.endpoints();
    BOOST_TEST(known.size() == 2U);
    rows.status = read_status::history_lost;
    this->table.rows_read(rows, this->now);
    rows.status = read_status::read;
    rows.is_whole = true;
    rows.version = 12;
    rows.endpoints = old_rows;
    this->table.rows_read(rows, this->now);
    this->run_for(milliseconds(3000));
    BOOST_TEST((this->table.endpoints() == known));
    // An endpoint that registers again is used again.
    rows.version = 18;
    rows.endpoints = {make_row("i-1", true, 13), make_row("i-2", false, 17)};
    this->table.rows_read(rows, this->now);
    this->run_for(milliseconds(3000));
    BOOST_TEST(this->table.endpoints().size() == 2U);
    BOOST_TEST(this->table.endpoints().back().id == "i-2");
}

// Guards against the same for hosts: the link to a host that was added since
// was closed.
BOOST_FIXTURE_TEST_CASE(outdated_rows_remove_no_host, directory_fixture)
{
    table_rows rows;
    rows.table = directory_table::hosts;
    rows.status = read_status::read;
    rows.version = 9;
    rows.hosts = {{.name = "h2", .record = make_record(2), .version = 9}};
    this->table.rows_read(rows, this->now);
    rows.status = read_status::history_lost;
    this->table.rows_read(rows, this->now);
    rows.status = read_status::read;
    rows.version = 8;
    rows.is_whole = true;
    rows.hosts.clear();
    this->table.rows_read(rows, this->now);
    BOOST_TEST(this->removed_hosts.empty());
    rows.version = 10;
    this->table.rows_read(rows, this->now);
    BOOST_TEST(this->removed_hosts == "h2 ");
}

// Guards against a store that forgets the changes after the rows that it shows:
// each host read the tables as fast as it answered, which used up the rate of
// all hosts, so that none learned of a change any more.
BOOST_FIXTURE_TEST_CASE(lost_histories_are_read_again_with_a_delay,
                        directory_fixture)
{
    table_rows rows;
    rows.table = directory_table::hosts;
    rows.version = 9;
    rows.status = read_status::history_lost;
    this->table.rows_read(rows, this->now);
    int answered = 0;
    for (int i = 0; i < 400; ++i)
    {
        this->reads.clear();
        this->run_for(milliseconds(25));
        for (const table_read& read : this->reads)
        {
            if (read.table != rows.table)
                continue;
            ++answered;
            rows.is_whole = read.wants_all;
            rows.status =
                read.wants_all ? read_status::read : read_status::history_lost;
            this->table.rows_read(rows, this->now);
        }
    }
    // Ten seconds, with two reads for each delay of half a second or more.
    BOOST_TEST(answered <= 40);
    BOOST_TEST(answered >= 10);
    // The delay ends with the trouble.
    rows.status = read_status::read;
    rows.is_whole = false;
    this->answer(rows);
    rows.status = read_status::history_lost;
    this->table.rows_read(rows, this->now);
    this->reads.clear();
    this->run_for(milliseconds(25));
    BOOST_TEST(this->reads.size() >= 1U);
}

// Guards against changes that wait for the next interval, so that a host which
// has fallen behind uses rows that are seconds old.
BOOST_FIXTURE_TEST_CASE(an_answer_that_is_cut_is_read_on_at_once,
                        directory_fixture)
{
    const auto read_of = [this](const table_rows& rows)
    {
        this->reads.clear();
        this->table.rows_read(rows, this->now);
        this->table.tick(this->now);
        for (const table_read& read : this->reads)
            if (read.table == directory_table::endpoints)
                return std::optional(read);
        return std::optional<table_read>();
    };
    const auto row = [](int number, std::int64_t at)
    {
        endpoint_row made{.id = "i-" + std::to_string(number),
                          .entry = schema::endpoint_registration(),
                          .version = at};
        made.entry->id = made.id;
        made.entry->domain = "D1";
        return made;
    };
    table_rows all;
    all.table = directory_table::endpoints;
    all.status = read_status::read;
    all.is_whole = true;
    all.version = 10;
    for (int i = 0; i < 5; ++i)
        all.endpoints.push_back(row(i, 1 + i));
    BOOST_TEST(!read_of(all));
    BOOST_TEST(!this->table.lacks_endpoints(this->now));

    this->run_for(milliseconds(2500));
    table_rows cut = all;
    cut.is_whole = false;
    cut.is_cut = true;
    cut.version = 12;
    cut.endpoints = {row(0, 11), row(1, 12)};
    const auto second = read_of(cut);
    BOOST_REQUIRE(second);
    BOOST_TEST(!second->wants_all);
    BOOST_TEST(second->after == 12);
    BOOST_TEST(this->table.lacks_endpoints(this->now));

    // All rows are fewer than the changes that it has read since.
    cut.version = 15;
    cut.endpoints = {row(0, 13), row(1, 14), row(2, 15)};
    const auto third = read_of(cut);
    BOOST_REQUIRE(third);
    BOOST_TEST(third->wants_all);
    all.version = 20;
    BOOST_TEST(!read_of(all));
    BOOST_TEST(!this->table.lacks_endpoints(this->now));
}

// Guards against rows that are taken for outdated for good after a store that
// counts from a lower version again: an endpoint that leaves would get work.
BOOST_FIXTURE_TEST_CASE(rows_of_a_version_that_decreased_are_used,
                        directory_fixture)
{
    endpoint_row row{
        .id = "i-0", .entry = schema::endpoint_registration(), .version = 100};
    row.entry->id = row.id;
    row.entry->domain = "D1";
    row.entry->born_ms = 1;
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.is_whole = true;
    rows.version = 100;
    rows.endpoints = {row};
    this->table.rows_read(rows, this->now);
    this->run_for(milliseconds(2500));
    rows.is_whole = false;
    rows.version = 50;
    rows.endpoints = {};
    this->table.rows_read(rows, this->now);
    rows.is_whole = true;
    row.version = 40;
    rows.endpoints = {row};
    this->table.rows_read(rows, this->now);
    rows.is_whole = false;
    rows.version = 60;
    row.version = 60;
    row.entry->is_draining = true;
    rows.endpoints = {row};
    this->table.rows_read(rows, this->now);
    BOOST_REQUIRE(this->table.endpoints().size() == 1U);
    BOOST_TEST(this->table.endpoints().front().is_draining);
}

// Guards against a host that reads all changes in time and says every other
// second that it does not follow them, as they come in two answers.
BOOST_FIXTURE_TEST_CASE(changes_in_two_answers_are_followed, directory_fixture)
{
    const auto row = [](int number, std::int64_t at)
    {
        endpoint_row made{.id = "i-" + std::to_string(number),
                          .entry = schema::endpoint_registration(),
                          .version = at};
        made.entry->id = made.id;
        made.entry->domain = "D1";
        return made;
    };
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.is_whole = true;
    rows.version = 10;
    for (int i = 0; i < 5; ++i)
        rows.endpoints.push_back(row(i, 1 + i));
    this->table.rows_read(rows, this->now);
    this->table.tick(this->now);
    rows.is_whole = false;
    this->lines.clear();
    for (int round = 0; round < 20; ++round)
    {
        this->run_for(milliseconds(2000));
        rows.is_cut = true;
        rows.endpoints = {row(0, rows.version + 1), row(1, rows.version + 2)};
        rows.version += 2;
        this->table.rows_read(rows, this->now);
        this->table.tick(this->now);
        rows.is_cut = false;
        rows.endpoints = {row(2, rows.version + 1)};
        rows.version += 1;
        this->table.rows_read(rows, this->now);
        this->table.tick(this->now);
    }
    const auto late = std::count_if(
        this->lines.begin(), this->lines.end(),
        [](const std::string& line)
        { return line.find("endpoints_late") != std::string::npos; });
    BOOST_TEST(late == 0);
}

// Guards against an endpoint that a peer has told of as leaving, and that older
// changes turn back.
BOOST_FIXTURE_TEST_CASE(older_changes_do_not_turn_a_leaving_endpoint_back,
                        directory_fixture)
{
    endpoint_row row{
        .id = "i-0", .entry = schema::endpoint_registration(), .version = 5};
    row.entry->id = row.id;
    row.entry->domain = "D1";
    row.entry->born_ms = 1;
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.is_whole = true;
    rows.version = 5;
    rows.endpoints = {row};
    this->answer(rows);
    schema::leaving_endpoint news;
    news.id = row.id;
    news.domain = "D1";
    news.born_ms = 1;
    news.version = 9;
    this->table.note_leaving(news, this->now);
    BOOST_TEST(this->table.endpoints().front().is_draining);

    rows.is_whole = false;
    rows.version = 7;
    rows.endpoints.front().version = 7;
    this->answer(rows);
    BOOST_TEST(this->table.endpoints().front().is_draining);
    rows.version = 10;
    rows.endpoints.front().version = 10;
    this->answer(rows);
    BOOST_TEST(!this->table.endpoints().front().is_draining);
}

// Guards against news of a leaving endpoint that is lost since the endpoint is
// not known, or is known in another incarnation.
BOOST_FIXTURE_TEST_CASE(news_of_leaving_endpoints_wait_for_their_rows,
                        directory_fixture)
{
    const auto read =
        [this](const std::string& id, std::int64_t born, std::int64_t row)
    {
        table_rows rows;
        rows.table = directory_table::endpoints;
        rows.status = read_status::read;
        rows.version = row;
        rows.endpoints = {{.id = id, .entry = {}, .version = row}};
        rows.endpoints[0].entry.emplace();
        rows.endpoints[0].entry->id = id;
        rows.endpoints[0].entry->born_ms = born;
        this->table.rows_read(rows, this->now);
    };
    const auto tell =
        [this](const std::string& id, std::int64_t born, std::int64_t row)
    {
        schema::leaving_endpoint told;
        told.id = id;
        told.born_ms = born;
        told.version = row;
        this->table.note_leaving(told, this->now);
    };
    const auto leaves = [this](const std::string& id)
    {
        for (const auto& entry : this->table.endpoints())
            if (entry.id == id)
                return entry.is_draining;
        return false;
    };
    // Not known yet; the row is an earlier one.
    tell("i-1", 7, 20);
    read("i-1", 7, 10);
    BOOST_TEST(leaves("i-1"));
    // Known in an earlier incarnation.
    read("i-2", 7, 11);
    const auto before = this->table.endpoints_version();
    tell("i-2", 8, 21);
    BOOST_TEST(leaves("i-2"));
    BOOST_TEST(this->table.endpoints_version() != before);
    read("i-2", 8, 15);
    BOOST_TEST(leaves("i-2"));
    // Known by a later row.
    read("i-3", 8, 30);
    tell("i-3", 7, 22);
    BOOST_TEST(!leaves("i-3"));
    // Later rows say otherwise.
    read("i-1", 8, 31);
    BOOST_TEST(!leaves("i-1"));
    read("i-2", 9, 32);
    BOOST_TEST(!leaves("i-2"));
}

// Guards against leaving endpoints that a peer is never told of since there are
// more of them than one heartbeat holds, and against telling it what it has
// read.
BOOST_FIXTURE_TEST_CASE(more_leaving_endpoints_than_a_heartbeat_holds,
                        directory_fixture)
{
    constexpr std::size_t count = support::max_leaving * 5 / 2;
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.version = static_cast<std::int64_t>(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        endpoint_row& row = rows.endpoints.emplace_back();
        row.id = "i-" + std::to_string(i);
        // Not in the order of the ids.
        row.version = static_cast<std::int64_t>(count - i);
        row.entry.emplace();
        row.entry->id = row.id;
        row.entry->domain = i % 5 == 0 ? "D2" : "D1";
        row.entry->is_draining = true;
    }
    this->table.rows_read(rows, this->now);
    std::set<std::string> told;
    std::int64_t after = 0;
    for (int lists = 0; lists < 4; ++lists)
    {
        const leaving_list list =
            this->table.leaving("D1", 0, after, this->now);
        BOOST_TEST(list.endpoints.size() <= support::max_leaving);
        for (const schema::leaving_endpoint& one : list.endpoints)
            BOOST_TEST(told.insert(one.id).second);
        after = list.last;
    }
    BOOST_TEST(told.size() == support::max_leaving * 2);
    BOOST_TEST(this->table.endpoints_read_to() == rows.version);
    const std::int64_t known = rows.version - 9;
    BOOST_TEST(
        this->table.leaving("D1", known, 0, this->now).endpoints.size() == 7U);
    BOOST_TEST(this->table.leaving("D1", rows.version, 0, this->now)
                   .endpoints.empty());
}

// Guards against a host that takes itself for informed since all its reads
// succeed, although they are answered late.
BOOST_FIXTURE_TEST_CASE(slow_reads_count_as_lacking, directory_fixture)
{
    this->table.set_owner(true, this->now);
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.version = 5;
    for (int round = 0; round < 5; ++round)
    {
        this->run_for(milliseconds(600));
        this->table.rows_read(rows, this->now);
        BOOST_TEST(!this->table.lacks_endpoints(this->now));
        // The next read is asked for 500 ms later, and not answered in time.
        const instant as_of = *this->table.endpoints_as_of();
        while (this->now + milliseconds(25) < as_of + milliseconds(1500))
            this->run_for(milliseconds(25));
        BOOST_TEST(!this->table.lacks_endpoints(this->now));
        this->run_for(milliseconds(25));
        BOOST_TEST(this->table.lacks_endpoints(this->now));
    }
}

// Guards against logs in which a process that starts looks like one that has
// lost the store or its history.
BOOST_FIXTURE_TEST_CASE(first_reads_are_told_from_later_ones, directory_fixture)
{
    table_rows rows;
    rows.table = directory_table::endpoints;
    const auto answer_with =
        [&](read_status status, bool is_whole, std::int64_t row_version)
    {
        rows.status = status;
        rows.is_whole = is_whole;
        rows.version = row_version;
        this->table.rows_read(rows, this->now);
        this->run_for(milliseconds(2000));
    };
    answer_with(read_status::history_lost, false, 5);
    answer_with(read_status::read, true, 5);
    BOOST_TEST(this->count_lines("event=store_recovered") == 1);
    BOOST_TEST(this->count_lines("why=endpoints first=true") == 1);
    BOOST_TEST(this->count_lines("after=0 version=5 first=true") == 1);
    BOOST_TEST(this->count_lines("event=table_read table=endpoints "
                                 "before_ms=-1 version=5 whole=true") == 1);
    answer_with(read_status::read, false, 6);
    BOOST_TEST(this->count_lines("event=table_read") == 1);
    const instant as_of = *this->table.endpoints_as_of();
    answer_with(read_status::unavailable, false, 0);
    answer_with(read_status::history_lost, false, 7);
    const std::string age =
        std::to_string(support::whole_ms(this->now - as_of));
    answer_with(read_status::read, true, 7);
    BOOST_TEST(this->count_lines("event=store_recovered") == 2);
    BOOST_TEST(this->count_lines("first=true") == 2);
    BOOST_TEST(this->count_lines("after=6 version=7 first=false") == 1);
    BOOST_TEST(this->count_lines("event=table_read table=endpoints before_ms=" +
                                 age + " version=7 whole=true") == 1);
}

// Guards against new work for an endpoint whose row is gone or odd while the
// store answers, and against none at all when entries have lapsed with it.
BOOST_FIXTURE_TEST_CASE(endpoints_in_doubt, directory_fixture)
{
    const auto make_row = [this](const std::string& id)
    {
        endpoint_row row{.id = id, .entry = {}, .version = ++this->version};
        row.entry.emplace();
        row.entry->id = id;
        row.entry->domain = "D1";
        row.entry->born_ms = 7;
        row.entry->port = 80;
        return row;
    };
    const auto read = [this](std::vector<endpoint_row> changed)
    {
        table_rows rows;
        rows.table = directory_table::endpoints;
        rows.status = read_status::read;
        rows.version = ++this->version;
        for (const endpoint_row& row : changed)
            if (!row.entry && row.id == "odd")
                rows.malformed.push_back({.key = row.id, .problem = "bytes"});
        rows.endpoints = std::move(changed);
        this->table.rows_read(rows, this->now);
        this->run_for(milliseconds(25));
    };
    const auto gone = [this](const std::string& id)
    {
        return endpoint_row{.id = id, .entry = {}, .version = ++this->version};
    };
    const auto doubt_of = [this](const std::string& id)
    {
        const auto doubts = this->table.doubts();
        const auto found = doubts.find(id);
        return found == doubts.end() ? entry_doubt::none : found->second;
    };
    const auto read_all = [&]
    {
        read({make_row("a"), make_row("b"), make_row("c"), make_row("d"),
              make_row("e"), make_row("odd")});
    };
    const auto lose_store = [this]
    {
        table_rows rows;
        rows.table = directory_table::config;
        this->table.rows_read(rows, this->now);
    };
    read_all();
    BOOST_TEST(this->table.doubts().empty());
    auto before = this->table.doubts_version();
    read({gone("a"), gone("odd")});
    BOOST_TEST(this->table.doubts_version() != before);
    BOOST_TEST((doubt_of("a") == entry_doubt::unusable));
    BOOST_TEST((doubt_of("odd") == entry_doubt::unusable));
    BOOST_TEST(this->table.endpoints().size() == 6U);
    // The outage may have begun before this host saw it.
    lose_store();
    BOOST_TEST((doubt_of("a") == entry_doubt::last_resort));
    BOOST_TEST((doubt_of("odd") == entry_doubt::unusable));
    before = this->table.doubts_version();
    read_all();
    BOOST_TEST(this->table.doubts().empty());
    BOOST_TEST(this->table.doubts_version() != before);
    read({gone("b")});
    BOOST_TEST((doubt_of("b") == entry_doubt::last_resort));
    // The outage is long over.
    read_all();
    this->run_for(milliseconds(10000));
    read({gone("b")});
    BOOST_TEST((doubt_of("b") == entry_doubt::unusable));
    // Most of the domain.
    read({gone("c"), gone("d"), gone("e")});
    for (const std::string id : {"b", "c", "d", "e"})
        BOOST_TEST((doubt_of(id) == entry_doubt::last_resort));
    // Another writer's row.
    read_all();
    endpoint_row forged = make_row("a");
    forged.entry->port = 81;
    read({forged});
    BOOST_TEST((doubt_of("a") == entry_doubt::unusable));
    BOOST_TEST(!this->table.endpoints().front().is_draining);
    forged.version = ++this->version;
    forged.entry->is_draining = true;
    read({forged});
    BOOST_TEST(this->table.endpoints().front().is_draining);
    read_all();
    BOOST_TEST(!this->table.endpoints().front().is_draining);
}

// Guards against a host that takes itself for informed while a read hangs.
BOOST_FIXTURE_TEST_CASE(reads_that_hang_count_as_lacking, directory_fixture)
{
    BOOST_TEST(this->table.lacks_endpoints(this->now));
    this->table.set_owner(true, this->now);
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.version = 5;
    this->table.rows_read(rows, this->now);
    BOOST_TEST(!this->table.lacks_endpoints(this->now));
    const instant asked = *this->table.endpoints_as_of();
    this->run_for(milliseconds(1400));
    BOOST_TEST(!this->table.lacks_endpoints(this->now));
    this->run_for(milliseconds(125));
    BOOST_TEST(this->table.lacks_endpoints(this->now));
    this->run_for(milliseconds(2000));
    BOOST_TEST((*this->table.endpoints_as_of() == asked));
    BOOST_TEST(this->count_lines("event=endpoints_late age_ms=15") == 1);
    // The answer shows what was there when it was asked for.
    this->reads.clear();
    this->table.rows_read(rows, this->now);
    BOOST_TEST(this->table.lacks_endpoints(this->now));
    this->run_for(milliseconds(25));
    BOOST_TEST(this->reads.size() == 1U);
    this->table.rows_read(rows, this->now);
    BOOST_TEST(!this->table.lacks_endpoints(this->now));
    this->run_for(milliseconds(25));
    BOOST_TEST(this->count_lines("event=endpoints_followed") == 2);
    BOOST_TEST(this->count_lines("event=endpoints_late") == 1);
}

// Guards against an endpoint that peers are not told of any more since its row
// was removed, although it still serves.
BOOST_FIXTURE_TEST_CASE(removed_endpoints_are_told_of_for_a_while,
                        directory_fixture)
{
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.version = 10;
    rows.endpoints = {{.id = "i-1", .entry = {}, .version = 10}};
    rows.endpoints[0].entry.emplace();
    rows.endpoints[0].entry->id = "i-1";
    rows.endpoints[0].entry->domain = "D1";
    rows.endpoints[0].entry->is_draining = true;
    this->table.rows_read(rows, this->now);
    rows.version = 11;
    rows.endpoints = {{.id = "i-1", .entry = {}, .version = 11}};
    this->table.rows_read(rows, this->now);
    this->run_for(milliseconds(5000));
    BOOST_TEST(this->table.endpoints().empty());
    BOOST_TEST(this->table.leaving("D1", 0, 0, this->now).endpoints.size() ==
               1U);
    this->run_for(milliseconds(30000));
    BOOST_TEST(this->table.leaving("D1", 0, 0, this->now).endpoints.empty());
}

// An owner has read a later row than this host, whose reads are behind.
BOOST_FIXTURE_TEST_CASE(endpoint_that_an_owner_has_told_is_used,
                        directory_fixture)
{
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.is_whole = true;
    rows.version = 10;
    this->answer(rows);
    schema::held_endpoint held;
    held.entry.id = "e1";
    held.entry.domain = "D1";
    held.entry.born_ms = 1;
    held.version = 20;
    held.is_listed = true;
    this->table.note_held(held, this->now);
    BOOST_TEST(this->table.endpoints().size() == 1);
    BOOST_TEST(this->table.known_since("e1") == 20);
    // A read of earlier rows does not show that it has left.
    rows.version = 19;
    this->answer(rows);
    this->run_for(milliseconds(5000));
    BOOST_TEST(this->table.endpoints().size() == 1);
    rows.version = 21;
    this->answer(rows);
    this->run_for(milliseconds(5000));
    BOOST_TEST(this->table.endpoints().empty());
    // What is told late does not bring it back.
    this->table.note_held(held, this->now);
    BOOST_TEST(this->table.endpoints().empty());
}

// Each report of an endpoint is a later row of the same incarnation.
BOOST_FIXTURE_TEST_CASE(known_since_counts_incarnations, directory_fixture)
{
    schema::endpoint_registration entry;
    entry.id = "e1";
    entry.born_ms = 1;
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.is_whole = true;
    rows.version = 10;
    rows.endpoints = {{.id = "e1", .entry = entry, .version = 10}};
    this->answer(rows);
    rows.version = 11;
    rows.endpoints = {{.id = "e1", .entry = entry, .version = 11}};
    this->answer(rows);
    BOOST_TEST(this->table.known_since("e1") == 10);
    entry.born_ms = 2;
    rows.version = 12;
    rows.endpoints = {{.id = "e1", .entry = entry, .version = 12}};
    this->answer(rows);
    BOOST_TEST(this->table.known_since("e1") == 12);
    BOOST_TEST(this->table.known_since("e2") == 0);
}

// Hosts that have read the store while an entry was missing lack the endpoint.
BOOST_FIXTURE_TEST_CASE(known_since_counts_from_the_last_gap, directory_fixture)
{
    schema::endpoint_registration entry;
    entry.id = "e1";
    entry.born_ms = 1;
    table_rows rows;
    rows.table = directory_table::endpoints;
    rows.status = read_status::read;
    rows.is_whole = true;
    rows.version = 10;
    rows.endpoints = {{.id = "e1", .entry = entry, .version = 10}};
    this->answer(rows);
    BOOST_TEST(this->table.lists("e1"));
    rows.version = 12;
    rows.endpoints.clear();
    this->answer(rows);
    BOOST_TEST(!this->table.lists("e1"));
    BOOST_TEST(this->table.known_since("e1") == 12);
    BOOST_TEST(this->table.endpoints().size() == 1);
    rows.version = 14;
    rows.endpoints = {{.id = "e1", .entry = entry, .version = 14}};
    this->answer(rows);
    BOOST_TEST(this->table.lists("e1"));
    BOOST_TEST(this->table.known_since("e1") == 14);
    BOOST_TEST(!this->table.lists("e2"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
