#include "chicorydrum/support/ids.hpp"

#include "chicorydrum/support/digest.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace chicorydrum::support
{

namespace
{

constexpr std::size_t max_name_length = 32;
constexpr std::size_t max_key_length = 64;
constexpr char home_separator = '~';
constexpr char key_separator = '.';

bool is_key_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_';
}

std::optional<std::int64_t> parse_hex(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, 16);
    // Accepts only the canonical spelling, so that each home has one text form.
    if (parsed.ec != std::errc() || parsed.ptr != end || to_hex(value) != text)
        return std::nullopt;
    return static_cast<std::int64_t>(value);
}

std::optional<incarnation> make_incarnation(std::string_view host,
                                            std::string_view nonce_text)
{
    const auto nonce = parse_hex(nonce_text);
    if (!nonce || !is_valid_name(host, max_name_length))
        return std::nullopt;
    incarnation parsed;
    parsed.host = std::string(host);
    parsed.nonce = *nonce;
    return parsed;
}

} // namespace

bool is_valid_name(std::string_view text, std::size_t max_length)
{
    const auto allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

std::string to_text(const incarnation& process)
{
    return process.host + home_separator +
           to_hex(static_cast<std::uint64_t>(process.nonce));
}

std::string to_text(const home& issued)
{
    std::string text = to_text(issued.owner) + home_separator;
    if (issued.witness)
        text += to_text(*issued.witness);
    else
        text += home_separator;
    text += home_separator;
    return text + to_hex(static_cast<std::uint64_t>(issued.generation));
}

result<home> parse_home(std::string_view text)
{
    std::array<std::string_view, 5> parts;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    {
        const std::size_t end = text.find(home_separator);
        if (end == std::string_view::npos)
            return fail(error_kind::bad_request, "malformed home");
        parts[i] = text.substr(0, end);
        text.remove_prefix(end + 1);
    }
    parts.back() = text;
    const auto owner = make_incarnation(parts[0], parts[1]);
    if (!owner)
        return fail(error_kind::bad_request, "malformed home");
    const auto generation = parse_hex(parts[4]);
    if (!generation || *generation < 1)
        return fail(error_kind::bad_request, "malformed home");
    home parsed{
        .owner = *owner, .witness = std::nullopt, .generation = *generation};
    if (parts[2].empty() && parts[3].empty())
        return parsed;
    parsed.witness = make_incarnation(parts[2], parts[3]);
    if (!parsed.witness)
        return fail(error_kind::bad_request, "malformed home");
    return parsed;
}

std::string to_text(const submission_id& id)
{
    if (!id.home)
        return id.key;
    return to_text(*id.home) + key_separator + id.key;
}

result<submission_id> parse_submission_id(std::string_view text)
{
    submission_id parsed;
    const std::size_t dot = text.find(key_separator);
    if (dot != std::string_view::npos)
    {
        auto parsed_home = parse_home(text.substr(0, dot));
        if (!parsed_home)
            return tl::unexpected(parsed_home.error());
        parsed.home = *parsed_home;
        text.remove_prefix(dot + 1);
    }
    if (text.empty() || text.size() > max_key_length ||
        !std::all_of(text.begin(), text.end(), is_key_character))
        return fail(error_kind::bad_request,
                    "malformed id: a key has 1 to 64 characters of "
                    "A-Z a-z 0-9 - _");
    parsed.key = std::string(text);
    return parsed;
}

} // namespace chicorydrum::support
