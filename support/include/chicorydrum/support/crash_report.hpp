/// \file
/// What a process says when a fatal signal ends it.
#pragma once

namespace chicorydrum::support
{

/// From now on a fatal signal (SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT) writes
/// the log lines that still wait, a line event=crashed and a backtrace, a
/// frame a line, to standard output. The process then dies by that signal.
/// Call it after start_logging(), once. Writes a log line if the handler can't
/// have a stack of its own, so that a stack overflow would go unreported.
void report_crashes();

} // namespace chicorydrum::support
