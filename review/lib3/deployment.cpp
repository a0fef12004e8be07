#include "deployment.hpp"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace world
{

json step_of(int count, int cpu, millis estimate, const std::string& label)
{
    json step{{"count", count},
              {"cpu", cpu},
              {"mem_mb", 64},
              {"estimate_ms", estimate}};
    if (!label.empty())
        step["requires"] = label;
    return step;
}

deployment::deployment(deployment_options opts) : options(std::move(opts))
{
    const std::string net = "127.0." + std::to_string(this->options.net) + ".";
    this->platform =
        std::make_unique<store>(net + "1", this->options.first_version);
    this->routes = json::array({{{"name", "r-quotes"},
                                 {"host", "counter.example"},
                                 {"prefix", "/quotes/"},
                                 {"kind", "unsafe"},
                                 {"timeout_ms", this->options.route_timeout},
                                 {"slo_ms", 60},
                                 {"priority", 0},
                                 {"service", "desk"},
                                 {"attempts", 4},
                                 {"stretch", 1.6}}});
    this->put_config(7);
    int number = 0;
    for (const zone_plan& zone : this->options.zones)
        for (int i = 0; i < zone.runners; ++i)
        {
            runner_options one;
            one.id = "i-" + zone.name + "-" + std::to_string(i + 1);
            one.service = "desk";
            one.zone = zone.name;
            one.address = net + std::to_string(100 + number++);
            // The last one of each zone is of another kind.
            one.kind = i + 1 == zone.runners ? "b" : "a";
            this->runners.push_back(
                std::make_unique<runner>(one, *this->platform));
            runner* const made = this->runners.back().get();
            made->on_start = [this, id = one.id](const task_run& run)
            {
                this->runs.push_back({run.task, run.run, id, now(), -1, ""});
                if (run.task[0] == 'a')
                {
                    ++this->small_started;
                    return;
                }
                record("run starts " + run.task + " run " +
                       std::to_string(run.run) + " at " + id + " fence " +
                       std::to_string(run.fence));
            };
            made->on_end =
                [this, id = one.id](const task_run& run, const std::string& how)
            {
                for (seen_run& seen : this->runs)
                    if (seen.task == run.task && seen.run == run.run &&
                        seen.runner == id && seen.to < 0)
                    {
                        seen.to = now();
                        seen.how = how;
                    }
                if (run.task[0] == 'a')
                {
                    ++this->small_ended;
                    return;
                }
                record("run ends " + run.task + " run " +
                       std::to_string(run.run) + " at " + id + " " + how);
            };
            made->interfere =
                [this](const request& got, const reply&, std::function<void()>)
            {
                ++this->orders[got.path];
                return false;
            };
        }
    std::vector<std::string> addresses;
    int host_number = 0;
    for (const zone_plan& zone : this->options.zones)
        for (int i = 0; i < zone.hosts; ++i)
            addresses.push_back(net + std::to_string(10 + host_number++));
    const int front = free_port(addresses);
    host_number = 0;
    for (const zone_plan& zone : this->options.zones)
        for (int i = 0; i < zone.hosts; ++i)
        {
            host_options one;
            one.name = "front-" + zone.name + "-" + std::to_string(i + 1);
            one.zone = zone.name;
            one.address = addresses[static_cast<std::size_t>(host_number++)];
            one.front = front;
            one.ready = front + 1;
            one.peer_port = front + 2;
            one.store = this->platform->address();
            this->hosts.push_back(std::make_unique<entry_host>(one, scratch()));
        }
}

void deployment::put_config(int version)
{
    this->platform->put(
        "op", "config",
        {{"version", version},
         {"routes", this->routes},
         {"services", json::array({{{"name", "desk"},
                                    {"health_path", "/health"},
                                    {"max_conns", 64},
                                    {"proto", "h1"},
                                    {"admission_control", false}}})},
         {"limits",
          {{"max_header_bytes", 16384},
           {"max_body_bytes", 262144},
           {"header_ms", 3000},
           {"idle_ms", 15000}}}});
    record("config " + std::to_string(version) + " acknowledged");
}

runner& deployment::runner_of(const std::string& id)
{
    for (const auto& one : this->runners)
        if (one->options.id == id)
            return *one;
    throw std::runtime_error("no runner " + id);
}

entry_host& deployment::host_of(const std::string& name)
{
    for (const auto& one : this->hosts)
        if (one->options.name == name)
            return *one;
    throw std::runtime_error("no host " + name);
}

void deployment::start_all()
{
    for (const auto& one : this->hosts)
        one->start();
}

bool deployment::wait_ready(millis span)
{
    std::size_t ready = 0;
    const millis until = now() + span;
    while (ready < this->hosts.size() && now() < until)
    {
        ready = 0;
        std::size_t answered = 0;
        for (const auto& one : this->hosts)
            call({.address = one->options.address,
                  .port = one->options.ready,
                  .path = "/v1/ready",
                  .timeout = 800},
                 [&ready, &answered](const answer& got)
                 {
                     ++answered;
                     ready += got.status == 200 ? 1 : 0;
                 });
        run_until_true([&] { return answered == this->hosts.size(); }, 1500);
        run_for(100);
    }
    return ready == this->hosts.size();
}

void deployment::post(entry_host& to, const std::string& id, const json& steps,
                      millis deadline, std::function<void(const answer&)> done,
                      const std::string& prefix)
{
    const json body{
        {"spec", "job " + id}, {"preemptible", true}, {"steps", steps}};
    call({.address = to.options.address,
          .port = to.options.front,
          .method = "POST",
          .path = prefix + id,
          .host = "counter.example",
          .body = body.dump(),
          .headers = {{"Deadline-Ms", std::to_string(deadline)}},
          .timeout = deadline},
         std::move(done));
}

void deployment::start_traffic(millis interval)
{
    char id[17];
    std::snprintf(id, sizeof id, "a%015lx", this->small_sent);
    const std::size_t turn =
        static_cast<std::size_t>(this->small_sent++) % this->hosts.size();
    if (turn == 0 && this->small_sent == 1)
        this->record_counts();
    entry_host& to = *this->hosts[turn];
    if (to.is_running())
        this->post(to, id, json::array({step_of(2, 2000, 60, "a")}), 1500,
                   [this](const answer& got)
                   {
                       ++this->small_answered;
                       this->small_served += got.status == 200 ? 1 : 0;
                   });
    after(interval, [this, interval] { this->start_traffic(interval); });
}

void deployment::record_counts()
{
    record("small jobs so far: sent " + std::to_string(this->small_sent) +
           ", answered " + std::to_string(this->small_answered) +
           ", completed " + std::to_string(this->small_served) +
           ", runs started " + std::to_string(this->small_started) +
           ", ended " + std::to_string(this->small_ended));
    after(1000, [this] { this->record_counts(); });
}

std::vector<std::string> deployment::overlaps() const
{
    std::vector<std::string> found;
    for (std::size_t i = 0; i < this->runs.size(); ++i)
        for (std::size_t k = i + 1; k < this->runs.size(); ++k)
        {
            const seen_run& one = this->runs[i];
            const seen_run& other = this->runs[k];
            if (one.task != other.task)
                continue;
            const millis one_end = one.to < 0 ? now() : one.to;
            const millis other_end = other.to < 0 ? now() : other.to;
            const millis from = std::max(one.from, other.from);
            const millis to = std::min(one_end, other_end);
            if (to > from)
                found.push_back(one.task + ": run " + std::to_string(one.run) +
                                " at " + one.runner + " and run " +
                                std::to_string(other.run) + " at " +
                                other.runner + " from " + std::to_string(from) +
                                " to " + std::to_string(to) + ", " +
                                std::to_string(to - from) + " ms");
        }
    return found;
}

} // namespace world
