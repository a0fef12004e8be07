/// \file
/// Random sessions from seeds, with all kinds of faults; the checker verifies
/// each run.
#include "fleet.hpp"
#include "scenario.hpp"

#include <iostream>
#include <random>

#include <docopt/docopt.h>

namespace
{

using namespace chicorydrum;
using namespace chicorydrum::fleet;
using support::milliseconds;

constexpr const char* usage = R"(Random sessions with faults, in virtual time.

Usage: soak [--seeds RANGE] [--verbose]

Options:
  --seeds RANGE  Seeds as FIRST..LAST [default: 1..200].
  --verbose      Print the decision log of each failing seed.
)";

constexpr int domains = 3;
constexpr int hosts_per_domain = 2;
constexpr int endpoints_per_domain = 3;
constexpr milliseconds start_of_load{1500};
constexpr milliseconds end_of_load{12000};
constexpr milliseconds end_of_run{45000};

/// One random session: callers that resubmit, and faults.
class session
{
public:
    explicit session(std::uint64_t seed);

    std::vector<std::string> run();
    const std::vector<std::string>& log() const
    {
        return this->lines;
    }

private:
    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }
    milliseconds pick_time(milliseconds from, milliseconds to)
    {
        return milliseconds(from.count() +
                            this->pick(static_cast<int>((to - from).count())));
    }
    std::string pick_host()
    {
        return this->hosts[static_cast<std::size_t>(
            this->pick(static_cast<int>(this->hosts.size())))];
    }
    std::string pick_endpoint()
    {
        return this->endpoints[static_cast<std::size_t>(
            this->pick(static_cast<int>(this->endpoints.size())))];
    }

    void plan_load();
    void submit_one(int number);
    void call_ended(std::size_t call);
    void plan_faults();
    void inject_fault();
    void at(milliseconds when, std::function<void()> hook)
    {
        this->simulated_fleet.events().at(support::instant(when),
                                          std::move(hook));
    }

    std::mt19937_64 random;
    std::vector<std::string> hosts;
    std::vector<std::string> endpoints;
    std::vector<std::string> lines;
    int next_bundle = 2;
    class fleet simulated_fleet;
};

session::session(std::uint64_t seed)
    : random(seed),
      simulated_fleet(
          {.seed = seed, .adjust = {}},
          {.log =
               [this](const std::string& host, const std::string& line)
           {
               this->lines.push_back(
                   std::to_string(
                       this->simulated_fleet.now().time_since_epoch().count()) +
                   " " + host + " " + line);
           },
           .call_ended =
               [this](std::size_t call)
           {
               this->call_ended(call);
           }})
{
    this->simulated_fleet.platform().preset_bundle(scenario_bundle);
    for (int d = 0; d < domains; ++d)
    {
        const std::string domain(1, static_cast<char>('a' + d));
        for (int i = 0; i < hosts_per_domain; ++i)
        {
            this->hosts.push_back(domain + std::to_string(i));
            this->simulated_fleet.add_host(this->hosts.back(), domain);
        }
        for (int i = 0; i < endpoints_per_domain; ++i)
        {
            this->endpoints.push_back("e" + domain + std::to_string(i));
            this->simulated_fleet.add_endpoint({.name = this->endpoints.back(),
                                                .domain = domain,
                                                .slots = 4,
                                                .connections = 64,
                                                .millicores = 16000,
                                                .memory_mb = 65536},
                                               1 + this->pick(4));
        }
    }
    this->plan_load();
    this->plan_faults();
}

void session::plan_load()
{
    const int submissions = 30 + this->pick(40);
    for (int i = 0; i < submissions; ++i)
        this->at(this->pick_time(start_of_load, end_of_load),
                 [this, i] { this->submit_one(i); });
}

void session::submit_one(int number)
{
    static const std::vector<std::string> kinds = {"quote", "lookup", "tag",
                                                   "filing"};
    const std::string name = "s" + std::to_string(number);
    submission_entry entry;
    entry.work.kind = kinds[static_cast<std::size_t>(this->pick(4))];
    entry.work.team = "desk";
    entry.work.deadline_ms = 1000 + this->pick(9000);
    const int tasks =
        this->pick(4) == 0 ? 1 + this->pick(40) : 1 + this->pick(4);
    for (int i = 0; i < tasks; ++i)
    {
        entry.work.tasks.emplace_back();
        entry.run_times.emplace_back(
            milliseconds(this->pick(20) == 0 ? 3000 : 30 + this->pick(600)));
    }
    const bool may_be_anonymous = tasks == 1 && (entry.work.kind == "quote" ||
                                                 entry.work.kind == "lookup");
    entry.has_id = !may_be_anonymous || this->pick(2) == 0;
    const std::string via = this->pick_host();
    const std::string owner = this->pick(3) == 0 ? this->pick_host() : via;
    if (entry.has_id && this->pick(6) == 0)
        entry.work.id = name;
    else if (entry.has_id)
    {
        if (this->simulated_fleet.dispatcher(owner) == nullptr)
            return;
        entry.work.id = this->simulated_fleet.id_at(owner, name);
    }
    this->simulated_fleet.define(name, entry);
    this->simulated_fleet.submit(name, via);
    if (!entry.has_id)
        return;
    // Some are sent a second time, at once or while the first copy runs.
    if (this->pick(4) == 0)
        this->simulated_fleet.events().after(
            milliseconds(this->pick(1500)), [this, name]
            { this->simulated_fleet.submit(name, this->pick_host()); });
    if (this->pick(12) == 0)
        this->simulated_fleet.events().after(
            milliseconds(this->pick(800)), [this, name]
            { this->simulated_fleet.query(name, this->pick_host(), true); });
}

void session::call_ended(std::size_t call)
{
    const call_record& ended = this->simulated_fleet.records().calls[call];
    const submission_entry& entry =
        this->simulated_fleet.records().submissions.at(ended.name);
    // A caller that lost its connection or got "undetermined" sends the same
    // id again through another host.
    const bool has_unknown_outcome =
        ended.is_lost ||
        ended.answer.error == support::error_kind::undetermined;
    if (!entry.has_id || !ended.is_submission || !has_unknown_outcome ||
        this->simulated_fleet.now() > support::instant(end_of_load))
        return;
    this->simulated_fleet.events().after(
        milliseconds(50 + this->pick(500)), [this, name = ended.name]
        { this->simulated_fleet.submit(name, this->pick_host()); });
}

void session::plan_faults()
{
    const int faults = 1 + this->pick(10);
    for (int i = 0; i < faults; ++i)
        this->at(this->pick_time(milliseconds(1000), end_of_load),
                 [this] { this->inject_fault(); });
}

void session::inject_fault()
{
    const std::string host = this->pick_host();
    const std::string other = this->pick_host();
    const std::string endpoint = this->pick_endpoint();
    const milliseconds length(50 + this->pick(5000));
    class fleet& simulated = this->simulated_fleet;
    event_queue& events = simulated.events();
    switch (this->pick(14))
    {
    case 0:
    case 1:
        simulated.kill(host);
        events.after(length, [&simulated, host] { simulated.restart(host); });
        break;
    case 2:
    case 3:
        simulated.pause(host);
        events.after(length, [&simulated, host] { simulated.resume(host); });
        break;
    case 4:
        if (host != other)
            simulated.cut(host, other);
        events.after(length, [&simulated] { simulated.heal(); });
        break;
    case 5:
        for (const std::string& local : this->hosts)
            for (const std::string& remote : this->hosts)
                if (local[0] == host[0] && remote[0] != host[0])
                    simulated.cut(local, remote);
        simulated.platform().cut_off.insert(host);
        events.after(length, [&simulated] { simulated.heal(); });
        break;
    case 6:
        simulated.platform().mode = platform_mode::down;
        events.after(length, [&simulated]
                     { simulated.platform().mode = platform_mode::up; });
        break;
    case 7:
        simulated.platform().mode = this->pick(2) == 0
                                        ? platform_mode::slow
                                        : platform_mode::lose_answers;
        events.after(length, [&simulated]
                     { simulated.platform().mode = platform_mode::up; });
        break;
    case 8:
        simulated.endpoint(endpoint).mode =
            static_cast<endpoint_mode>(1 + this->pick(4));
        events.after(length,
                     [&simulated, endpoint] {
                         simulated.endpoint(endpoint).mode = endpoint_mode::ok;
                     });
        break;
    case 9:
        simulated.set_leaving(endpoint);
        break;
    case 10:
        simulated.remove_from_list(endpoint);
        break;
    case 11:
        simulated.endpoint(endpoint).slowness = 30;
        break;
    case 12:
        if (simulated.is_alive(host))
            simulated.stop(host);
        events.after(milliseconds(15000) + length,
                     [&simulated, host] { simulated.restart(host); });
        break;
    default:
        for (const std::string& operator_host : {host, other})
            if (simulated.is_alive(operator_host))
                simulated.roll(
                    operator_host,
                    std::string(scenario_bundle) + "# " +
                        std::to_string(this->next_bundle++) + "\n",
                    [](const support::result<decision::bundle_step>&) {});
        break;
    }
}

std::vector<std::string> session::run()
{
    this->simulated_fleet.run_until(support::instant(end_of_run));
    return find_violations(this->simulated_fleet.records(),
                           this->simulated_fleet.now());
}

struct seed_range
{
    std::uint64_t first = 1;
    std::uint64_t last = 1;
};

seed_range parse_range(const std::string& text)
{
    const std::size_t dots = text.find("..");
    if (dots == std::string::npos)
        return {std::stoull(text), std::stoull(text)};
    return {std::stoull(text.substr(0, dots)),
            std::stoull(text.substr(dots + 2))};
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const seed_range seeds = parse_range(arguments.at("--seeds").asString());
    int violations = 0;
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed)
    {
        session one(seed);
        const std::vector<std::string> found = one.run();
        for (const std::string& line : found)
            std::cout << "seed " << seed << ": " << line << "\n";
        violations += static_cast<int>(found.size());
        if (!found.empty() && arguments.at("--verbose").asBool())
            for (const std::string& line : one.log())
                std::cout << line << "\n";
    }
    std::cout << "seeds=" << seeds.last - seeds.first + 1
              << " violations=" << violations << "\n";
    return violations == 0 ? 0 : 1;
}
