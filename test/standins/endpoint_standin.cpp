/// \file
/// Stand-in for endpoints: each port serves one endpoint with slots, a speed
/// and one of the modes ok, fail_all, silent, lose_answers and refuse. See
/// docs/PLATFORM.md.
#include "standin.hpp"

#include <map>
#include <memory>
#include <vector>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

namespace
{

using namespace chicorydrum;
using nlohmann::json;
using transport::exchange_id;
using transport::http_request;
using transport::http_response;

constexpr const char* usage = R"(Stand-in for endpoints.

Usage: endpoint_standin --port PORT [--count N] [--slots N] [--address IP]

Options:
  --port PORT   Port of the first endpoint; the others follow.
  --count N     Endpoints to serve [default: 1].
  --slots N     Slots of each endpoint [default: 8].
  --address IP  Address to listen on [default: 127.0.0.1].
)";

/// Run time of payloads other than `sleep=MS`.
constexpr int default_run_ms = 20;

int run_ms(const std::string& payload)
{
    const std::string prefix = "sleep=";
    if (!payload.starts_with(prefix))
        return default_run_ms;
    return std::atoi(payload.c_str() + prefix.size());
}

class endpoint_standin
{
public:
    endpoint_standin(transport::event_loop& event_loop,
                     const std::string& address, int port, int slot_count)
        : loop(event_loop), slots(slot_count),
          server(
              {.loop = event_loop,
               .address = address,
               .port = port,
               .on_request = [this](exchange_id id, const http_request& request)
               { this->serve(id, request); },
               .on_abandoned = {},
               .on_rejected =
                   [](transport::rejection)
               {
                   return http_response{.status = 413};
               }})
    {
    }

private:
    void serve(exchange_id id, const http_request& request);
    void control(const std::string& body);
    void run(exchange_id id, const std::string& body);

    transport::event_loop& loop;
    int slots;
    int running = 0;
    int most_running = 0;
    std::string mode = "ok";
    double slowness = 1;
    json starts = json::array();
    // State and result of each attempt, by its id.
    std::map<std::string, json> attempts;
    std::vector<std::unique_ptr<transport::timer>> timers;
    transport::http_server server;
};

void endpoint_standin::serve(exchange_id id, const http_request& request)
{
    if (request.path == "/run")
        this->run(id, request.body);
    else if (request.path == "/starts")
        this->server.respond(id,
                             {.status = 200,
                              .body = json{{"starts", this->starts},
                                           {"most_running", this->most_running}}
                                          .dump()});
    else if (request.path.starts_with("/attempts/"))
    {
        const auto found = this->attempts.find(
            request.path.substr(std::string("/attempts/").size()));
        const bool is_known = found != this->attempts.end();
        this->server.respond(id,
                             {.status = is_known ? 200 : 404,
                              .body = is_known ? found->second.dump() : "{}"});
    }
    else if (request.path == "/control/mode")
    {
        this->control(request.body);
        this->server.respond(id, {.status = 200, .body = "{}"});
    }
    else
        this->server.respond(id, {.status = 404, .body = "{}"});
}

void endpoint_standin::control(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return;
    this->mode = parsed.value("mode", this->mode);
    this->slowness = parsed.value("slowness", this->slowness);
}

void endpoint_standin::run(exchange_id id, const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || this->mode == "refuse")
    {
        this->server.respond(id,
                             {.status = 503,
                              .headers = {{.name = "not-run", .value = "true"}},
                              .body = "{}"});
        return;
    }
    this->starts.push_back(parsed);
    if (this->mode == "silent")
        return;
    if (this->mode == "fail_all")
    {
        this->server.respond(id, {.status = 500, .body = "{}"});
        return;
    }
    this->most_running = std::max(this->most_running, ++this->running);
    const std::string payload = parsed.value("payload", "");
    const std::string attempt = parsed.value("attempt", "");
    this->attempts[attempt] = {{"state", "running"}};
    const json result = {{"attempt", attempt},
                         {"result", "done:" + payload},
                         {"used_millicores", 1000},
                         {"used_memory_mb", 256}};
    auto timer = std::make_unique<transport::timer>(this->loop.make_timer(
        [this, id, attempt, result]
        {
            --this->running;
            this->attempts[attempt] = {{"state", "succeeded"},
                                       {"result", result["result"]}};
            // The answer is dropped, as if the connection had broken.
            if (this->mode != "lose_answers")
                this->server.respond(id,
                                     {.status = 200, .body = result.dump()});
        }));
    // More tasks than slots share the processors, which slows all of them.
    const double oversubscription =
        std::max(1.0, static_cast<double>(this->running) / this->slots);
    timer->start(support::milliseconds(static_cast<std::int64_t>(
        run_ms(payload) * this->slowness * oversubscription)));
    this->timers.push_back(std::move(timer));
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    transport::event_loop loop({});
    std::vector<std::unique_ptr<endpoint_standin>> endpoints;
    for (long i = 0; i < arguments.at("--count").asLong(); ++i)
        endpoints.push_back(std::make_unique<endpoint_standin>(
            loop, arguments.at("--address").asString(),
            static_cast<int>(arguments.at("--port").asLong() + i),
            static_cast<int>(arguments.at("--slots").asLong())));
    standin::run_until_signalled(loop);
    return 0;
}
