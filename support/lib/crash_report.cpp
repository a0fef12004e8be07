#include "chicorydrum/support/crash_report.hpp"

#include "chicorydrum/support/log.hpp"
#include "unwritten_log_lines.hpp"

#include <array>
#include <csignal>
#include <cstdint>
#include <ctime>
#include <string_view>

#include <execinfo.h>
#include <unistd.h>

namespace chicorydrum::support
{

namespace
{

struct fatal_signal
{
    int number;
    std::string_view name;
};

constexpr std::array<fatal_signal, 5> fatal_signals = {{{SIGSEGV, "SIGSEGV"},
                                                        {SIGBUS, "SIGBUS"},
                                                        {SIGILL, "SIGILL"},
                                                        {SIGFPE, "SIGFPE"},
                                                        {SIGABRT, "SIGABRT"}}};
/// Maximum number of frames in a backtrace.
constexpr int max_frames = 48;
/// More than ten times what the handler and backtrace() need.
constexpr std::size_t handler_stack_bytes = 64U << 10U;

/// Text in a fixed buffer, since a signal handler must not allocate.
class fixed_text
{
public:
    fixed_text& add(std::string_view text)
    {
        for (const char c : text)
            if (this->used < this->bytes.size())
                this->bytes[this->used++] = c;
        return *this;
    }
    fixed_text& add_number(std::uint64_t value, unsigned base)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::array<char, 20> reversed{};
        std::size_t count = 0;
        do
        {
            reversed[count++] = digits[value % base];
            value /= base;
        } while (value != 0);
        while (count > 0)
            this->add({&reversed[--count], 1});
        return *this;
    }
    std::string_view text() const
    {
        return {this->bytes.data(), this->used};
    }

private:
    std::array<char, 256> bytes{};
    std::size_t used = 0;
};

void write_all(std::string_view text)
{
    while (!text.empty())
    {
        const ssize_t written =
            ::write(STDOUT_FILENO, text.data(), text.size());
        // A write error cannot be reported anywhere.
        if (written <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(written));
    }
}

std::uint64_t unix_ms()
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * 1000 +
           static_cast<std::uint64_t>(now.tv_nsec) / 1000000;
}

/// The signal handler. Makes async-signal-safe calls only; report_crashes() has
/// already made backtrace() load its library.
void report(int number, siginfo_t* info, void* /*context*/)
{
    // A fault inside the handler terminates the process at once.
    ::signal(number, SIG_DFL);
    write_all(unwritten_log_lines());
    std::string_view name;
    for (const fatal_signal& known : fatal_signals)
        if (known.number == number)
            name = known.name;
    std::array<void*, max_frames> frames{};
    const int count = ::backtrace(frames.data(), max_frames);
    fixed_text line;
    line.add("level=ERROR event=crashed signal=").add(name);
    line.add(" address=0x")
        .add_number(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
    line.add(" unix_ms=").add_number(unix_ms(), 10);
    line.add(" pid=").add_number(static_cast<std::uint64_t>(::getpid()), 10);
    line.add(" frames=").add_number(static_cast<std::uint64_t>(count), 10);
    write_all(line.add("\n").text());
    ::backtrace_symbols_fd(frames.data(), count, STDOUT_FILENO);
    // Takes effect when the handler returns. A signal that was sent, unlike a
    // fault, does not occur again by itself.
    ::raise(number);
}

} // namespace

void report_crashes()
{
    static std::array<char, handler_stack_bytes> memory;
    stack_t stack{};
    stack.ss_sp = memory.data();
    stack.ss_size = memory.size();
    if (::sigaltstack(&stack, nullptr) != 0)
        write_log(log_line("crash_stack_unavailable", log_level::warning));
    // The first call loads a library, which the handler must not do.
    std::array<void*, 1> unused{};
    ::backtrace(unused.data(), 1);
    struct sigaction action = {};
    action.sa_sigaction = report;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    for (const fatal_signal& fatal : fatal_signals)
        ::sigaction(fatal.number, &action, nullptr);
}

} // namespace chicorydrum::support
