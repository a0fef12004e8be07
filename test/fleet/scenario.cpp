#include "scenario.hpp"

#include "chicorydrum/support/error.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

namespace chicorydrum::fleet
{

const char* const scenario_bundle =
    "kinds:\n"
    "  - {name: quote, expected_run_time: 100}\n"
    "  - {name: lookup, expected_run_time: 50}\n"
    "  - {name: tag, repeatable: false, expected_run_time: 100}\n"
    "  - {name: filing, repeatable: false, expected_run_time: 200}\n"
    "teams:\n"
    "  - {name: desk}\n";

namespace
{

using support::milliseconds;

/// Thrown and caught in this file; names the line and the problem.
struct invalid_scenario
{
    std::string problem;
};

/// Reads the words of one line from front to back.
class line_reader
{
public:
    line_reader(int line, const std::string& text) : line_number(line)
    {
        std::istringstream stream(text);
        std::string word;
        while (stream >> word && word.front() != '#')
            this->remaining.push_back(word);
        std::reverse(this->remaining.begin(), this->remaining.end());
    }

    bool empty() const
    {
        return this->remaining.empty();
    }

    std::string next()
    {
        if (this->remaining.empty())
            this->fail("a word is missing");
        std::string word = this->remaining.back();
        this->remaining.pop_back();
        return word;
    }

    /// Consumes \p word if it is next; returns whether it was.
    bool skip(std::string_view word)
    {
        if (this->remaining.empty() || this->remaining.back() != word)
            return false;
        this->remaining.pop_back();
        return true;
    }

    void expect(std::string_view word)
    {
        if (!this->skip(word))
            this->fail("'" + std::string(word) + "' is missing");
    }

    int number()
    {
        return static_cast<int>(this->real());
    }

    double real()
    {
        const std::string word = this->next();
        std::istringstream stream(word);
        double value = 0;
        if (!(stream >> value) || !stream.eof())
            this->fail("'" + word + "' is not a number");
        return value;
    }

    /// A time such as 20ms or 1.5s.
    milliseconds time()
    {
        const std::string word = this->next();
        std::istringstream stream(word);
        double value = 0;
        std::string unit;
        stream >> value >> unit;
        if (unit == "s")
            return milliseconds(static_cast<std::int64_t>(value * 1000));
        if (unit != "ms")
            this->fail("'" + word + "' is not a time");
        return milliseconds(static_cast<std::int64_t>(value));
    }

    [[noreturn]] void fail(const std::string& problem) const
    {
        throw invalid_scenario{"line " + std::to_string(this->line_number) +
                               ": " + problem};
    }

    int line() const
    {
        return this->line_number;
    }

private:
    int line_number;
    std::vector<std::string> remaining;
};

class scenario
{
public:
    explicit scenario(fleet_options options)
        : simulated(std::move(options), {.log = [this](const std::string& host,
                                                       const std::string& line)
                                         { this->add_log(host, line); },
                                         .call_ended = {}})
    {
        this->simulated.platform().preset_bundle(scenario_bundle);
    }

    void read(std::string_view text);
    scenario_result run();

private:
    using step = std::function<void()>;
    using check = std::function<std::string()>;

    void read_line(line_reader line);
    void read_host(line_reader& line);
    void read_endpoint(line_reader& line);
    step read_step(line_reader& line);
    step read_submit(line_reader& line);
    step read_cut(line_reader& line);
    step read_endpoint_change(line_reader& line);
    step read_platform(line_reader& line);
    step read_roll(line_reader& line);
    void read_expect(line_reader& line);
    check read_answer_check(line_reader& line, const std::string& name,
                            const std::string& via);

    std::vector<std::string> resolve(const std::string& list) const;
    const call_record* last_call(const std::string& name,
                                 const std::string& via) const;
    std::size_t starts_of(const std::string& name) const;
    void add_log(const std::string& host, const std::string& line);

    fleet simulated;
    std::map<std::string, std::string> domain_of;
    std::map<std::string, std::string> roll_results;
    std::set<std::string> stop_requested;
    milliseconds end{10000};
    std::vector<check> checks;
    std::vector<std::string> log;
};

void scenario::add_log(const std::string& host, const std::string& line)
{
    const auto now = this->simulated.now().time_since_epoch().count();
    std::ostringstream text;
    text << std::setw(6) << now / 1000 << "." << std::setfill('0')
         << std::setw(3) << now % 1000 << " " << host << " " << line;
    this->log.push_back(text.str());
}

void scenario::read(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number)
    {
        line_reader parsed(number, line);
        if (!parsed.empty())
            this->read_line(std::move(parsed));
    }
}

void scenario::read_line(line_reader line)
{
    if (line.skip("host"))
        this->read_host(line);
    else if (line.skip("endpoint"))
        this->read_endpoint(line);
    else if (line.skip("at"))
    {
        const milliseconds when = line.time();
        const step action = this->read_step(line);
        this->simulated.events().at(support::instant(when), action);
    }
    else if (line.skip("end"))
        this->end = line.time();
    else if (line.skip("expect"))
        this->read_expect(line);
    else
        line.fail("unknown word '" + line.next() + "'");
    if (!line.empty())
        line.fail("unexpected '" + line.next() + "'");
}

void scenario::read_host(line_reader& line)
{
    const std::string name = line.next();
    line.expect("domain");
    this->domain_of[name] = line.next();
    this->simulated.add_host(name, this->domain_of[name]);
}

void scenario::read_endpoint(line_reader& line)
{
    decision::endpoint_listing listing;
    listing.name = line.next();
    line.expect("domain");
    listing.domain = line.next();
    listing.slots = line.skip("slots") ? line.number() : 8;
    listing.connections = 64;
    listing.millicores = 16000;
    listing.memory_mb = 65536;
    const double slowness = line.skip("slowness") ? line.real() : 1;
    this->simulated.add_endpoint(listing, slowness);
}

std::vector<std::string> scenario::resolve(const std::string& list) const
{
    std::vector<std::string> names;
    std::istringstream stream(list);
    std::string name;
    while (std::getline(stream, name, ','))
    {
        if (this->domain_of.contains(name))
            names.push_back(name);
        for (const auto& [host, domain] : this->domain_of)
            if (domain == name)
                names.push_back(host);
    }
    return names;
}

scenario::step scenario::read_step(line_reader& line)
{
    if (line.skip("submit"))
        return this->read_submit(line);
    if (line.skip("cut"))
        return this->read_cut(line);
    if (line.skip("endpoint"))
        return this->read_endpoint_change(line);
    if (line.skip("platform"))
        return this->read_platform(line);
    if (line.skip("roll"))
        return this->read_roll(line);
    if (line.skip("heal"))
        return [this]
        {
            this->simulated.heal();
        };
    const std::string verb = line.next();
    const std::string name = line.next();
    if (verb == "kill")
        return [this, name]
        {
            this->simulated.kill(name);
        };
    if (verb == "restart")
        return [this, name]
        {
            this->simulated.restart(name);
        };
    if (verb == "pause")
        return [this, name]
        {
            this->simulated.pause(name);
        };
    if (verb == "resume")
        return [this, name]
        {
            this->simulated.resume(name);
        };
    if (verb == "stop")
        return [this, name]
        {
            this->simulated.stop(name);
        };
    if (verb == "force-stop")
        return [this, name]
        {
            this->simulated.force_stop(name);
        };
    line.expect("via");
    const std::string via = line.next();
    if (verb == "resubmit")
        return [this, name, via]
        {
            this->simulated.submit(name, via);
        };
    if (verb == "query")
        return [this, name, via]
        {
            this->simulated.query(name, via, false);
        };
    if (verb == "cancel")
        return [this, name, via]
        {
            this->simulated.query(name, via, true);
        };
    line.fail("unknown step '" + verb + "'");
}

scenario::step scenario::read_submit(line_reader& line)
{
    const std::string name = line.next();
    submission_entry entry;
    std::string via;
    std::string home;
    std::string same_id;
    bool is_bare = false;
    std::size_t tasks = 1;
    milliseconds run_time(100);
    entry.work.kind = "quote";
    entry.work.team = "desk";
    entry.work.deadline_ms = 10000;
    schema::task_spec task;
    while (!line.empty())
    {
        if (line.skip("via"))
            via = line.next();
        else if (line.skip("home"))
            home = line.next();
        else if (line.skip("kind"))
            entry.work.kind = line.next();
        else if (line.skip("tasks"))
            tasks = static_cast<std::size_t>(line.number());
        else if (line.skip("run"))
            run_time = line.time();
        else if (line.skip("deadline"))
            entry.work.deadline_ms = line.time().count();
        else if (line.skip("digest"))
            entry.work.digest = line.next();
        else if (line.skip("millicores"))
            task.millicores = line.number();
        else if (line.skip("no-id"))
            entry.has_id = false;
        else if (line.skip("bare"))
            is_bare = true;
        else if (line.skip("same-id"))
            same_id = line.next();
        else
            line.fail("unknown word '" + line.next() + "'");
    }
    if (home.empty())
        home = via;
    entry.work.tasks.assign(tasks, task);
    entry.run_times.assign(tasks, run_time);
    return [this, name, entry, via, home, is_bare, same_id]
    {
        submission_entry created = entry;
        if (created.has_id)
            created.work.id =
                is_bare ? name : this->simulated.id_at(home, name);
        if (!same_id.empty())
            created.work.id =
                this->simulated.records().submissions.at(same_id).work.id;
        this->simulated.define(name, std::move(created));
        this->simulated.submit(name, via);
    };
}

scenario::step scenario::read_cut(line_reader& line)
{
    const std::string from = line.next();
    line.expect("from");
    const std::string to = line.next();
    if (to == "platform")
        return [this, from]
        {
            for (const std::string& name : this->resolve(from))
                this->simulated.platform().cut_off.insert(name);
        };
    return [this, from, to]
    {
        for (const std::string& a : this->resolve(from))
            for (const std::string& b : this->resolve(to))
                if (a != b)
                    this->simulated.cut(a, b);
    };
}

scenario::step scenario::read_endpoint_change(line_reader& line)
{
    const std::string name = line.next();
    if (line.skip("leaving"))
        return [this, name]
        {
            this->simulated.set_leaving(name);
        };
    if (line.skip("gone"))
        return [this, name]
        {
            this->simulated.remove_from_list(name);
        };
    if (line.skip("slow"))
        return [this, name, factor = line.real()]
        {
            this->simulated.endpoint(name).slowness = factor;
        };
    static const std::map<std::string, endpoint_mode> modes = {
        {"ok", endpoint_mode::ok},
        {"fail-all", endpoint_mode::fail_all},
        {"silent", endpoint_mode::silent},
        {"lose-answers", endpoint_mode::lose_answers},
        {"refuse", endpoint_mode::refuse}};
    const std::string mode = line.next();
    if (!modes.contains(mode))
        line.fail("unknown mode '" + mode + "'");
    return [this, name, chosen = modes.at(mode)]
    {
        this->simulated.endpoint(name).mode = chosen;
    };
}

scenario::step scenario::read_platform(line_reader& line)
{
    static const std::map<std::string, platform_mode> modes = {
        {"up", platform_mode::up},
        {"down", platform_mode::down},
        {"slow", platform_mode::slow},
        {"lose-answers", platform_mode::lose_answers}};
    const std::string mode = line.next();
    if (mode == "empty-list")
        return [this]
        {
            this->simulated.platform().list = {};
        };
    if (!modes.contains(mode))
        line.fail("unknown mode '" + mode + "'");
    return [this, chosen = modes.at(mode)]
    {
        this->simulated.platform().mode = chosen;
    };
}

scenario::step scenario::read_roll(line_reader& line)
{
    const std::string name = line.next();
    line.expect("via");
    const std::string via = line.next();
    // The comment gives each bundle different bytes and so its own digest.
    const std::string text = std::string(scenario_bundle) + "# " + name + "\n";
    return [this, name, via, text]
    {
        this->roll_results[name] = "pending";
        this->simulated.roll(
            via, text,
            [this, name](const support::result<decision::bundle_step>& rolled)
            {
                this->roll_results[name] = std::string(
                    rolled ? "rolled"
                           : support::get_error_info(rolled.error().kind).name);
                this->add_log("roll", name + " " + this->roll_results[name]);
            });
    };
}

const call_record* scenario::last_call(const std::string& name,
                                       const std::string& via) const
{
    const call_record* found = nullptr;
    for (const call_record& call : this->simulated.records().calls)
        if (call.name == name && (via.empty() || call.host == via))
            found = &call;
    return found;
}

std::size_t scenario::starts_of(const std::string& name) const
{
    const auto& starts = this->simulated.records().starts;
    return static_cast<std::size_t>(
        std::count_if(starts.begin(), starts.end(),
                      [&name](const start_record& start)
                      { return start.payload.starts_with(name + "/"); }));
}

scenario::check scenario::read_answer_check(line_reader& line,
                                            const std::string& name,
                                            const std::string& via)
{
    const std::string wanted = line.next();
    const milliseconds within =
        line.skip("within") ? line.time() : milliseconds(0);
    return [this, name, via, wanted, within]() -> std::string
    {
        const call_record* const call = this->last_call(name, via);
        if (call == nullptr)
            return "no such call";
        if (wanted == "lost" || wanted == "open")
        {
            const bool holds = wanted == "lost"
                                   ? call->is_lost
                                   : !call->is_lost && !call->is_answered;
            return holds ? "" : "it is not " + wanted;
        }
        if (!call->is_answered)
            return "it has no answer";
        const schema::answer& answer = call->answer;
        const std::string_view error =
            support::get_error_info(answer.error).name;
        const bool failed = answer.error != support::error_kind::none;
        const bool holds =
            (wanted == "complete" && !failed) ||
            (wanted == "not-run" && failed && answer.not_run) ||
            (wanted == "maybe-run" && failed && !answer.not_run) ||
            wanted == error;
        if (!holds)
            return "got " + std::string(error) +
                   (answer.not_run ? " not-run: " : ": ") + answer.detail;
        if (within.count() > 0 && call->answered - call->asked > within)
            return "the answer took " +
                   std::to_string(
                       support::whole_ms(call->answered - call->asked)) +
                   "ms";
        return "";
    };
}

void scenario::read_expect(line_reader& line)
{
    const std::string where =
        "line " + std::to_string(line.line()) + ": expect ";
    const std::string what = line.next();
    check created;
    std::string subject;
    if (what == "starts")
    {
        subject = line.next();
        const bool is_upper_bound = line.skip("at-most");
        const auto wanted = static_cast<std::size_t>(line.number());
        created = [this, subject, wanted, is_upper_bound]() -> std::string
        {
            const std::size_t starts = this->starts_of(subject);
            const bool holds =
                is_upper_bound ? starts <= wanted : starts == wanted;
            return holds ? "" : "it has " + std::to_string(starts);
        };
    }
    else if (what == "version")
    {
        subject = line.next();
        const int wanted = line.number();
        created = [this, subject, wanted]() -> std::string
        {
            const auto* const host = this->simulated.dispatcher(subject);
            if (host == nullptr)
                return "the host is down";
            const std::int64_t version = host->bundle().version();
            return version == wanted
                       ? ""
                       : "its version is " + std::to_string(version);
        };
    }
    else if (what == "roll")
    {
        subject = line.next();
        created = [this, subject, wanted = line.next()]() -> std::string
        {
            const std::string& actual = this->roll_results[subject];
            return actual == wanted ? "" : "it ended as " + actual;
        };
    }
    else if (what == "idle")
    {
        // Nothing may start on the endpoint after the given time.
        subject = line.next();
        line.expect("after");
        const support::instant after(line.time());
        created = [this, subject, after]() -> std::string
        {
            for (const start_record& start : this->simulated.records().starts)
                if (start.endpoint == subject && start.when > after)
                    return start.payload + " started there";
            return "";
        };
    }
    else if (what == "down")
    {
        subject = line.next();
        created = [this, subject]() -> std::string
        {
            return this->simulated.is_alive(subject) ? "it is up" : "";
        };
    }
    else if (what == "at-most")
    {
        const auto wanted = static_cast<std::size_t>(line.number());
        line.expect("starts");
        line.expect("on");
        subject = line.next();
        created = [this, subject, wanted]() -> std::string
        {
            std::size_t count = 0;
            for (const start_record& start : this->simulated.records().starts)
                count += start.endpoint == subject ? 1 : 0;
            return count <= wanted ? "" : std::to_string(count) + " started";
        };
    }
    else
    {
        subject = what;
        const std::string via = line.skip("via") ? line.next() : "";
        created = this->read_answer_check(line, subject, via);
    }
    this->checks.emplace_back(
        [where, what, subject, created]() -> std::string
        {
            const std::string problem = created();
            if (problem.empty())
                return "";
            return where + (what == subject ? what : what + " " + subject) +
                   ": " + problem;
        });
}

scenario_result scenario::run()
{
    this->simulated.run_until(support::instant(this->end));
    scenario_result result;
    result.log = std::move(this->log);
    for (const check& expectation : this->checks)
    {
        const std::string problem = expectation();
        if (!problem.empty())
            result.problems.push_back(problem);
    }
    for (const std::string& violation :
         find_violations(this->simulated.records(), this->simulated.now()))
        result.problems.push_back("violation: " + violation);
    return result;
}

} // namespace

scenario_result run_scenario(std::string_view text, fleet_options options)
{
    try
    {
        scenario script(std::move(options));
        script.read(text);
        return script.run();
    }
    catch (const invalid_scenario& invalid)
    {
        return {.log = {}, .problems = {invalid.problem}};
    }
}

scenario_result run_scenario(std::string_view text)
{
    return run_scenario(text, {});
}

} // namespace chicorydrum::fleet
