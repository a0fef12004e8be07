/// \file
/// Which code this program was built from.
#pragma once

#include <string>
#include <string_view>

namespace chicorydrum::support
{

std::string_view build_version();

/// Returns the first 12 digits of the commit that was checked out when the
/// build was configured, or "unknown" outside of a repository. Changes that
/// were not committed do not show.
std::string_view build_commit();

/// Returns the line that \p program shows of itself.
std::string version_text(std::string_view program);

} // namespace chicorydrum::support
