#include "chicorydrum/shard/messages.hpp"

#include "chicorydrum/support/digest.hpp"

#include <array>

namespace chicorydrum::shard
{

bool is_same_incarnation(const schema::endpoint_registration& one,
                         const schema::endpoint_registration& other)
{
    return one.born_ms == other.born_ms && one.address == other.address &&
           one.port == other.port;
}

int shard_of(const std::string& id, int shards)
{
    if (shards <= 1)
        return 0;
    // The digest spreads ids evenly; its first digits are enough.
    constexpr std::size_t digits = 8;
    const std::string digest = support::sha256_hex(id);
    const unsigned long value =
        std::stoul(digest.substr(0, digits), nullptr, 16);
    return static_cast<int>(value % static_cast<unsigned long>(shards));
}

std::string to_text(const task_key& task)
{
    return task.job + "/" + std::to_string(task.group) + "/" +
           std::to_string(task.index);
}

std::string_view name_of(order_status status)
{
    static constexpr std::array<std::string_view, 10> names = {
        "accepted",
        "stale_token",
        "stale_run",
        "expired",
        "insufficient_capacity",
        "unavailable",
        "other_incarnation",
        "malformed",
        "not_sent",
        "no_answer"};
    return names[static_cast<std::size_t>(status)];
}

std::string_view name_of(run_end end)
{
    static constexpr std::array<std::string_view, 6> names = {
        "done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<std::size_t>(end)];
}

std::string_view name_of(answer_kind kind)
{
    static constexpr std::array<std::string_view, 12> names = {
        "completed", "failed",        "not_run",     "no_config",
        "no_route",  "malformed",     "unknown_job", "cancelled",
        "running",   "waiting_count", "interrupted", "timed_out"};
    return names[static_cast<std::size_t>(kind)];
}

} // namespace chicorydrum::shard
