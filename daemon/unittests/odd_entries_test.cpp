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

// Guards against one odd entry that hides all others: hosts then stop following
// the platform's list.
BOOST_AUTO_TEST_CASE(an_odd_entry_does_not_hide_the_others)
{
    const auto list_beside = [](const std::string& odd)
    {
        const std::string both = odd + "," + valid_endpoint + "," + odd;
        const auto list = parse_host_list(
            std::string(R"({"revision":7,"entry_hosts":[)") + odd + "," +
            valid_host + R"(],"endpoints":[)" + both + "]}");
        BOOST_TEST_REQUIRE(list.has_value(), odd.substr(0, 80));
        BOOST_TEST(list->hosts.size() == 1U, odd.substr(0, 80));
        BOOST_TEST(list->endpoints.size() == 1U, odd.substr(0, 80));
    };
    for (const char* const odd : {"5", "null", "[]", "{}", R"("x")", "1e999",
                                  "-1e999", R"({"name":"\ud800"})"})
        list_beside(odd);
    const auto with = [](const std::string& member)
    {
        return R"({"name":"odd","domain":"d","address":"10.0.0.3","port":3,)"
               R"("peer_port":3,)" +
               member + "}";
    };
    for (const char* const name : {"port", "peer_port"})
        for (const char* const port :
             {"0", "65536", "-1", "1e9", "1e999", "\"80\"", "null", "80.5",
              "18446744073709551615"})
        {
            const std::string odd =
                with("\"" + std::string(name) + "\":" + port);
            const auto list = parse_host_list(
                std::string(R"({"entry_hosts":[)") + odd + "," + valid_host +
                R"(],"endpoints":[)" + odd + "," + valid_endpoint + "]}");
            BOOST_TEST_REQUIRE(list.has_value(), odd);
            // The member belongs to one kind of entry only.
            BOOST_TEST(list->hosts.size() + list->endpoints.size() == 3U, odd);
        }
    for (const char* const name : {"name", "domain", "address", "state"})
        for (const char* const value : {"5", "null", "[]", "{}", R"("a\nb")"})
            list_beside(with("\"" + std::string(name) + "\":" + value));
    for (const char* const name :
         {"slots", "connections", "millicores", "memory_mb"})
        for (const char* const value :
             {"-1", "1e9", "9223372036854775808", "\"8\"", "null"})
        {
            const auto list = parse_host_list(
                std::string(R"({"entry_hosts":[],"endpoints":[)") +
                with("\"" + std::string(name) + "\":" + value) + "," +
                valid_endpoint + "]}");
            BOOST_TEST_REQUIRE(list.has_value(), name);
            BOOST_TEST(list->endpoints.size() == 1U, name);
        }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::daemon
