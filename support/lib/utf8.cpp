#include "chicorydrum/support/utf8.hpp"

#include <array>

namespace chicorydrum::support
{

namespace
{

/// The sequences of one length and the characters that need this length.
struct sequence_form
{
    std::size_t length;
    unsigned char lead_mask;
    unsigned char lead;
    char32_t first;
    char32_t last;
};

constexpr std::array forms = {
    sequence_form{1, 0x80, 0x00, 0x0, 0x7f},
    sequence_form{2, 0xe0, 0xc0, 0x80, 0x7ff},
    sequence_form{3, 0xf0, 0xe0, 0x800, 0xffff},
    sequence_form{4, 0xf8, 0xf0, 0x10000, 0x10ffff},
};

bool is_surrogate(char32_t character)
{
    return character >= 0xd800 && character <= 0xdfff;
}

} // namespace

std::size_t utf8_sequence_length(std::string_view text)
{
    if (text.empty())
        return 0;
    const auto lead = static_cast<unsigned char>(text.front());
    for (const sequence_form& form : forms)
    {
        if ((lead & form.lead_mask) != form.lead)
            continue;
        if (text.size() < form.length)
            return 0;
        char32_t character = lead & ~form.lead_mask & 0xffU;
        for (const char c : text.substr(1, form.length - 1))
        {
            const auto byte = static_cast<unsigned char>(c);
            if ((byte & 0xc0U) != 0x80U)
                return 0;
            character = (character << 6U) | (byte & 0x3fU);
        }
        const bool is_valid = character >= form.first &&
                              character <= form.last &&
                              !is_surrogate(character);
        return is_valid ? form.length : 0;
    }
    return 0;
}

bool is_utf8(std::string_view text)
{
    while (!text.empty())
    {
        const std::size_t length = utf8_sequence_length(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

} // namespace chicorydrum::support
