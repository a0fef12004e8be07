#include "chicorydrum/support/ids.hpp"

#include <boost/test/unit_test.hpp>

using namespace chicorydrum::support;

BOOST_AUTO_TEST_SUITE(ids)

BOOST_AUTO_TEST_CASE(ids_round_trip_through_text)
{
    for (const char* text : {"a~1f~b~2e~1.key_-9", "a~1f~~~3.k", "bare-key"})
    {
        const auto id = parse_submission_id(text);
        BOOST_REQUIRE(id);
        BOOST_TEST(to_text(*id) == text);
    }
}

BOOST_AUTO_TEST_CASE(malformed_ids_are_rejected)
{
    const std::string long_key(65, 'k');
    for (const std::string& text :
         {std::string(), std::string("."), std::string("a~1.k"),
          std::string("a~1~b~2~0.k"), std::string("a~01~b~2~1.k"),
          std::string("A~1~b~2~1.k"), std::string("a~1~b~~1.k"),
          std::string("a~1~b~2~1."), std::string("a~1~b~2~1.k.k"),
          std::string("k/k"), std::string("k%20"), long_key})
        BOOST_TEST(!parse_submission_id(text), "accepted: " + text);
}

BOOST_AUTO_TEST_SUITE_END()
