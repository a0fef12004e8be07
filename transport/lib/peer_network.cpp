#include "chicorydrum/transport/peer_network.hpp"

#include "client_connect.hpp"

#include <array>
#include <deque>
#include <stdexcept>
#include <unordered_map>

#include <arpa/inet.h>
#include <libwebsockets.h>

namespace chicorydrum::transport
{

namespace
{

constexpr std::size_t length_prefix_bytes = 4;
constexpr std::size_t write_chunk_bytes = 256U << 10U;
/// Consumed bytes are erased from the receive buffer beyond this offset.
constexpr std::size_t compact_threshold_bytes = 64U << 10U;

struct link
{
    link_id id = 0;
    /// Null until the link is open.
    lws* connection = nullptr;
    /// The connection attempt that is in progress, or null.
    lws* dialling = nullptr;
    std::string received;
    std::size_t received_consumed = 0;
    std::string unsent;
    std::size_t unsent_written = 0;
    bool closing = false;
    bool connecting = false;
    bool ended_while_connecting = false;
    std::unique_ptr<timer> deferred_end;
};

std::uint32_t read_length(const char* bytes)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < length_prefix_bytes; ++i)
        value = (value << 8U) | static_cast<unsigned char>(bytes[i]);
    return value;
}

void append_length(std::string& out, std::uint32_t value)
{
    for (int shift = 24; shift >= 0; shift -= 8)
        out +=
            static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
}

} // namespace

struct peer_network::state
{
    explicit state(peer_network_options opts) : options(std::move(opts))
    {
    }

    static int on_event(lws* connection, lws_callback_reasons reason,
                        void* user, void* in, std::size_t length);

    link& add(lws* connection);
    link* find(link_id id);
    void open(link& opened);
    int receive(link& from, const char* bytes, std::size_t length);
    int write(link& to);
    void end(link_id id);

    peer_network_options options;
    /// The network was destroyed; its connections may still be open.
    bool is_destroyed = false;
    lws_protocols protocols[2] = {};
    lws_vhost* vhost = nullptr;
    link_id next_id = 1;
    std::unordered_map<link_id, std::unique_ptr<link>> links;
};

link& peer_network::state::add(lws* connection)
{
    auto created = std::make_unique<link>();
    link& added = *created;
    added.id = this->next_id++;
    added.connection = connection;
    this->links.emplace(added.id, std::move(created));
    return added;
}

link* peer_network::state::find(link_id id)
{
    const auto found = this->links.find(id);
    return found == this->links.end() ? nullptr : found->second.get();
}

void peer_network::state::open(link& opened)
{
    std::array<char, INET6_ADDRSTRLEN> address{};
    lws_get_peer_simple(opened.connection, address.data(), address.size());
    this->options.on_open(opened.id, address.data());
}

int peer_network::state::receive(link& from, const char* bytes,
                                 std::size_t length)
{
    from.received.append(bytes, length);
    while (!from.closing)
    {
        const std::size_t available =
            from.received.size() - from.received_consumed;
        if (available < length_prefix_bytes)
            break;
        const char* const start = from.received.data() + from.received_consumed;
        const std::size_t frame_bytes = read_length(start);
        if (frame_bytes > this->options.max_frame_bytes)
            return -1;
        if (available < length_prefix_bytes + frame_bytes)
            break;
        std::string frame(start + length_prefix_bytes, frame_bytes);
        from.received_consumed += length_prefix_bytes + frame_bytes;
        this->options.on_frame(from.id, std::move(frame));
    }
    if (from.received_consumed == from.received.size() ||
        from.received_consumed > compact_threshold_bytes)
    {
        from.received.erase(0, from.received_consumed);
        from.received_consumed = 0;
    }
    return from.closing ? -1 : 0;
}

int peer_network::state::write(link& to)
{
    const std::size_t length =
        std::min(write_chunk_bytes, to.unsent.size() - to.unsent_written);
    if (length == 0)
        return to.closing ? -1 : 0;
    std::string buffer(LWS_PRE, '\0');
    buffer.append(to.unsent, to.unsent_written, length);
    const int written =
        lws_write(to.connection,
                  reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE,
                  length, LWS_WRITE_RAW);
    if (written < 0)
        return -1;
    to.unsent_written += length;
    if (to.unsent_written == to.unsent.size())
    {
        to.unsent.clear();
        to.unsent_written = 0;
        return to.closing ? -1 : 0;
    }
    lws_callback_on_writable(to.connection);
    return 0;
}

void peer_network::state::end(link_id id)
{
    if (this->links.erase(id) > 0)
        this->options.on_close(id);
}

int peer_network::state::on_event(lws* connection, lws_callback_reasons reason,
                                  void* /*user*/, void* in, std::size_t length)
{
    lws_vhost* const vhost = lws_get_vhost(connection);
    if (vhost == nullptr)
        return 0;
    auto* const self = static_cast<state*>(lws_vhost_user(vhost));
    if (self == nullptr || self->is_destroyed)
        return 0;
    // An id and not a pointer, since the library may restore the initial value
    // when a connection opens.
    const link_id id =
        reinterpret_cast<std::uintptr_t>(lws_get_opaque_user_data(connection));
    link* const known = self->find(id);
    switch (reason)
    {
    case LWS_CALLBACK_RAW_ADOPT:
    {
        link& added = self->add(connection);
        lws_set_opaque_user_data(connection, reinterpret_cast<void*>(added.id));
        lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
        self->open(added);
        return 0;
    }
    case LWS_CALLBACK_RAW_CONNECTED:
        if (known == nullptr)
            return -1;
        known->connection = connection;
        known->dialling = nullptr;
        lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
        self->open(*known);
        return 0;
    case LWS_CALLBACK_RAW_RX:
        if (known == nullptr)
            return -1;
        return self->receive(*known, static_cast<const char*>(in), length);
    case LWS_CALLBACK_RAW_WRITEABLE:
        return known == nullptr ? -1 : self->write(*known);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        if (known == nullptr)
            return 0;
        lws_set_opaque_user_data(connection, nullptr);
        if (known->connecting)
            known->ended_while_connecting = true;
        else
            self->end(known->id);
        return 0;
    default:
        return 0;
    }
}

peer_network::peer_network(peer_network_options options)
    : owned_state(std::make_unique<state>(std::move(options)))
{
    state& self = *this->owned_state;
    self.protocols[0].name = "peer";
    self.protocols[0].callback = &state::on_event;
    lws_context_creation_info info{};
    info.port = self.options.port;
    info.iface = self.options.address.c_str();
    info.protocols = self.protocols;
    info.user = &self;
    info.vhost_name = "peer";
    info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = "peer";
    info.connect_timeout_secs = 2;
    self.vhost = lws_create_vhost(self.options.loop.context(), &info);
    if (self.vhost == nullptr)
        throw std::runtime_error("cannot listen on " + self.options.address +
                                 ":" + std::to_string(self.options.port));
}

peer_network::~peer_network()
{
    // Open links are dropped without a call of on_close.
    state& self = *this->owned_state;
    self.is_destroyed = true;
    self.links.clear();
    lws_vhost_destroy(self.vhost);
    self.options.loop.retire(std::move(this->owned_state));
}

link_id peer_network::dial(const std::string& address, int port)
{
    state& self = *this->owned_state;
    link& dialled = self.add(nullptr);
    const link_id id = dialled.id;
    lws_client_connect_info info{};
    info.context = self.options.loop.context();
    info.vhost = self.vhost;
    info.address = address.c_str();
    info.host = address.c_str();
    info.port = port;
    info.method = "RAW";
    info.local_protocol_name = "peer";
    info.opaque_user_data = reinterpret_cast<void*>(id);
    dialled.connecting = true;
    lws* const dialling = open_connection(info);
    dialled.connecting = false;
    if (dialling != nullptr && !dialled.ended_while_connecting)
    {
        if (dialled.connection == nullptr)
            dialled.dialling = dialling;
        return id;
    }
    dialled.deferred_end = std::make_unique<timer>(
        self.options.loop.make_timer([&self, id] { self.end(id); }));
    dialled.deferred_end->start(support::microseconds(1));
    return id;
}

void peer_network::send(link_id to, std::string_view frame)
{
    state& self = *this->owned_state;
    link* const target = self.find(to);
    if (target == nullptr || target->connection == nullptr || target->closing)
        return;
    append_length(target->unsent, static_cast<std::uint32_t>(frame.size()));
    target->unsent.append(frame);
    if (target->unsent.size() - target->unsent_written >
        self.options.max_unsent_bytes)
    {
        this->close(to);
        return;
    }
    lws_callback_on_writable(target->connection);
}

void peer_network::close(link_id id)
{
    link* const target = this->owned_state->find(id);
    if (target == nullptr || target->closing)
        return;
    lws* const ended =
        target->connection != nullptr ? target->connection : target->dialling;
    if (ended == nullptr)
        return;
    target->closing = true;
    lws_set_timeout(ended, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

std::size_t peer_network::unsent_bytes() const
{
    std::size_t total = 0;
    for (const auto& [id, open] : this->owned_state->links)
        total += open->unsent.size() - open->unsent_written;
    return total;
}

} // namespace chicorydrum::transport
