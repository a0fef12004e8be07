// A worker carries out one acknowledgement of an end late, and the process that
// gave its last order is killed.
#include "../lib3/deployment.hpp"

#include <cstdio>
#include <cstdlib>

using namespace world;

namespace
{

// The limits that the pages set for `applied_late`.
constexpr millis window = 5500;
constexpr double largest_share = 0.055;
constexpr millis late_by = 2500; // 2 to 12 s
constexpr millis resend = 1300;
// From the order to the kill.
constexpr millis kill_after = 80;

} // namespace

int main(int, char** arguments)
{
    open_record(arguments[1]);
    deployment all(
        {.zones = {{"sanjose", 3, 4}, {"heredia", 2, 4}}, .net = 92});
    // The strongest host of a zone owns its workers.
    entry_host& owner = all.host_of("front-sanjose-1");
    owner.options.cpu_share = 0.3;
    all.start_all();
    if (!all.wait_ready(15000))
        leave(2);
    run_for(1000);

    // The usual traffic: 60 small jobs a second in both zones.
    const std::string job = "f00000000000000c";
    for (const auto& one : all.runners)
    {
        one->duration = [&one](const task_run& run) -> millis
        {
            if (run.task[0] != 'f')
                return 60;
            if (one->options.zone != "sanjose")
                return 1650;
            // Its first run fails soon, by its own fault. Of the workers'
            // speeds, 0.55 to 1.2, this worker has the lowest.
            return run.run == 1 ? 700 : 3600;
        };
        one->outcome = [&one](const task_run& run)
        {
            const bool fails = run.task[0] == 'f' && run.run == 1 &&
                               one->options.zone == "sanjose";
            return fails ? "failed" : "done";
        };
    }
    all.start_traffic(16);
    run_for(2000);

    // The disruptions.
    const millis from = now();
    int all_orders = 0;
    int late_orders = 0;
    bool has_killed = false;
    for (const auto& one : all.runners)
        one->interfere =
            [&, id = one->options.id](const request& got, const reply&,
                                      std::function<void()> carry_out)
        {
            if (now() > from + window)
                return false;
            ++all_orders;
            const bool is_late =
                !without_trouble() && id == "i-sanjose-4" && !has_killed &&
                got.path == "/v1/hold" &&
                json::parse(got.body).value("ack_cursor", 0) > 0;
            if (!is_late)
                return false;
            ++late_orders;
            record("hold with ack_cursor left unanswered at " + id +
                   ", carried out in " + std::to_string(late_by) + " ms");
            after(late_by, carry_out);
            return true;
        };
    runner& slow = all.runner_of("i-sanjose-4");
    const auto seen_start = slow.on_start;
    slow.on_start = [&, seen_start](const task_run& run)
    {
        seen_start(run);
        if (run.task[0] != 'f' || run.run == 1 || without_trouble())
            return;
        after(kill_after,
              [&]
              {
                  has_killed = true;
                  owner.kill();
                  after(1000, [&] { owner.start(); });
              });
    };

    // A client whose time budget ends before its job does.
    int answers = 0;
    const json steps = json::array({step_of(1, 2000, 900, "b")});
    record("sent " + job + " to front-sanjose-2");
    all.post(all.host_of("front-sanjose-2"), job, steps, 2600,
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
    run_for(4000);

    const double share =
        all_orders > 0 ? static_cast<double>(late_orders) / all_orders : 0;
    char text[200];
    std::snprintf(text, sizeof text,
                  "late orders %d of %d, a share of %.4f; %d small jobs served",
                  late_orders, all_orders, share, all.small_served);
    record(text);
    std::puts(text);
    const bool was_played =
        without_trouble() || (has_killed && late_orders > 0);
    if (share > largest_share || answers < 2 || all.small_served < 200 ||
        !was_played)
        leave(2);
    const auto twice = all.overlaps();
    for (const std::string& one : twice)
    {
        record("TWICE " + one);
        std::printf("TWICE %s\n", one.c_str());
    }
    leave(twice.empty() ? 0 : 1);
}
