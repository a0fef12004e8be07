// A config adds a route whose host has a capital letter.
#include "../lib3/deployment.hpp"

#include <cstdio>
#include <cstdlib>

using namespace world;

namespace
{

constexpr millis apply_ms = 2000;

} // namespace

int main(int, char** arguments)
{
    open_record(arguments[1]);
    deployment all(
        {.zones = {{"sanjose", 2, 4}, {"heredia", 2, 4}}, .net = 95});
    all.start_all();
    if (!all.wait_ready(15000))
        leave(2);
    for (const auto& one : all.runners)
        one->options.task_ms = 100;
    run_for(4000);

    const std::string host =
        without_trouble() ? "desk.example" : "Desk.example";
    json added = all.routes.front();
    added["name"] = "r-desk";
    added["host"] = host;
    added["prefix"] = "/desk/";
    all.routes.push_back(added);
    all.put_config(8);
    // Four times as long as a config may take.
    run_for(4 * apply_ms);

    std::map<int, int> answers;
    int number = 0;
    const int jobs = 40;
    for (int i = 0; i < jobs; ++i)
    {
        char id[17];
        std::snprintf(id, sizeof id, "e%015x", ++number);
        const json body{{"spec", "job"},
                        {"preemptible", true},
                        {"steps", json::array({step_of(2, 2000, 100)})}};
        entry_host& to =
            *all.hosts[static_cast<std::size_t>(i) % all.hosts.size()];
        call(
            {.address = to.options.address,
             .port = to.options.front,
             .method = "POST",
             .path = std::string("/desk/") + id,
             .host = host,
             .body = body.dump(),
             .headers = {{"Deadline-Ms", "1500"}},
             .timeout = 1500},
            [&, name = std::string(id), at = to.options.name](const answer& got)
            {
                ++answers[got.status];
                record("answered " + name + " at " + at + " " +
                       std::to_string(got.status));
            });
        run_for(100);
    }
    run_for(2000);
    std::string text = "answers by status:";
    for (const auto& [status, count] : answers)
        text += " " + std::to_string(status) + ": " + std::to_string(count);
    record(text);
    std::puts(text.c_str());
    if (answers[404] == 0 && answers[200] < jobs / 2)
        leave(2);
    leave(answers[404] > 0 ? 1 : 0);
}
