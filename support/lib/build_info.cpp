#include "chicorydrum/support/build_info.hpp"

namespace chicorydrum::support
{

std::string_view build_version()
{
    return CHICORYDRUM_VERSION;
}

std::string_view build_commit()
{
    return CHICORYDRUM_COMMIT;
}

std::string version_text(std::string_view program)
{
    return std::string(program)
        .append(" ")
        .append(build_version())
        .append(" (commit ")
        .append(build_commit())
        .append(")");
}

} // namespace chicorydrum::support
