/// \file
/// Runs one scenario file and compares its decision log with a golden file.
#include "scenario.hpp"

#include "chicorydrum/support/yaml_reader.hpp"

#include <fstream>
#include <iostream>

#include <docopt/docopt.h>

namespace
{

constexpr const char* usage = R"(Runs a scenario in virtual time.

Usage: run_scenario FILE [--golden GOLDEN [--update]] [--log]

Options:
  --golden GOLDEN  The decision log that must come out.
  --update         Write the golden file instead of comparing.
  --log            Print the decision log.
)";

constexpr std::size_t max_file_bytes = 64U << 20U;

std::string join(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + "\n";
    return text;
}

/// Prints the first line that differs.
void report_difference(const std::string& expected, const std::string& actual)
{
    std::istringstream expected_lines(expected);
    std::istringstream actual_lines(actual);
    std::string wanted;
    std::string got;
    for (int line = 1;; ++line)
    {
        const bool has_wanted =
            static_cast<bool>(std::getline(expected_lines, wanted));
        const bool has_got = static_cast<bool>(std::getline(actual_lines, got));
        if (!has_wanted && !has_got)
            return;
        if (has_wanted == has_got && wanted == got)
            continue;
        std::cout << "golden line " << line << " differs\n- "
                  << (has_wanted ? wanted : "(end)") << "\n+ "
                  << (has_got ? got : "(end)") << "\n";
        return;
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto text = chicorydrum::support::read_file(
        arguments.at("FILE").asString(), max_file_bytes);
    if (!text)
    {
        std::cout << text.error().detail << "\n";
        return 2;
    }
    const auto result = chicorydrum::fleet::run_scenario(*text);
    const std::string log = join(result.log);
    if (arguments.at("--log").asBool())
        std::cout << log;
    for (const std::string& problem : result.problems)
        std::cout << problem << "\n";
    int exit_code = result.problems.empty() ? 0 : 1;
    if (!arguments.at("--golden").isString())
        return exit_code;
    const std::string golden = arguments.at("--golden").asString();
    if (arguments.at("--update").asBool())
    {
        std::ofstream(golden, std::ios::binary) << log;
        return exit_code;
    }
    const auto expected =
        chicorydrum::support::read_file(golden, max_file_bytes);
    if (!expected || *expected != log)
    {
        report_difference(expected.value_or(""), log);
        exit_code = 1;
    }
    return exit_code;
}
