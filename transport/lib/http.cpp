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

} // namespace chicorydrum::transport
