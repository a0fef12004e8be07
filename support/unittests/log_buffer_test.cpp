/// \file
/// Checks that the bounded log buffer never blocks and counts what it drops.
#include "log_buffer.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace chicorydrum::support
{

namespace
{

/// A descriptor that accepts a limited number of bytes.
struct slow_reader
{
    std::size_t capacity = 0;
    std::string text = {};

    log_buffer_options options()
    {
        return {.write_some =
                    [this](std::string_view bytes)
                {
                    const std::size_t accepted =
                        std::min(bytes.size(), capacity);
                    this->text += bytes.substr(0, accepted);
                    this->capacity -= accepted;
                    return accepted;
                },
                .max_buffered_bytes = 40,
                .batch_bytes = 10};
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(log_buffers)

BOOST_AUTO_TEST_CASE(writes_in_batches_and_at_a_flush)
{
    slow_reader reader{.capacity = 100};
    log_buffer buffer(reader.options());
    buffer.add("a=1\n");
    BOOST_TEST(reader.text.empty());
    buffer.flush();
    BOOST_TEST(reader.text == "a=1\n");
    buffer.add("a=2345678\n");
    BOOST_TEST(reader.text == "a=1\na=2345678\n");
}

BOOST_AUTO_TEST_CASE(drops_whole_lines_and_reports_their_number)
{
    slow_reader reader;
    log_buffer buffer(reader.options());
    for (int i = 0; i < 7; ++i)
        buffer.add("a=" + std::to_string(i) + "234567\n");
    BOOST_TEST(buffer.dropped_lines() == 3);
    reader.capacity = 100;
    buffer.flush();
    buffer.flush();
    BOOST_TEST(reader.text.starts_with("a=0234567\na=1234567\n"));
    BOOST_TEST(reader.text.ends_with("event=log_lines_dropped count=3\n"));
}

BOOST_AUTO_TEST_CASE(resumes_in_the_middle_of_a_line)
{
    slow_reader reader{.capacity = 3};
    log_buffer buffer(reader.options());
    buffer.add("a=2345678\n");
    BOOST_TEST(reader.text == "a=2");
    reader.capacity = 100;
    buffer.flush();
    BOOST_TEST(reader.text == "a=2345678\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::support
