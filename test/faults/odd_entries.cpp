/// \file
/// A session in which another writer leaves odd rows in each table.
#include "fault_session.hpp"

#include "chicorydrum/support/base64.hpp"
#include "chicorydrum/transport/peer_codec.hpp"

#include <algorithm>
#include <fstream>

namespace chicorydrum::faults
{

namespace
{

using support::milliseconds;

constexpr milliseconds follow_limit{20000};
constexpr milliseconds load_span{3000};
/// Rows of one kind, more than one answer of the store has.
constexpr int repeated_rows = 600;
/// Memory of a host with a few endpoints, several times over.
constexpr std::int64_t max_resident_kb = 400L << 10;
/// Lines about malformed rows of one host: far less than there are odd rows
/// times reads.
constexpr int max_malformed_lines = 600;

std::string odd_entry(const std::string& member, const std::string& value)
{
    std::map<std::string, std::string> members = {
        {"service", R"("workers")"},
        {"addr", R"("127.0.0.1:9")"},
        {"zone", R"("d1")"},
        {"state", R"("ready")"},
        {"capacity", R"({"cpu":16000,"mem_mb":65536})"},
        {"version", R"("v1")"},
        {"slots", "8"},
        {"cold_left_ms", "0"},
        {"seq", "1"},
        {"born", "1"}};
    members[member] = value;
    std::string text;
    for (const auto& [name, content] : members)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + content;
    return text + "}";
}

std::string odd_config(const std::string& version, const std::string& routes)
{
    return R"({"version":)" + version + R"(,"routes":)" + routes + "}";
}

std::string odd_record(const std::string& address, int port, double power)
{
    schema::host_record record;
    record.domain = "d1";
    record.address = address;
    record.peer_port = port;
    record.power = power;
    record.nonce = 77;
    return transport::encode_record(record);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> odd_documents()
{
    constexpr std::size_t levels = 20000;
    std::vector<std::string> documents = {
        "",
        "{",
        std::string(40000, '['),
        nested(levels),
        std::string(1, '\0'),
        std::string("\x18\xff\xff\xff\xff\x07"),
        "\xff\xfe",
        odd_entry("extra", nested(levels)),
        odd_entry("state", R"("resting")"),
        odd_entry("labels", "[1]")};
    for (const char* const address :
         {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999",
          "127.0.0.1", "no.such.host.invalid:80"})
        documents.push_back(
            odd_entry("addr", "\"" + std::string(address) + "\""));
    for (const char* const number :
         {"1e999", "-1", "9223372036854775807", "9223372036854775808", "1e308",
          "1000000000000"})
    {
        documents.push_back(
            odd_entry("capacity",
                      std::string(R"({"mem_mb":65536,"cpu":)") + number + "}"));
        documents.push_back(odd_entry("born", number));
        documents.push_back(odd_config(number, "[]"));
    }
    documents.push_back(odd_config("99999", "[1,{}]"));
    documents.push_back(odd_record("no.such.host.invalid", 80, 1));
    documents.push_back(odd_record("127.0.0.1", 70000, 1));
    documents.push_back(odd_record("127.0.0.1", 9, 1e308));
    documents.push_back(odd_record("", 0, 0));
    return documents;
}

} // namespace

void fault_session::put_odd_rows()
{
    const std::vector<std::string> documents = odd_documents();
    for (const char* const table : {"op", "entry_hosts", "servers"})
    {
        for (std::size_t i = 0; i < documents.size(); ++i)
            this->put_row(table, "odd-" + std::to_string(i), documents[i]);
        this->put_row(table, "h 1\r\nx: y", documents.back());
        this->put_row(table, std::string(200, 'k'), documents.back());
        this->store_row(table, "raw", {.value = "=A=="});
    }
    for (int i = 0; i < repeated_rows; ++i)
        this->put_row("servers", "copy-" + std::to_string(i), "x");
    const std::string config =
        odd_config("99999", R"([{"name":"r","host":"x","prefix":"/",)"
                            R"("service":"s"}])");
    for (const auto& [table, key] :
         {std::pair{"op", "config"}, std::pair{"servers", "i-1"}})
        this->store_row(table, std::string("other part/") + key,
                        {.value = support::encode_base64(config),
                         .part = "other",
                         .key = key});
}

bool fault_session::wait_for(const std::function<bool()>& condition)
{
    const support::instant limit = transport::event_loop::now() + follow_limit;
    while (!condition())
    {
        if (transport::event_loop::now() > limit)
            return false;
        this->run_for(milliseconds(50));
    }
    return true;
}

bool fault_session::serve_jobs()
{
    constexpr int jobs = 6;
    const int wanted = this->completed + jobs;
    return this->wait_for(
        [this, wanted]
        {
            this->submit_one();
            this->run_for(milliseconds(100));
            return this->completed >= wanted;
        });
}

int fault_session::count_log_lines(const entry_process& host,
                                   const std::string& text) const
{
    std::ifstream log(this->work_directory + "/" + host.name + ".log");
    int count = 0;
    for (std::string line; std::getline(log, line);)
        count += line.find(text) == std::string::npos ? 0 : 1;
    return count;
}

std::int64_t fault_session::resident_kb(const entry_process& host)
{
    std::ifstream status("/proc/" + std::to_string(host.child->id()) +
                         "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:"))
            return std::stoll(line.substr(line.find_first_of("0123456789")));
    return 0;
}

void fault_session::check_hosts()
{
    for (const auto& host : this->hosts)
    {
        if (const auto exit_code = host->child->exit_code())
            this->report_violation(host->name + " has ended with " +
                                   std::to_string(*exit_code));
        const std::int64_t resident = this->resident_kb(*host);
        if (resident > max_resident_kb)
            this->report_violation(host->name + " uses " +
                                   std::to_string(resident) + " KB");
        const int lines = this->count_log_lines(*host, "malformed");
        if (lines > max_malformed_lines)
            this->report_violation(host->name + " has logged " +
                                   std::to_string(lines) + " malformed rows");
    }
}

std::vector<std::string> fault_session::run_odd_entries()
{
    if (!this->wait_for([this] { return this->all_ready(); }))
        this->report_violation("not ready after the start");
    const support::instant end = transport::event_loop::now() + load_span;
    while (transport::event_loop::now() < end)
    {
        this->put_odd_rows();
        this->submit_one();
        this->run_for(milliseconds(150));
    }
    if (!this->serve_jobs())
        this->report_violation("jobs are not served beside odd rows");
    // Later changes of each table are followed: the config, an endpoint, and a
    // host that has started again.
    this->put_config();
    const std::string activated =
        "config_activated version=" + std::to_string(this->config_version) +
        " ";
    endpoint_server& leaving = *this->endpoints.front();
    leaving.endpoint->entry().is_draining = true;
    this->put_entry(leaving);
    const auto any_logged = [this](const std::string& text)
    {
        return std::any_of(this->hosts.begin(), this->hosts.end(),
                           [this, &text](const auto& host)
                           { return this->count_log_lines(*host, text) > 0; });
    };
    const auto all_logged = [this](const std::string& text)
    {
        return std::all_of(this->hosts.begin(), this->hosts.end(),
                           [this, &text](const auto& host)
                           { return this->count_log_lines(*host, text) > 0; });
    };
    if (!this->wait_for([&] { return all_logged(activated); }))
        this->report_violation("a new config is not followed");
    if (!this->wait_for([&]
                        { return any_logged("endpoint=i-0 draining=true"); }))
        this->report_violation("an endpoint's change is not followed");
    this->check_hosts();
    this->start_host(*this->hosts.front());
    if (!this->wait_for([this] { return this->all_ready(); }))
        this->report_violation("not ready after a host has started again");
    if (!this->serve_jobs())
        this->report_violation("jobs are not served after a new start");
    this->check_hosts();
    return this->recorded_violations;
}

} // namespace chicorydrum::faults
