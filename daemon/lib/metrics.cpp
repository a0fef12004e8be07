#include "chicorydrum/daemon/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace chicorydrum::daemon
{

namespace
{

using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

const Histogram::BucketBoundaries answer_seconds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

} // namespace

struct metrics::families
{
    Registry registry;

    Gauge& gauge(const std::string& name, const std::string& help)
    {
        return prometheus::BuildGauge()
            .Name("chicorydrum_" + name)
            .Help(help)
            .Register(this->registry)
            .Add({});
    }

    // The dispatcher counts the totals, which are copied at each scrape.
    prometheus::Counter& total(const std::string& name, const std::string& help)
    {
        return prometheus::BuildCounter()
            .Name("chicorydrum_" + name)
            .Help(help)
            .Register(this->registry)
            .Add({});
    }

    static void copy(prometheus::Counter& counter, std::int64_t total_now)
    {
        const double increase =
            static_cast<double>(total_now) - counter.Value();
        if (increase > 0)
            counter.Increment(increase);
    }

    Histogram& answers =
        prometheus::BuildHistogram()
            .Name("chicorydrum_answer_seconds")
            .Help("Time from a caller's whole request to its answer.")
            .Register(this->registry)
            .Add({}, answer_seconds);
    prometheus::Counter& accepted = this->total(
        "submissions_accepted_total", "Submissions accepted as their owner.");
    prometheus::Counter& refused =
        this->total("submissions_refused_total", "Submissions refused.");
    prometheus::Counter& completed = this->total(
        "submissions_completed_total", "Submissions answered as complete.");
    prometheus::Counter& failed = this->total(
        "submissions_failed_total", "Accepted submissions that failed.");
    prometheus::Counter& starts = this->total(
        "task_starts_total", "Tasks handed to endpoints or other domains.");
    prometheus::Counter& retries =
        this->total("task_retries_total", "Tasks that were run again.");
    prometheus::Counter& late = this->total(
        "late_answers_total", "Answers of attempts that were given up.");
    prometheus::Counter& slot_requests =
        this->total("slot_requests_total", "Requests to borrow slots.");
    prometheus::Counter& slot_denials = this->total(
        "slot_denials_total", "Requests to borrow slots that were denied.");
    prometheus::Counter& peer_sent =
        this->total("peer_sent_bytes_total", "Bytes sent to entry hosts.");
    prometheus::Counter& peer_received = this->total(
        "peer_received_bytes_total", "Bytes received from entry hosts.");
    prometheus::Counter& peer_rejected = this->total(
        "peer_frames_rejected_total", "Malformed or untrusted frames.");
    prometheus::Counter& platform_reads =
        this->total("platform_reads_total", "Reads sent to the platform.");
    prometheus::Counter& platform_writes =
        this->total("platform_writes_total", "Writes sent to the platform.");
    Gauge& waiting =
        this->gauge("waiting_tasks", "Tasks that wait for a slot.");
    Gauge& running = this->gauge("running_attempts", "Attempts that run now.");
    Gauge& usable =
        this->gauge("usable_slots", "Slots that this host may use.");
    Gauge& idle = this->gauge("idle_slots", "Usable slots that are free.");
    Gauge& peers =
        this->gauge("connected_peers", "Entry hosts with an open link.");
    Gauge& bundle = this->gauge("bundle_version", "Bundle version in force.");
    Gauge& open_bytes = this->gauge("open_submission_bytes",
                                    "Bytes of unfinished submissions.");
    Gauge& kept_bytes =
        this->gauge("kept_answer_bytes", "Bytes of finished answers.");
    Gauge& witness_bytes =
        this->gauge("witness_record_bytes", "Bytes of witnessed records.");
    Gauge& platform_up = this->gauge("platform_available",
                                     "1 while the platform's service answers.");
    Gauge& exchanges = this->gauge(
        "open_exchanges", "Callers' requests without a whole response.");
};

metrics::metrics() : pimpl(std::make_unique<families>())
{
}

metrics::~metrics() = default;

void metrics::observe_answer(support::decision_clock::duration took)
{
    this->pimpl->answers.Observe(support::in_seconds(took));
}

std::string metrics::scrape(const decision::dispatcher& dispatcher,
                            const transport_counts& counts)
{
    families& all = *this->pimpl;
    const decision::submission_owner& owner = dispatcher.owner();
    const decision::scheduler& tasks = owner.tasks();
    const decision::owner_counters& totals = owner.counters();
    families::copy(all.accepted, totals.accepted);
    families::copy(all.refused, totals.refused);
    families::copy(all.completed, totals.completed);
    families::copy(all.failed, totals.failed);
    families::copy(all.starts, totals.starts);
    families::copy(all.retries, totals.retries);
    families::copy(all.late, tasks.late_answers());
    families::copy(all.slot_requests, tasks.slot_leases().requests_sent());
    families::copy(all.slot_denials, tasks.slot_leases().requests_denied());
    families::copy(all.peer_sent, counts.peer_bytes_sent);
    families::copy(all.peer_received, counts.peer_bytes_received);
    families::copy(all.peer_rejected, counts.peer_frames_rejected);
    families::copy(all.platform_reads, counts.platform_reads);
    families::copy(all.platform_writes, counts.platform_writes);
    const auto set = [](Gauge& gauge, auto value)
    {
        gauge.Set(static_cast<double>(value));
    };
    set(all.waiting, tasks.waiting_tasks());
    set(all.running, tasks.running_attempts());
    set(all.usable, tasks.endpoints().usable_slots());
    set(all.idle, tasks.endpoints().idle_slots());
    set(all.peers, dispatcher.members().peers().size());
    set(all.bundle, dispatcher.bundle().version());
    set(all.open_bytes, owner.submissions().open_bytes());
    set(all.kept_bytes, owner.submissions().kept_bytes());
    set(all.witness_bytes, dispatcher.witness().bytes());
    set(all.platform_up, counts.platform_available ? 1 : 0);
    set(all.exchanges, counts.open_exchanges);
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(all.registry.Collect());
}

} // namespace chicorydrum::daemon
