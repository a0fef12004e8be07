/// \file
/// Stand-in for the platform's service: table, object store and host list,
/// with the modes up, slow, down, silent and lose_answers. See
/// docs/PLATFORM.md.
#include "standin.hpp"

#include <iostream>
#include <map>
#include <memory>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

namespace
{

using namespace chicorydrum;
using nlohmann::json;
using transport::exchange_id;
using transport::http_method;
using transport::http_request;
using transport::http_response;

constexpr const char* usage = R"(Stand-in for the platform's service.

Usage: platform_standin --port PORT [--address IP]

Options:
  --port PORT   Port to listen on.
  --address IP  Address to listen on [default: 127.0.0.1].
)";

struct row
{
    std::string value;
    std::int64_t version = 0;
};

class platform_standin
{
public:
    platform_standin(transport::event_loop& event_loop,
                     const std::string& address, int port)
        : loop(event_loop),
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
    http_response handle(const http_request& request);
    http_response control(const http_request& request);
    http_response transact(const std::string& body);
    http_response read_row(const std::string& key) const;
    void respond_later(exchange_id id, http_response response);

    transport::event_loop& loop;
    std::map<std::string, row> table;
    std::map<std::string, std::string> objects;
    json hosts = {{"entry_hosts", json::array()}, {"endpoints", json::array()}};
    int revision = 1;
    std::string mode = "up";
    int delay_ms = 0;
    std::vector<std::unique_ptr<transport::timer>> delayed;
    transport::http_server server;
};

void platform_standin::serve(exchange_id id, const http_request& request)
{
    if (request.path.starts_with("/control/"))
    {
        this->server.respond(id, this->control(request));
        return;
    }
    if (this->mode == "silent")
        return;
    if (this->mode == "down")
    {
        this->server.respond(id, {.status = 503, .body = "{}"});
        return;
    }
    http_response response = this->handle(request);
    const bool is_write = request.method != http_method::get;
    if (this->mode == "lose_answers" && is_write)
        response = {.status = 500, .body = "{}"};
    if (this->mode == "slow")
        this->respond_later(id, std::move(response));
    else
        this->server.respond(id, std::move(response));
}

void platform_standin::respond_later(exchange_id id, http_response response)
{
    const auto shared = std::make_shared<http_response>(std::move(response));
    auto timer = std::make_unique<transport::timer>(this->loop.make_timer(
        [this, id, shared] { this->server.respond(id, *shared); }));
    timer->start(support::milliseconds(this->delay_ms));
    this->delayed.push_back(std::move(timer));
}

http_response platform_standin::control(const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return {.status = 400, .body = "{}"};
    if (request.path == "/control/mode")
    {
        this->mode = body.value("mode", "up");
        this->delay_ms = body.value("delay_ms", 0);
    }
    else if (request.path == "/control/hosts")
    {
        this->hosts = body;
        ++this->revision;
    }
    else
        return {.status = 404, .body = "{}"};
    return {.status = 200, .body = "{}"};
}

http_response platform_standin::handle(const http_request& request)
{
    const std::string table_prefix = "/table/";
    const std::string object_prefix = "/objects/";
    const std::string current = std::to_string(this->revision);
    if (request.path == "/hosts/since/" + current)
        return {.status = 304};
    if (request.path.starts_with("/hosts"))
    {
        json listed = this->hosts;
        listed["revision"] = this->revision;
        return {.status = 200, .body = listed.dump()};
    }
    if (request.path == "/table/transact")
        return this->transact(request.body);
    if (request.path.starts_with(table_prefix))
        return this->read_row(request.path.substr(table_prefix.size()));
    if (!request.path.starts_with(object_prefix))
        return {.status = 404, .body = "{}"};
    const std::string name = request.path.substr(object_prefix.size());
    if (request.method == http_method::put)
    {
        this->objects[name] = request.body;
        return {.status = 200, .body = "{}"};
    }
    const auto found = this->objects.find(name);
    if (found == this->objects.end())
        return {.status = 404, .body = "{}"};
    return {.status = 200,
            .content_type = "application/octet-stream",
            .body = found->second};
}

http_response platform_standin::read_row(const std::string& key) const
{
    const auto found = this->table.find(key);
    if (found == this->table.end())
        return {.status = 404, .body = "{}"};
    return {.status = 200,
            .body = json{{"value", found->second.value},
                         {"version", found->second.version}}
                        .dump()};
}

http_response platform_standin::transact(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("writes"))
        return {.status = 400, .body = "{}"};
    for (const json& write : parsed["writes"])
    {
        const auto found = this->table.find(write["key"]);
        const std::int64_t version =
            found == this->table.end() ? 0 : found->second.version;
        if (version != write["expected_version"].get<std::int64_t>())
            return {.status = 409, .body = "{}"};
    }
    for (const json& write : parsed["writes"])
    {
        row& written = this->table[write["key"]];
        written.value = write["value"];
        ++written.version;
    }
    return {.status = 200, .body = "{}"};
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    transport::event_loop loop({});
    const platform_standin standin(
        loop, arguments.at("--address").asString(),
        static_cast<int>(arguments.at("--port").asLong()));
    standin::run_until_signalled(loop);
    return 0;
}
