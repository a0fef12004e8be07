/// \file
/// The report that a process writes when a fatal signal terminates it.
#pragma once

namespace chicorydrum::support
{

/// Installs a handler for SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT that
/// writes the buffered log lines, a line event=crashed and a backtrace, one
/// frame per line, to standard output. The signal then terminates the process.
/// Call once, after start_logging(). Logs a warning if the handler cannot have
/// an alternate stack, in which case a stack overflow goes unreported.
void report_crashes();

} // namespace chicorydrum::support
