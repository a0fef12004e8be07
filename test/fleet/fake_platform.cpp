#include "fake_platform.hpp"

#include "chicorydrum/support/digest.hpp"

namespace chicorydrum::fleet
{

namespace
{

using decision::store_outcome;
using support::error_kind;
using support::milliseconds;

constexpr milliseconds read_latency{1};
constexpr milliseconds write_latency{5};
constexpr milliseconds slow_latency{700};
/// Request timeout of a host when the platform does not answer.
constexpr milliseconds request_timeout{1000};

} // namespace

bool fake_platform::is_reachable_from(const std::string& host) const
{
    return this->mode != platform_mode::down && !this->cut_off.contains(host);
}

event_queue::duration fake_platform::latency(bool is_write) const
{
    if (this->mode == platform_mode::slow)
        return slow_latency;
    return is_write ? write_latency : read_latency;
}

store_outcome
fake_platform::apply(const std::vector<decision::table_write>& writes_wanted)
{
    ++this->writes;
    for (const decision::table_write& write : writes_wanted)
        if (this->table[write.key].version != write.expected_version)
            return store_outcome::condition_failed;
    for (const decision::table_write& write : writes_wanted)
    {
        row& written = this->table[write.key];
        written.value = write.value;
        ++written.version;
    }
    return store_outcome::applied;
}

decision::bundle_store fake_platform::store_for(const std::string& host)
{
    const auto unavailable = []
    {
        return support::fail(error_kind::store_unavailable, "no answer");
    };
    return {
        .read =
            [this, host, unavailable](const std::string& key, auto done)
        {
            if (!this->is_reachable_from(host))
                return this->queue.after(request_timeout,
                                         [=] { done(unavailable()); });
            this->queue.after(
                this->latency(false),
                [this, key, done]
                {
                    const row& found = this->table[key];
                    done(decision::table_row{.value = found.value,
                                             .version = found.version});
                });
        },
        .transact =
            [this, host](std::vector<decision::table_write> wanted, auto done)
        {
            if (!this->is_reachable_from(host))
                return this->queue.after(request_timeout,
                                         [=] { done(store_outcome::unknown); });
            const auto half = this->latency(true) / 2;
            this->queue.after(
                half,
                [this, half, wanted, done]
                {
                    const store_outcome outcome = this->apply(wanted);
                    if (this->mode == platform_mode::lose_answers)
                        this->queue.after(request_timeout, [=]
                                          { done(store_outcome::unknown); });
                    else
                        this->queue.after(half, [=] { done(outcome); });
                });
        },
        .put_object =
            [this, host](const std::string& name, const std::string& bytes,
                         auto done)
        {
            const bool is_stored = this->is_reachable_from(host);
            if (is_stored)
                this->objects[name] = bytes;
            this->queue.after(this->latency(true), [=] { done(is_stored); });
        },
        .get_object =
            [this, host, unavailable](const std::string& name, auto done)
        {
            if (!this->is_reachable_from(host))
                return this->queue.after(request_timeout,
                                         [=] { done(unavailable()); });
            this->queue.after(this->latency(false),
                              [=, this]
                              {
                                  const std::string* const found =
                                      this->object(name);
                                  if (found == nullptr)
                                      done(unavailable());
                                  else
                                      done(*found);
                              });
        },
    };
}

decision::accepted_bundle fake_platform::accepted() const
{
    const auto found = this->table.find(decision::current_bundle_key);
    if (found == this->table.end())
        return {};
    return decision::parse_accepted_bundle(found->second.value)
        .value_or(decision::accepted_bundle{});
}

const std::string* fake_platform::object(const std::string& name) const
{
    const auto found = this->objects.find(name);
    return found == this->objects.end() ? nullptr : &found->second;
}

void fake_platform::preset_bundle(const std::string& text)
{
    decision::accepted_bundle first;
    first.version = 1;
    first.digest = support::sha256_hex(text);
    this->objects[decision::bundle_object_name(first.digest)] = text;
    this->apply({{.key = decision::current_bundle_key,
                  .value = decision::to_json(first),
                  .expected_version = 0}});
}

} // namespace chicorydrum::fleet
