/// \file
/// Records on their way from an owner to its witnesses, off the path of the
/// request.
#pragma once

#include "chicorydrum/decision/membership.hpp"
#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/decision/submission_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace chicorydrum::decision
{

/// What a witness keeps of \p record.
schema::witness_record make_witness_record(const submission_record& record);

/// Collects records by witness and sends them in batches. What a witness that
/// is down should have got is dropped: its successor serves new ids only.
class witness_record_batcher
{
public:
    witness_record_batcher(const membership& peers, action_queue& actions)
        : members(peers), out(actions)
    {
    }

    void add(const submission_record& record);
    /// Sends everything that waits.
    void flush();
    void on_peer_disconnected(const std::string& host)
    {
        this->waiting.erase(host);
    }

private:
    const membership& members;
    action_queue& out;
    std::map<std::string, std::vector<schema::witness_record>> waiting;
};

} // namespace chicorydrum::decision
