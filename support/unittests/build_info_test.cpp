#include "chicorydrum/support/build_info.hpp"

#include <boost/test/unit_test.hpp>

using namespace chicorydrum::support;

BOOST_AUTO_TEST_SUITE(build_info)

// A log without it cannot be matched with the code.
BOOST_AUTO_TEST_CASE(names_version_and_commit)
{
    BOOST_TEST(!build_version().empty());
    const std::string_view commit = build_commit();
    const bool is_commit =
        commit.size() >= 12 &&
        commit.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    BOOST_TEST((is_commit || commit == "unknown"));
    BOOST_TEST(version_text("p") == "p " + std::string(build_version()) +
                                        " (commit " + std::string(commit) +
                                        ")");
}

BOOST_AUTO_TEST_SUITE_END()
