#include "chicorydrum/decision/answers.hpp"
#include "chicorydrum/decision/bundle_view.hpp"
#include "chicorydrum/decision/submission_table.hpp"
#include "chicorydrum/decision/witness_table.hpp"
#include "chicorydrum/support/yaml_reader.hpp"

#include <boost/test/unit_test.hpp>

using namespace chicorydrum;
using namespace chicorydrum::decision;
using support::error_kind;
using support::instant;
using support::milliseconds;

namespace
{

instant at(int ms)
{
    return instant(milliseconds(ms));
}

support::submission_id parse(const std::string& text)
{
    return support::parse_submission_id(text).value();
}

schema::witness_record make_claim(const std::string& id)
{
    schema::witness_record record;
    record.id = id;
    record.digest = "d";
    record.witnessed = true;
    return record;
}

record_ptr make_finished(const std::string& id)
{
    auto record = std::make_shared<submission_record>();
    record->work.id = id;
    record->work.tasks.resize(1);
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tables)

BOOST_AUTO_TEST_CASE(a_closed_id_rejects_claims)
{
    witness_table table({});
    const std::string id = "a~1~w~2~1.k";
    const auto answer = table.answer_for(
        parse(id), "d", claim_guarantee::always_claimed, at(0));
    BOOST_TEST(answer.not_run);
    BOOST_TEST(!table.claim(make_claim(id), at(1)));
    BOOST_TEST(table.claim(make_claim("a~1~w~2~1.other"), at(1)));
}

BOOST_AUTO_TEST_CASE(an_id_claimed_or_of_an_unclaimed_kind_may_have_run)
{
    witness_table table({});
    table.claim(make_claim("a~1~w~2~1.k"), at(0));
    BOOST_TEST(!table
                    .answer_for(parse("a~1~w~2~1.k"), "d",
                                claim_guarantee::always_claimed, at(1))
                    .not_run);
    BOOST_TEST(!table
                    .answer_for(parse("a~1~w~2~1.q"), "d",
                                claim_guarantee::may_be_unclaimed, at(1))
                    .not_run);
}

BOOST_AUTO_TEST_CASE(a_purged_record_is_never_reported_as_not_run)
{
    witness_table table({.max_age = milliseconds(1000)});
    table.claim(make_claim("a~1~w~2~3.k"), at(0));
    table.purge(at(2000));
    BOOST_TEST(table.size() == 0U);
    const auto answer = table.answer_for(
        parse("a~1~w~2~3.k"), "d", claim_guarantee::always_claimed, at(2000));
    BOOST_TEST((answer.error == error_kind::undetermined));
    BOOST_TEST(!answer.not_run);
    BOOST_TEST(!table.claim(make_claim("a~1~w~2~2.j"), at(2000)));
    BOOST_TEST(table.claim(make_claim("a~1~w~2~4.j"), at(2000)));
}

BOOST_AUTO_TEST_CASE(an_id_missing_from_a_complete_table_has_not_run)
{
    witness_table table({});
    schema::handover handover;
    handover.owner.host = "a";
    handover.owner.nonce = 1;
    handover.purged_generation = 2;
    table.apply_handover(handover, at(0));
    const auto ask = [&table](const std::string& id)
    {
        return table.answer_for(parse(id), "d",
                                claim_guarantee::may_be_unclaimed, at(1));
    };
    BOOST_TEST(ask("a~1~w~2~3.k").not_run);
    BOOST_TEST(!ask("a~1~w~2~2.k").not_run);
    BOOST_TEST(!table.claim(make_claim("a~1~w~2~3.l"), at(2)));
}

BOOST_AUTO_TEST_CASE(an_owner_never_accepts_a_purged_id_as_fresh)
{
    submission_table table({.max_age = milliseconds(1000)});
    const std::string id = "a~1~w~2~3.k";
    const record_ptr record = make_finished(id);
    table.insert(record);
    BOOST_TEST((table.look_up(parse(id)) == id_status::recorded));
    record->phase = submission_phase::finished;
    table.finished(record, at(0));
    table.purge(at(2000));
    BOOST_TEST((table.look_up(parse(id)) == id_status::forgotten));
    BOOST_TEST((table.look_up(parse("a~1~w~2~4.k")) == id_status::fresh));
    BOOST_TEST(table.open_bytes() == 0U);
    BOOST_TEST(table.kept_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(kept_answers_stay_within_the_byte_limit)
{
    submission_table table({.max_bytes = 4000});
    for (int i = 0; i < 50; ++i)
    {
        const record_ptr record =
            make_finished("a~1~w~2~1.k" + std::to_string(i));
        table.insert(record);
        record->phase = submission_phase::finished;
        table.finished(record, at(i));
    }
    table.purge(at(60));
    BOOST_TEST(table.kept_bytes() <= 4000U);
    BOOST_TEST((table.look_up(parse("a~1~w~2~1.k49")) == id_status::recorded));
    BOOST_TEST((table.look_up(parse("a~1~w~2~1.k0")) == id_status::forgotten));
}

BOOST_AUTO_TEST_CASE(refusals_are_kept_as_long_as_answers)
{
    submission_table table({.max_age = milliseconds(1000)});
    const auto id = parse("a~1~w~2~1.k");
    table.remember_refusal(id, error_kind::shed, at(0));
    table.purge(at(900));
    BOOST_TEST((table.look_up(id) == id_status::refused));
    table.purge(at(1100));
    BOOST_TEST((table.look_up(id) == id_status::forgotten));
}

BOOST_AUTO_TEST_CASE(the_repeatable_flag_of_a_kind_cannot_change)
{
    const auto read = [](const std::string& kind)
    {
        return support::read_bundle(
                   "kinds: [" + kind + "]\nteams: [{name: t}]\n", "b")
            .value();
    };
    const auto before = read("{name: k}");
    BOOST_TEST(
        find_bundle_conflict(before, read("{name: k, share: 2}")).empty());
    BOOST_TEST(
        !find_bundle_conflict(before, read("{name: k, repeatable: false}"))
             .empty());
}

BOOST_AUTO_TEST_SUITE_END()
