/// \file
/// Access to the buffered log lines for the crash report.
#pragma once

#include <string_view>

namespace chicorydrum::support
{

/// Returns the lines that the log has not written yet. May be called from a
/// signal handler; the text may then end in the middle of a line.
std::string_view unwritten_log_lines();

} // namespace chicorydrum::support
