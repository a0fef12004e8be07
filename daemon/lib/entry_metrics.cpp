#include "chicorydrum/daemon/entry_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace chicorydrum::daemon
{

namespace
{

const prometheus::Histogram::BucketBoundaries answer_seconds = {
    0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
/// A stopped run ends within 0.05, and the list that shows it follows at once.
const prometheus::Histogram::BucketBoundaries stop_seconds = {
    0.01, 0.02, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1};
/// Tasks take 0.06 to some seconds, and wait for less than that.
const prometheus::Histogram::BucketBoundaries place_wait_seconds = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2};
/// Ticks are due every 25 ms; 0.1 counts as late, 0.4 as a pause.
const prometheus::Histogram::BucketBoundaries gap_seconds = {
    0.03, 0.04, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 1};

} // namespace

struct entry_metrics::families
{
    prometheus::Registry registry;

    prometheus::Family<prometheus::Histogram>& answers =
        prometheus::BuildHistogram()
            .Name("chicorydrum_answer_seconds")
            .Help("Time from a caller's whole request to its answer.")
            .Register(this->registry);

    prometheus::Histogram& stops =
        prometheus::BuildHistogram()
            .Name("chicorydrum_stop_seconds")
            .Help("Time from the order to stop a run until a list shows that "
                  "it is over.")
            .Register(this->registry)
            .Add({}, stop_seconds);
    prometheus::Histogram& tick_gaps =
        prometheus::BuildHistogram()
            .Name("chicorydrum_tick_gap_seconds")
            .Help("Time between two ticks of this process.")
            .Register(this->registry)
            .Add({}, gap_seconds);

    prometheus::Family<prometheus::Histogram>& place_waits =
        prometheus::BuildHistogram()
            .Name("chicorydrum_place_wait_seconds")
            .Help("How long tasks have waited for a place near their data or "
                  "group, or for a faster endpoint, by how it ended.")
            .Register(this->registry);

    prometheus::Family<prometheus::Gauge>& kind_slowness =
        prometheus::BuildGauge()
            .Name("chicorydrum_kind_slowness")
            .Help("Learned run time on a kind of endpoint against an average "
                  "one.")
            .Register(this->registry);
    prometheus::Family<prometheus::Gauge>& kind_runs =
        prometheus::BuildGauge()
            .Name("chicorydrum_kind_runs")
            .Help("Runs that the slowness of a kind rests on.")
            .Register(this->registry);

    void set(const std::string& name, const std::string& help, double value)
    {
        prometheus::BuildGauge()
            .Name("chicorydrum_" + name)
            .Help(help)
            .Register(this->registry)
            .Add({})
            .Set(value);
    }

    // A host knows a bounded number of kinds.
    void set_kinds(
        const std::map<std::string, shard::learned_speeds::kind_summary>& kinds)
    {
        for (const auto& [name, kind] : kinds)
        {
            this->kind_slowness.Add({{"kind", name}}).Set(kind.slowness);
            this->kind_runs.Add({{"kind", name}}).Set(kind.weight);
        }
    }

    // The components count the totals, which are copied at each scrape.
    void set_total(const std::string& name, const std::string& help,
                   std::int64_t total, const prometheus::Labels& labels = {})
    {
        prometheus::Counter& counter = prometheus::BuildCounter()
                                           .Name("chicorydrum_" + name)
                                           .Help(help)
                                           .Register(this->registry)
                                           .Add(labels);
        const double increase = static_cast<double>(total) - counter.Value();
        if (increase > 0)
            counter.Increment(increase);
    }
};

entry_metrics::entry_metrics() : pimpl(std::make_unique<families>())
{
}

entry_metrics::~entry_metrics() = default;

void entry_metrics::observe_answer(shard::answer_kind kind,
                                   support::decision_clock::duration took)
{
    this->pimpl->answers
        .Add({{"answer", std::string(shard::name_of(kind))}}, answer_seconds)
        .Observe(support::in_seconds(took));
}

void entry_metrics::observe_stop(support::decision_clock::duration took)
{
    this->pimpl->stops.Observe(support::in_seconds(took));
}

void entry_metrics::observe_place(shard::place_outcome outcome,
                                  support::decision_clock::duration waited)
{
    this->pimpl->place_waits
        .Add({{"outcome", std::string(shard::name_of(outcome))}},
             place_wait_seconds)
        .Observe(support::in_seconds(waited));
}

void entry_metrics::observe_tick_gap(support::decision_clock::duration gap)
{
    this->pimpl->tick_gaps.Observe(support::in_seconds(gap));
}

std::string entry_metrics::scrape(const shard::entry_host& host,
                                  const entry_counts& counts)
{
    families& all = *this->pimpl;
    std::size_t jobs = 0;
    int tasks = 0;
    std::size_t endpoints = 0;
    for (const auto& [number, shard] : host.owned_shards())
    {
        jobs += shard->open_jobs();
        tasks += shard->running_tasks();
        endpoints += shard->endpoint_count();
    }
    all.set_total("requests_total", "Callers' requests.", this->requests);
    all.set_total("task_starts_total", "Starts sent to endpoints.",
                  this->starts);
    all.set_total("task_stops_total", "Stops sent to endpoints.", this->stops);
    all.set_total("endpoint_lists_total", "Lists asked of endpoints.",
                  this->lists);
    all.set_total("store_reads_total", "Reads sent to the store.",
                  this->store_reads);
    all.set_total("store_writes_total", "Writes sent to the store.",
                  this->store_writes);
    const shard::intake_counts& totals = host.intake_totals();
    for (std::size_t i = 0; i < shard::offer_places; ++i)
    {
        const std::string place(
            shard::name_of(static_cast<shard::offer_place>(i)));
        const shard::intake_counts::offers& offers = totals.offered[i];
        const char* const help = "Jobs offered to shards and answered.";
        all.set_total("offers_total", help, offers.accepted,
                      {{"place", place}, {"outcome", "accepted"}});
        all.set_total("offers_total", help, offers.refused,
                      {{"place", place}, {"outcome", "refused"}});
    }
    for (std::size_t i = 0; i < shard::refusal_causes; ++i)
        all.set_total("refusals_total", "Jobs refused as not run.",
                      totals.refused[i],
                      {{"cause", std::string(shard::name_of(
                                     static_cast<shard::refusal_cause>(i)))}});
    all.set_total("peer_sent_bytes_total", "Bytes sent to entry hosts.",
                  counts.peer_bytes_sent);
    all.set_total("peer_config_sent_bytes_total",
                  "Bytes of configurations sent to entry hosts.",
                  counts.peer_config_bytes_sent);
    all.set_total("peer_received_bytes_total",
                  "Bytes received from entry hosts.",
                  counts.peer_bytes_received);
    all.set("open_exchanges", "Callers' requests without a whole response.",
            static_cast<double>(counts.open_exchanges));
    all.set("open_jobs", "Jobs whose callers wait at this host.",
            static_cast<double>(host.open_jobs()));
    all.set("config_version", "Configuration version in force.",
            static_cast<double>(host.config().version()));
    all.set("connected_peers", "Entry hosts with an open link.",
            static_cast<double>(host.hosts().connected_peers().size()));
    all.set("store_available", "1 while the store answers.",
            host.store_is_available() ? 1 : 0);
    if (const auto age = host.endpoints_age())
        all.set("endpoints_age_seconds",
                "Time since the last good read of the endpoints was asked for.",
                support::in_seconds(*age));
    if (const auto age = host.config_age())
        all.set("config_age_seconds",
                "Time since the last good read of the configuration was asked "
                "for.",
                support::in_seconds(*age));
    all.set("config_lag_seconds",
            "Time for which a peer has had a configuration that has not "
            "arrived here.",
            support::in_seconds(host.config_lag()));
    all.set("evacuated_domains",
            "Domains that the operator has asked to evacuate.",
            static_cast<double>(host.evacuations().evacuated_domains().size()));
    all.set("evacuated", "1 while no task starts in this host's domain.",
            host.evacuations().is_evacuated(host.identity().domain) ? 1 : 0);
    all.set_kinds(host.run_times().kinds_now());
    if (const auto age = host.speed_report_age())
        all.set("speed_report_age_seconds",
                "Time since another host last told of run times.",
                support::in_seconds(*age));
    all.set("ready", "1 while new callers should come to this host.",
            host.is_ready() ? 1 : 0);
    all.set("owned_shards", "Shards that this host owns.",
            static_cast<double>(host.owned_shards().size()));
    all.set("shard_jobs", "Jobs in the owned shards.",
            static_cast<double>(jobs));
    all.set("shard_tasks", "Tasks that hold room on endpoints.", tasks);
    all.set("shard_endpoints", "Endpoints of the owned shards.",
            static_cast<double>(endpoints));
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(all.registry.Collect());
}

} // namespace chicorydrum::daemon
