/// \file
/// Soak test: seeded sessions of real entry hosts under injected faults.
#include "fault_session.hpp"

#include <iostream>

#include <docopt/docopt.h>

namespace
{

constexpr const char* usage = R"(Real entry hosts under faults, on loopback.

Usage: fault_soak [--seeds RANGE] [--odd-entries]

Options:
  --seeds RANGE  Seeds as FIRST..LAST [default: 1..3].
  --odd-entries  Instead of faults, another writer leaves odd rows in the store.
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
        chicorydrum::faults::fault_session session(seed);
        const std::vector<std::string> violations =
            arguments.at("--odd-entries").asBool() ? session.run_odd_entries()
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
