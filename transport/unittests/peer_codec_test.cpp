#include "chicorydrum/transport/peer_codec.hpp"

#include <random>

#include <boost/test/unit_test.hpp>

using namespace chicorydrum;
using namespace chicorydrum::transport;

namespace
{

schema::peer_message make_message()
{
    schema::forward forward;
    forward.call = 7;
    forward.work.id = "a~1~b~2~1.k";
    forward.work.kind = "tag";
    forward.work.tasks.resize(3);
    forward.work.tasks[1].payload = std::string("\0bytes", 6);
    schema::peer_message message;
    message.__set_forwarded(forward);
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_codec)

BOOST_AUTO_TEST_CASE(encoded_message_decodes_to_the_same_message)
{
    const schema::peer_message message = make_message();
    const auto decoded = decode_message(encode_message(message));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((*decoded == message));
}

BOOST_AUTO_TEST_CASE(frames_without_exactly_one_message_are_rejected)
{
    const std::string frame = encode_message(make_message());
    BOOST_TEST(!decode_message(""));
    BOOST_TEST(!decode_message(encode_message(schema::peer_message{})));
    BOOST_TEST(!decode_message(frame + "x"));
    for (std::size_t length = 0; length < frame.size(); ++length)
        BOOST_TEST(!decode_message(frame.substr(0, length)));
    // A list that claims more elements than any frame can hold.
    BOOST_TEST(!decode_message("\x3c\x19\xfc\xff\xff\xff\xff\x07"));
}

BOOST_AUTO_TEST_CASE(decoder_handles_mutated_frames)
{
    const std::string frame = encode_message(make_message());
    std::mt19937_64 random(1);
    for (int round = 0; round < 20000; ++round)
    {
        std::string mutated = frame;
        for (int i = 0; i < 3; ++i)
            mutated[random() % mutated.size()] =
                static_cast<char>(random() & 0xffU);
        static_cast<void>(decode_message(mutated));
    }
}

BOOST_AUTO_TEST_SUITE_END()
