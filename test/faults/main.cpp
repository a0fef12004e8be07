/// \file
/// Soak test: seeded sessions of real entry hosts under injected faults.
#include "fault_session.hpp"

#include <iostream>

#include <docopt/docopt.h>

namespace
{

constexpr const char* usage = R"(Real entry hosts under faults, on loopback.

Usage: fault_soak [--seeds RANGE] [--odd-entries] [--installation]

Options:
  --seeds RANGE   Seeds as FIRST..LAST [default: 1..3].
  --odd-entries   Instead of faults, another writer leaves odd rows in the
                  store.
  --installation  Four domains whose hosts all start anew or stand still, while
                  the store is in trouble and endpoints leave.
)";

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const std::string range = arguments.at("--seeds").asString();
    const std::size_t dots = range.find("..");
    if (dots == std::string::npos)
    {
        std::cerr << usage;
        return 2;
    }
    const std::uint64_t first = std::stoull(range.substr(0, dots));
    const std::uint64_t last = std::stoull(range.substr(dots + 2));
    std::uint64_t failing = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed)
    {
        using namespace chicorydrum::faults;
        const bool is_installation = arguments.at("--installation").asBool();
        fault_session session(seed, is_installation ? installation_shape()
                                                    : session_shape());
        const std::vector<std::string> violations =
            is_installation ? session.run_installation()
            : arguments.at("--odd-entries").asBool() ? session.run_odd_entries()
                                                     : session.run_session();
        if (violations.empty())
            continue;
        ++failing;
        std::cout << "seed " << seed << " logs " << session.directory() << "\n";
        for (const std::string& line : violations)
            std::cout << "  " << line << "\n";
    }
    std::cout << "seeds=" << last - first + 1 << " violations=" << failing
              << "\n";
    return failing == 0 ? 0 : 1;
}
