// A worker leaves the stops of one run unanswered and carries them out late.
#include "../lib3/deployment.hpp"

#include <cstdio>
#include <cstdlib>

using namespace world;

namespace
{

// The limits that the pages set for `applied_late`.
constexpr millis window = 5500;
constexpr double largest_share = 0.055;
constexpr millis late_by = 3000; // 2 to 12 s
constexpr millis resend = 1300;

} // namespace

int main(int, char** arguments)
{
    open_record(arguments[1]);
    deployment all(
        {.zones = {{"sanjose", 2, 4}, {"heredia", 2, 4}}, .net = 91});
    all.start_all();
    if (!all.wait_ready(15000))
        leave(2);
    run_for(1000);

    // The usual traffic: 60 small jobs a second in both zones.
    for (const auto& one : all.runners)
        one->duration = [&one](const task_run& run) -> millis
        {
            if (run.task[0] != 'f')
                return 60;
            // Of the workers' speeds, 0.55 to 1.2, this one has the lowest.
            return one->options.zone == "sanjose" ? 4550 : 2080;
        };
    all.start_traffic(16);
    run_for(2000);

    // The disruption.
    const std::string job = "f00000000000000b";
    const millis from = now();
    int all_orders = 0;
    int late_orders = 0;
    for (const auto& one : all.runners)
        one->interfere =
            [&, id = one->options.id](const request& got, const reply&,
                                      std::function<void()> carry_out)
        {
            if (now() > from + window)
                return false;
            ++all_orders;
            const bool is_late = !without_trouble() && id == "i-sanjose-4" &&
                                 got.path == "/v1/run-stop" &&
                                 got.body.find(job) != std::string::npos;
            if (!is_late)
                return false;
            ++late_orders;
            record("stop left unanswered at " + id + ", carried out in " +
                   std::to_string(late_by) + " ms");
            after(late_by, carry_out);
            return true;
        };

    // A client whose time budget ends before its job does.
    int answers = 0;
    const json steps = json::array({step_of(1, 2000, 2500, "b")});
    record("sent " + job + " to front-sanjose-1");
    all.post(all.host_of("front-sanjose-1"), job, steps, 2600,
             [&](const answer& first)
             {
                 ++answers;
                 record("answered " + job + " " + std::to_string(first.status));
                 after(resend,
                       [&]
                       {
                           record("sent again " + job + " to front-heredia-1");
                           all.post(all.host_of("front-heredia-1"), job, steps,
                                    2600,
                                    [&](const answer& second)
                                    {
                                        ++answers;
                                        record("answered " + job + " " +
                                               std::to_string(second.status));
                                    });
                       });
             });
    run_until_true([&] { return answers == 2; }, 12000);
    run_for(5000);

    const double share =
        all_orders > 0 ? static_cast<double>(late_orders) / all_orders : 0;
    char text[200];
    std::snprintf(text, sizeof text,
                  "late orders %d of %d, a share of %.4f; %d small jobs served",
                  late_orders, all_orders, share, all.small_served);
    record(text);
    std::puts(text);
    if (share > largest_share || answers < 2 || all.small_served < 200)
        leave(2);
    const auto twice = all.overlaps();
    for (const std::string& one : twice)
    {
        record("TWICE " + one);
        std::printf("TWICE %s\n", one.c_str());
    }
    leave(twice.empty() ? 0 : 1);
}
