#include "chicorydrum/support/log.hpp"

#include <boost/test/unit_test.hpp>

using chicorydrum::support::log_line;

BOOST_AUTO_TEST_SUITE(log_lines)

// Guards against control characters of foreign names in the log, such as a
// terminal's escape sequences.
BOOST_AUTO_TEST_CASE(control_characters_are_not_written)
{
    for (const char c : {'\0', '\x1b', '\b', '\x7f', '\n'})
    {
        const std::string name = std::string("a") + c + "b";
        BOOST_TEST(log_line("e").add("key", name).text() ==
                   "event=e key=\"a b\"");
    }
    BOOST_TEST(log_line("e").add("key", "a=\"b\"").text() ==
               "event=e key=\"a=\\\"b\\\"\"");
    BOOST_TEST(log_line("e").add("key", "i-1").text() == "event=e key=i-1");
}

BOOST_AUTO_TEST_SUITE_END()
