/// \file
/// Lists and answers in which another program has written odd parts.
#include "chicorydrum/daemon/endpoint_client.hpp"
#include "chicorydrum/daemon/json_codec.hpp"
#include "chicorydrum/daemon/platform_client.hpp"
#include "chicorydrum/support/json_fields.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::daemon
{

namespace
{

constexpr const char* valid_endpoint =
    R"({"name":"e","domain":"d","address":"10.0.0.2","port":2})";
constexpr const char* valid_host =
    R"({"name":"h","domain":"d","address":"10.0.0.1","peer_port":1})";

/// Returns a list that has an endpoint with the extra member \p odd before the
/// valid entries.
std::string list_with(const std::string& odd)
{
    return std::string(R"({"revision":7,"entry_hosts":[)") + valid_host +
           R"(],"endpoints":[{"name":"odd","domain":"d","address":"10.0.0.3",)"
           R"("port":3,"extra":)" +
           odd + "}," + valid_endpoint + "]}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nested_objects(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += R"({"a":)";
    return text + "1" + std::string(depth, '}');
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

// Guards against a process that ends with an exhausted stack when it copies a
// deeply nested document, such as the platform's list with one odd entry.
BOOST_AUTO_TEST_CASE(deeply_nested_documents_do_not_exhaust_the_stack)
{
    constexpr std::size_t levels = 1000000;
    for (const std::string& deep : {nested(levels), nested_objects(levels)})
    {
        const std::string text = list_with(deep);
        BOOST_TEST(support::integer_field(support::parse_json_object(text),
                                          "revision") == 7);
        const auto list = parse_host_list(text);
        BOOST_REQUIRE(list.has_value());
        BOOST_TEST(list->hosts.size() == 1U);
        BOOST_TEST(list->endpoints.back().name == "e");
        BOOST_TEST(!parse_job(deep));
        const transport::http_response answer{.body = text};
        read_endpoint_response(7, answer);
        read_check_response(7, answer);
        BOOST_TEST(
            decision::parse_accepted_bundle(R"({"version":3,"x":)" + deep + "}")
                ->version == 3);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::daemon
