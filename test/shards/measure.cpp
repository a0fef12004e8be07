/// \file
/// Runs load simulations in virtual time and prints the credit they earned.
#include "load_simulation.hpp"

#include <cstdio>
#include <iostream>

#include <docopt/docopt.h>

namespace
{

using namespace chicorydrum::shards;
using chicorydrum::support::milliseconds;

constexpr const char* usage =
    R"(Load days of entry hosts in virtual time, and the credit that they earn.

Usage: shard_measure [--load NAME] [--seeds RANGE] [--burst ROUTE]
                     [--factor F] [--rate F] [--racks F] [--hot F]
                     [--fault FAULT] [--swing F] [--windows]

Options:
  --load NAME    small: tasks that need less than half of an endpoint; wide:
                 tasks that need about half of one [default: small].
  --seeds RANGE  Seeds as FIRST..LAST [default: 1..3].
  --burst ROUTE  Kind that floods from second 6 to 12, all or none
                 [default: check].
  --factor F     How many times its rate [default: 2.4].
  --rate F       Factor of all rates at all times [default: 1].
  --racks F      Share of the jobs whose data are on one of a domain's two
                 racks [default: 0].
  --hot F        Share of these whose data are on rack-1 [default: 0.5].
  --fault FAULT  At second 8: owners (killed), domain (lost), rolling
                 (restart) or none [default: none].
  --swing F      Share by which each domain's rate swings [default: 0].
  --windows      Print the credit of each second of all seeds.
)";

void print_row(const std::string& name, const credit& group)
{
    std::printf("%-14s jobs=%-6d share=%.3f in_time=%.3f late=%.3f "
                "refused=%.3f answer_ms=%.0f\n",
                name.c_str(), group.jobs, group.share(),
                static_cast<double>(group.in_time) / group.jobs,
                static_cast<double>(group.late) / group.jobs,
                static_cast<double>(group.refused) / group.jobs,
                group.mean_answer_ms());
}

void add(credit& to, const credit& from)
{
    to.attainable += from.attainable;
    to.earned += from.earned;
    to.jobs += from.jobs;
    to.in_time += from.in_time;
    to.late += from.late;
    to.refused += from.refused;
    to.answer_ms += from.answer_ms;
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const std::string range = arguments.at("--seeds").asString();
    const std::size_t dots = range.find("..");
    if (dots == std::string::npos)
    {
        std::cerr << usage;
        return 2;
    }
    const std::uint64_t first = std::stoull(range.substr(0, dots));
    const std::uint64_t last = std::stoull(range.substr(dots + 2));
    const std::string burst = arguments.at("--burst").asString();
    const double factor = std::stod(arguments.at("--factor").asString());
    const double rate = std::stod(arguments.at("--rate").asString());
    const std::string name = arguments.at("--load").asString();
    const std::map<std::string, load_fault> faults = {
        {"none", load_fault::none},
        {"owners", load_fault::owners_killed},
        {"domain", load_fault::domain_lost},
        {"rolling", load_fault::rolling_restart}};
    const load_fault fault = faults.at(arguments.at("--fault").asString());
    const double swing = std::stod(arguments.at("--swing").asString());
    load_result sum;
    double worst = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed)
    {
        load_options options = name == "wide" ? wide_task_load(seed)
                                              : small_installation_load(seed);
        options.rack_share = std::stod(arguments.at("--racks").asString());
        options.hot_rack_part = std::stod(arguments.at("--hot").asString());
        options.fault = fault;
        options.swing = swing;
        for (load_kind& kind : options.kinds)
        {
            kind.per_second *= rate;
            if (burst == kind.route || burst == "all")
                options.bursts.push_back({.route = kind.route,
                                          .from = milliseconds(6000),
                                          .length = milliseconds(6000),
                                          .factor = factor});
        }
        const load_result result = simulate_load(options);
        add(sum.total, result.total);
        for (const auto& [key, group] : result.by_kind)
            add(sum.by_kind[key], group);
        for (const auto& [key, group] : result.by_size)
            add(sum.by_size[key], group);
        for (const auto& [key, group] : result.by_width)
            add(sum.by_width[key], group);
        for (const auto& [key, group] : result.by_domain)
            add(sum.by_domain[key], group);
        for (const auto& [key, group] : result.by_place)
            add(sum.by_place[key], group);
        for (const auto& [second, group] : result.by_second)
            add(sum.by_second[second], group);
        worst += result.worst_window_share();
        for (const std::string& line : result.violations)
            std::cout << "violation " << line << "\n";
    }
    if (arguments.at("--windows").asBool())
        for (const auto& [second, group] : sum.by_second)
            print_row("second " + std::to_string(second), group);
    for (const auto* const groups : {&sum.by_kind, &sum.by_size, &sum.by_width,
                                     &sum.by_domain, &sum.by_place})
        for (const auto& [key, group] : *groups)
            print_row(key, group);
    print_row("all", sum.total);
    std::printf("worst_windows=%.3f\n",
                worst / static_cast<double>(last - first + 1));
    return sum.violations.empty() ? 0 : 1;
}
