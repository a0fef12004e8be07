#include "chicorydrum/transport/http.hpp"

#include <array>

namespace chicorydrum::transport
{

std::string_view name_of(http_method method)
{
    static constexpr std::array<std::string_view, 5> names = {
        "GET", "PUT", "POST", "DELETE", "OTHER"};
    return names[static_cast<std::size_t>(method)];
}

std::string_view find_header(const std::vector<http_header>& headers,
                             std::string_view name)
{
    for (const http_header& header : headers)
        if (header.name == name)
            return header.value;
    return {};
}

} // namespace chicorydrum::transport
