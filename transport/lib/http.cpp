#include "chicorydrum/transport/http.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace chicorydrum::transport
{

namespace
{

std::string_view without_blanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string without_escapes(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned char value = 0;
        const char* const digits = text.data() + i + 1;
        const bool is_escape =
            text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(digits, digits + 2, value, hexadecimal).ptr ==
                digits + 2;
        // libwebsockets takes a plus sign for a blank.
        const char plain = text[i] == '+' ? ' ' : text[i];
        decoded += is_escape ? static_cast<char>(value) : plain;
        i += is_escape ? 2 : 0;
    }
    return decoded;
}

} // namespace

std::string_view name_of(http_method method)
{
    static constexpr std::array<std::string_view, 5> names = {
        "GET", "PUT", "POST", "DELETE", "OTHER"};
    return names[static_cast<std::size_t>(method)];
}

std::string normalized_host(std::string_view host)
{
    std::string_view name = without_blanks(host);
    const std::size_t colon = name.rfind(':');
    // The colons of an address of version 6 are in brackets.
    if (colon != std::string_view::npos &&
        name.find(']', colon) == std::string_view::npos)
        name = name.substr(0, colon);
    if (name.ends_with('.'))
        name.remove_suffix(1);
    std::string normalized(name);
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](char c) {
                       return c >= 'A' && c <= 'Z'
                                  ? static_cast<char>(c - 'A' + 'a')
                                  : c;
                   });
    return normalized;
}

std::string normalized_path(std::string_view path)
{
    const std::string decoded = without_escapes(path);
    std::string normalized;
    std::size_t begin = 0;
    while (begin < decoded.size())
    {
        const std::size_t slash = decoded.find('/', begin);
        const bool is_last = slash == std::string::npos;
        const std::string segment =
            decoded.substr(begin, is_last ? slash : slash - begin);
        begin = is_last ? decoded.size() : slash + 1;
        if (segment == "..")
        {
            // "/a/b/" becomes "/a/".
            const std::size_t parent =
                normalized.size() < 2
                    ? std::string::npos
                    : normalized.rfind('/', normalized.size() - 2);
            normalized.resize(parent == std::string::npos ? 0 : parent + 1);
        }
        else if (!segment.empty() && segment != ".")
        {
            normalized += segment;
            if (!is_last)
                normalized += '/';
        }
        if (normalized.empty())
            normalized.push_back('/');
    }
    return normalized;
}

std::string_view find_header(const std::vector<http_header>& headers,
                             std::string_view name)
{
    for (const http_header& header : headers)
        if (header.name == name)
            return without_blanks(header.value);
    return {};
}

} // namespace chicorydrum::transport
