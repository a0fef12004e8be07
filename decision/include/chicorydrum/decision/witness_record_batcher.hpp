/// \file
/// Asynchronous replication of an owner's records to its witnesses.
#pragma once

#include "chicorydrum/decision/membership.hpp"
#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/decision/submission_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace chicorydrum::decision
{

/// Returns the part of \p record that a witness keeps.
schema::witness_record make_witness_record(const submission_record& record);

/// Collects records by witness and sends them in batches. Records for a witness
/// that is down are dropped, as its successor serves only new ids.
class witness_record_batcher
{
public:
    witness_record_batcher(const membership& peers, action_queue& actions)
        : members(peers), out(actions)
    {
    }

    void add(const submission_record& record);
    /// Sends all collected records.
    void flush();
    void on_peer_disconnected(const std::string& host)
    {
        this->batches.erase(host);
    }

private:
    const membership& members;
    action_queue& out;
    std::map<std::string, std::vector<schema::witness_record>> batches;
};

} // namespace chicorydrum::decision
