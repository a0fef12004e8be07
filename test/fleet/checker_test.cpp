/// \file
/// Each invariant of the checker has an injected fault that violates it.
#define BOOST_TEST_MODULE checker
#include "scenario.hpp"

#include <boost/test/unit_test.hpp>

using namespace chicorydrum::fleet;

namespace
{

const char* const script = "host a1 domain a\n"
                           "host b1 domain b\n"
                           "endpoint ea domain a\n"
                           "endpoint eb domain b\n"
                           "at 2s submit j1 via a1 kind tag tasks 5 run 100ms\n"
                           "at 2.01s submit j2 via a1 kind tag tasks 5\n"
                           "at 3s roll v2 via a1\n"
                           "at 4s submit j3 via b1 tasks 3 run 900ms\n"
                           "at 4.2s stop b1\n"
                           "end 30s\n";

std::string problems_with(injected_fault fault)
{
    fleet_options options;
    options.fault = fault;
    std::string all;
    for (const std::string& problem : run_scenario(script, options).problems)
        all += problem + "\n";
    return all;
}

bool reports(injected_fault fault, const std::string& violation)
{
    const std::string problems = problems_with(fault);
    BOOST_TEST_MESSAGE(problems);
    return problems.find("violation: " + violation) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_run_without_faults_has_no_problem)
{
    BOOST_TEST(problems_with(injected_fault::none).empty());
}

BOOST_AUTO_TEST_CASE(every_injected_fault_is_reported)
{
    BOOST_TEST(reports(injected_fault::start_twice, "double_start"));
    BOOST_TEST(reports(injected_fault::truncate_answer, "partial_answer"));
    BOOST_TEST(reports(injected_fault::cross_answers, "crossed_answer"));
    BOOST_TEST(reports(injected_fault::report_not_run, "false_not_run"));
    BOOST_TEST(reports(injected_fault::drop_answer, "no_answer"));
    BOOST_TEST(reports(injected_fault::answer_twice, "second_answer"));
    BOOST_TEST(
        reports(injected_fault::start_on_leaving, "start_after_leaving"));
    BOOST_TEST(reports(injected_fault::revert_bundle, "version_fell"));
    BOOST_TEST(reports(injected_fault::stop_early, "stop_cut_calls"));
}

BOOST_AUTO_TEST_CASE(an_invalid_script_is_reported)
{
    for (const char* text : {"host", "at 1s dance a1", "at soon kill a1",
                             "expect j1", "end 1s 2s", "endpoint e domain"})
        BOOST_TEST(!run_scenario(text).problems.empty(), text);
}
