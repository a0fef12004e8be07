/// \file
/// How a configuration spreads among entry hosts beside the store: which peer
/// is asked for a newer one, when, and what is on its way. Performs no input or
/// output itself.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"
#include "chicorydrum/support/log.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace chicorydrum::shard
{

struct config_spread_hooks
{
    std::function<void(const std::string& peer,
                       const schema::config_requested&)>
        request;
    std::function<void(const std::string& peer, const schema::config_part&)>
        send;
    /// A whole document has arrived from \p peer.
    std::function<void(std::string document, const std::string& peer)> received;
    std::function<void(const support::log_line&)> log;
};

struct config_spread_options
{
    /// How long this host's own read of the store has for a version that a peer
    /// has read, before a peer is asked for it.
    support::milliseconds store_patience{500};
    /// How long a peer has for the next part before another one is asked.
    support::milliseconds part_timeout{400};
    /// Pause before a peer is asked again that was late, or whose document did
    /// not bring this host further.
    support::milliseconds late_pause{1000};
    /// The same for a peer that sends to enough others.
    support::milliseconds busy_pause{100};
    /// Short enough that a heartbeat behind a part is not late: 7 ms on a link
    /// of 19 Mbit/s.
    std::size_t part_bytes = 16U << 10U;
    /// Parts that this host sends in a tick; see parts_for_link().
    int parts_per_tick = 1;
    /// Peers that this host sends to at the same time.
    std::size_t max_receivers = 4;
    /// A receiver that asks for nothing for this long makes room for others.
    support::milliseconds receiver_timeout{1000};
    std::size_t max_document_bytes = 4U << 20U;
    std::uint64_t seed = 0;
};

/// Returns how many parts a link of \p rate Mbit/s carries in about a third of
/// each tick.
int parts_for_link(double rate);

/// A host asks one peer at a time for one part at a time, so that at most one
/// part is on its way to it and the bytes of a change grow with the hosts that
/// need it, not with the pairs of hosts.
class config_spread
{
public:
    config_spread(config_spread_options opts, config_spread_hooks callbacks);

    /// The configuration that this host passes on.
    void set_active(std::int64_t version,
                    std::shared_ptr<const std::string> document);
    /// The newest version that has arrived here, from anywhere.
    void set_arrived(std::int64_t version);
    /// Whether this host's reads of the store fail, so that only peers are
    /// left.
    void set_store_fails(bool fails)
    {
        this->store_fails = fails;
    }
    /// \p peer has \p version in force; \p is_near says that it is of the same
    /// domain.
    void heard(const std::string& peer, std::int64_t version, bool is_near,
               support::instant now);
    /// A job that waits here needs \p version, which \p peer has: it is asked
    /// for without waiting for the store.
    void needed(const std::string& peer, std::int64_t version, bool is_near,
                support::instant now);
    void peer_lost(const std::string& peer);
    void requested(const std::string& peer,
                   const schema::config_requested& request,
                   support::instant now);
    void part_received(const std::string& peer, const schema::config_part& part,
                       support::instant now);
    void tick(support::instant now);

    /// Returns since when a version was heard of that has not arrived here.
    std::optional<support::instant> behind_since() const
    {
        return this->behind_from;
    }
    /// Returns the newest version that a connected peer has; 0 for none.
    std::int64_t newest_heard() const;

private:
    struct source
    {
        std::int64_t version = 0;
        bool is_near = false;
        /// It is not asked before.
        support::instant not_before = {};
    };
    /// A document of which parts have arrived. Another peer with the same
    /// version can continue it.
    struct partial_document
    {
        std::int64_t version = 0;
        std::size_t total = 0;
        std::string bytes = {};
    };
    struct receiver
    {
        std::shared_ptr<const std::string> document;
        std::int64_t version = 0;
        std::size_t offset = 0;
        /// The part at the offset was asked for and not sent yet.
        bool waits = false;
        support::instant asked_at;
    };

    /// Notes whether a newer version than the arrived one is heard of.
    void update_lag(support::instant now);
    /// Asks a peer for a newer version if that is due.
    void ask_if_due(support::instant now);
    std::map<std::string, source>::iterator choose_source(support::instant now);
    void request_next(support::instant now);
    /// Ends what is under way with the asked peer, which is not asked again for
    /// \p pause.
    void leave_source(support::milliseconds pause, support::instant now);
    void send_waiting_parts();
    void decline(const std::string& peer);

    config_spread_options options;
    config_spread_hooks hooks;
    std::minstd_rand random;
    std::int64_t active_version = 0;
    std::shared_ptr<const std::string> active_document;
    std::int64_t arrived_version = 0;
    /// The newest version that a job here has needed.
    std::int64_t needed_version = 0;
    bool store_fails = false;
    /// The connected peers that were heard.
    std::map<std::string, source> sources;
    std::optional<support::instant> behind_from;
    /// The peer that was asked for a part, if any.
    std::optional<std::string> asked;
    support::instant asked_at;
    partial_document partial;
    std::map<std::string, receiver> receivers;
    /// The receiver that was sent the last part; the next ones come first.
    std::string last_served;
    int parts_left = 0;
};

} // namespace chicorydrum::shard
