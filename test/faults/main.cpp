/// \file
/// Soak test: seeded sessions of real entry hosts under injected faults.
#include "fault_session.hpp"

#include <iostream>
#include <memory>
#include <stdexcept>

#include <docopt/docopt.h>

namespace
{

constexpr const char* usage = R"(Real entry hosts under faults, on loopback.

Usage: fault_soak [--seeds RANGE] [--odd-entries] [--installation] [--power]
                  [--whole] [--configs] [--successors]

Options:
  --seeds RANGE   Seeds as FIRST..LAST [default: 1..3].
  --odd-entries   Instead of faults, another writer leaves odd rows in the
                  store.
  --installation  Four domains whose hosts all start anew or stand still, while
                  the store is in trouble and endpoints leave.
  --power         Two domains whose hosts of different powers lose their power,
                  stall and are cut off, while endpoints restart or are late.
  --whole         Four domains of seven unequal hosts that are restarted and
                  lost, while endpoints come and go and the store is in trouble.
  --configs       The same installation on links of 19 Mbit/s, with a
                  configuration of 1,400 routes that changes in series.
  --successors    One domain with long tasks, whose hosts are restarted in turn
                  while their reads differ and entries lapse.
)";

/// Tries other ports if another program has just taken some.
std::unique_ptr<chicorydrum::faults::fault_session>
open_session(std::uint64_t seed,
             const chicorydrum::faults::session_shape& shape)
{
    constexpr int max_tries = 5;
    for (int tries = 1;; ++tries)
    {
        try
        {
            return std::make_unique<chicorydrum::faults::fault_session>(seed,
                                                                        shape);
        }
        catch (const std::runtime_error&)
        {
            if (tries == max_tries)
                throw;
        }
    }
}

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
        const bool is_power = arguments.at("--power").asBool();
        const bool is_whole = arguments.at("--whole").asBool();
        const bool is_configs = arguments.at("--configs").asBool();
        const bool is_successors = arguments.at("--successors").asBool();
        const auto opened =
            open_session(seed, is_installation ? installation_shape()
                               : is_power      ? power_shape()
                               : is_whole      ? whole_shape()
                               : is_configs    ? config_shape()
                               : is_successors ? successor_shape()
                                               : session_shape());
        fault_session& session = *opened;
        const std::vector<std::string> violations =
            is_installation ? session.run_installation()
            : is_power      ? session.run_power()
            : is_whole      ? session.run_whole()
            : is_configs    ? session.run_configs()
            : is_successors ? session.run_successors()
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
