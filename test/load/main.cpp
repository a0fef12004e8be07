/// \file
/// Measures real processes on loopback: latency overhead, claim cost, CPU time
/// and bytes. Prints `name value unit target verdict` lines.
#include "process/process_fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace
{

using namespace chicorydrum::process_test;
using chicorydrum::transport::http_method;

constexpr int warm_up_calls = 200;
constexpr int sequential_calls = 1500;
constexpr int concurrent_calls = 6000;
constexpr int concurrency = 16;

/// Returns the CPU time of a process in seconds, from nanosecond counters: the
/// kernel's sampled times are too coarse for a process that is mostly idle.
double cpu_seconds(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/schedstat");
    double nanoseconds = 0;
    file >> nanoseconds;
    return nanoseconds / 1e9;
}

double resident_megabytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double pages = 0;
    file >> pages >> pages;
    return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double metric(process_fleet& fleet, int host, const std::string& name)
{
    const call_ptr scraped = fleet.get(fleet.http_port(host), "/metrics");
    std::istringstream lines((*scraped->outcome)->body);
    std::string line;
    while (std::getline(lines, line))
        if (line.starts_with(name + " "))
            return std::stod(line.substr(name.size() + 1));
    return 0;
}

struct latency
{
    double p50_ms = 0;
    double p99_ms = 0;
};

/// Returns the latencies of \p count sequential calls.
latency measure_sequential(process_fleet& fleet, int count,
                           const std::function<call_ptr(int)>& start)
{
    std::vector<double> latencies_ms;
    for (int i = 0; i < count; ++i)
    {
        const auto began = std::chrono::steady_clock::now();
        const call_ptr done = fleet.wait_for_answer(start(i));
        if (done->status() != 200)
            std::printf("# a call failed: %s\n", done->body().dump().c_str());
        latencies_ms.push_back(std::chrono::duration<double, std::milli>(
                                   std::chrono::steady_clock::now() - began)
                                   .count());
    }
    std::sort(latencies_ms.begin(), latencies_ms.end());
    const auto at = [&latencies_ms](double part)
    {
        return latencies_ms[static_cast<std::size_t>(
            part * static_cast<double>(latencies_ms.size() - 1))];
    };
    return {.p50_ms = at(0.5), .p99_ms = at(0.99)};
}

void print(const std::string& name, double value, const std::string& unit)
{
    std::printf("%-44s %12.3f %-10s %10s reported\n", name.c_str(), value,
                unit.c_str(), "-");
}

void print(const std::string& name, double value, const std::string& unit,
           double target, bool is_met)
{
    std::printf("%-44s %12.3f %-10s %10.3f %s\n", name.c_str(), value,
                unit.c_str(), target, is_met ? "met" : "MISSED");
}

std::string one_task(const std::string& kind)
{
    return job_body(kind, 1, "sleep=0");
}

void measure_latencies(process_fleet& fleet)
{
    const std::string body = R"({"team":"desk","payload":"sleep=0"})";
    const int port = fleet.http_port(0);
    const auto request = [&](int)
    {
        return fleet.start(port, http_method::post, "/v1/requests/quote", body);
    };
    const auto direct = [&](int i)
    {
        return fleet.start(fleet.endpoint_port(0), http_method::post, "/run",
                           R"({"attempt":"direct.)" + std::to_string(i) +
                               R"(","kind":"quote","payload":"sleep=0"})");
    };
    const std::string home = fleet.new_id(0, "");
    const auto job = [&](const std::string& kind, const std::string& prefix)
    {
        return [&fleet, home, kind, prefix](int i)
        {
            return fleet.put_job(0, home + prefix + std::to_string(i),
                                 one_task(kind));
        };
    };
    const auto bare = [&fleet](int i)
    {
        return fleet.put_job(0, "bare" + std::to_string(i), one_task("tag"));
    };
    measure_sequential(fleet, warm_up_calls, request);
    const latency to_endpoint =
        measure_sequential(fleet, sequential_calls, direct);
    const latency through =
        measure_sequential(fleet, sequential_calls, request);
    const latency unclaimed =
        measure_sequential(fleet, sequential_calls, job("quote", "q"));
    const latency claimed =
        measure_sequential(fleet, sequential_calls, job("tag", "t"));
    // Stays within the limit of store writes per second.
    constexpr int bare_calls = 40;
    const latency stored = measure_sequential(fleet, bare_calls, bare);
    print("direct.p50", to_endpoint.p50_ms, "ms");
    print("direct.p99", to_endpoint.p99_ms, "ms");
    const double own50 = through.p50_ms - to_endpoint.p50_ms;
    const double own99 = through.p99_ms - to_endpoint.p99_ms;
    print("own_overhead.p50", own50, "ms", 0.2, own50 <= 0.2);
    print("own_overhead.p99", own99, "ms", 1, own99 <= 1);
    const double claim = claimed.p50_ms - unclaimed.p50_ms;
    const double store = stored.p50_ms - unclaimed.p50_ms;
    print("claim_cost.p50", claim, "ms", 0.5, claim <= 0.5);
    print("store_claim_cost.p50_without_disk", store, "ms");
}

void measure_throughput(process_fleet& fleet)
{
    const std::string body = R"({"team":"desk","payload":"sleep=0"})";
    const pid_t process = fleet.host(0).id();
    const double cpu_before = cpu_seconds(process);
    const auto began = std::chrono::steady_clock::now();
    std::vector<call_ptr> open;
    int started = 0;
    while (started < concurrent_calls || !open.empty())
    {
        std::erase_if(open, [](const call_ptr& one) { return one->is_done(); });
        while (started < concurrent_calls && open.size() < concurrency)
        {
            open.push_back(fleet.start(fleet.http_port(0), http_method::post,
                                       "/v1/requests/quote", body));
            ++started;
        }
        if (!open.empty())
            fleet.wait_for_answer(open.front());
    }
    const double wall =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - began)
            .count();
    const double cpu = cpu_seconds(process) - cpu_before;
    print("requests.rate", concurrent_calls / wall, "1/s");
    print("requests.cpu_per_request", cpu / concurrent_calls * 1e6, "us");
    const double per_core = concurrent_calls / cpu;
    print("requests.starts_per_core_second", per_core, "1/s", 10000,
          per_core >= 10000);
}

void measure_jobs(process_fleet& fleet)
{
    constexpr int jobs = 10;
    constexpr int tasks = 630;
    double cpu_before = 0;
    double bytes_before = 0;
    const auto totals = [&fleet](double& cpu, double& bytes)
    {
        cpu = 0;
        bytes = 0;
        for (int host = 0; host < process_fleet::host_count; ++host)
        {
            cpu += cpu_seconds(fleet.host(host).id());
            bytes += metric(fleet, host, "chicorydrum_peer_sent_bytes_total");
        }
    };
    totals(cpu_before, bytes_before);
    for (int i = 0; i < jobs; ++i)
        fleet.wait_for_answer(
            fleet.put_job(0, fleet.new_id(0, "big" + std::to_string(i)),
                          job_body("tag", tasks, "sleep=1")));
    double cpu = 0;
    double bytes = 0;
    totals(cpu, bytes);
    print("jobs.cpu_per_task_all_hosts",
          (cpu - cpu_before) / (jobs * tasks) * 1e6, "us");
    print("jobs.peer_bytes_per_task", (bytes - bytes_before) / (jobs * tasks),
          "bytes");
    const double kept = metric(fleet, 0, "chicorydrum_kept_answer_bytes");
    print("memory.kept_answer_bytes", kept, "bytes");
    print("memory.resident_after_load", resident_megabytes(fleet.host(0).id()),
          "MB");
}

void measure_idle(process_fleet& fleet)
{
    constexpr double span_seconds = 5;
    const auto wait = [&fleet](double seconds)
    {
        const auto until = std::chrono::steady_clock::now() +
                           std::chrono::duration<double>(seconds);
        fleet.wait_for([until]
                       { return std::chrono::steady_clock::now() >= until; });
    };
    const pid_t process = fleet.host(0).id();
    const double cpu_before = cpu_seconds(process);
    const double sent_before =
        metric(fleet, 0, "chicorydrum_peer_sent_bytes_total");
    wait(span_seconds);
    const double cpu = cpu_seconds(process) - cpu_before;
    const double sent =
        metric(fleet, 0, "chicorydrum_peer_sent_bytes_total") - sent_before;
    print("idle.cpu_of_a_core", cpu / span_seconds * 100, "percent", 1.6,
          cpu / span_seconds * 100 <= 1.6);
    print("idle.peer_bytes_per_peer_second",
          sent / span_seconds / (process_fleet::host_count - 1), "bytes/s");
    print("memory.resident_idle", resident_megabytes(process), "MB");
}

} // namespace

int main()
{
    process_fleet fleet;
    std::printf("%-44s %12s %-10s %10s %s\n", "# name", "value", "unit",
                "target", "verdict");
    measure_idle(fleet);
    measure_latencies(fleet);
    measure_throughput(fleet);
    measure_jobs(fleet);
    return 0;
}
