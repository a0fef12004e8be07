#include "chicorydrum/decision/witness_record_batcher.hpp"

namespace chicorydrum::decision
{

namespace
{

constexpr std::size_t max_batch_records = 256;

} // namespace

schema::witness_record make_witness_record(const submission_record& record)
{
    schema::witness_record summary;
    summary.id = record.work.id;
    summary.digest = record.work.digest;
    summary.witnessed = record.witnessed;
    summary.finished = record.finished();
    if (summary.finished)
        summary.result = record.outcome;
    return summary;
}

void witness_record_batcher::add(const submission_record& record)
{
    const auto id = support::parse_submission_id(record.work.id);
    if (!id || !id->home || !id->home->witness ||
        !this->members.is_up(*id->home->witness))
        return;
    std::vector<schema::witness_record>& batch =
        this->batches[id->home->witness->host];
    batch.push_back(make_witness_record(record));
    if (batch.size() >= max_batch_records)
        this->flush();
}

void witness_record_batcher::flush()
{
    for (auto& [host, records] : this->batches)
    {
        schema::record_batch batch;
        batch.records = std::move(records);
        schema::peer_message message;
        message.__set_recorded(batch);
        this->out.push(send_to_peer{.host = host, .message = message});
    }
    this->batches.clear();
}

} // namespace chicorydrum::decision
