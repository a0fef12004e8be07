#include "chicorydrum/transport/http_client.hpp"

#include "client_connect.hpp"
#include "connection_state.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include <libwebsockets.h>

namespace chicorydrum::transport
{

namespace
{

constexpr std::size_t read_chunk_bytes = 16U << 10U;

/// The library reuses connections within a virtual host. A channel is a virtual
/// host with at most one open request for each server, so that a pooled
/// connection is reused only while it is idle.
using channel_index = std::size_t;
constexpr channel_index no_channel = static_cast<channel_index>(-1);

/// The use of one channel by one server.
struct channel_state
{
    bool is_busy = false;
    /// The pooled connection, if no request uses it, else null.
    lws* idle = nullptr;
};

/// Returns whether the server has closed or reset an idle \p connection, or
/// has sent something that no request of ours asked for.
bool is_stale(lws* connection)
{
    return remote_state_of(connection) != remote_state::idle;
}

/// The channel that a request uses, if any, and its server as ADDRESS:PORT.
struct channel_reservation
{
    std::string server;
    channel_index channel = no_channel;
};

/// An idle pooled connection.
struct idle_connection
{
    channel_state* channel = nullptr;
    std::string address;
    int port = 0;
};

/// The first request id; 0 means no request.
constexpr std::uint64_t first_id = 1;

/// Returns the id of the request that uses \p connection, or 0. The user data
/// is an id and not a pointer, since the library may restore the initial value
/// when a connection opens and passes it to callbacks after the request has
/// ended.
std::uint64_t request_of(lws* connection)
{
    return reinterpret_cast<std::uintptr_t>(
        lws_get_opaque_user_data(connection));
}

/// A request that has no outcome yet.
struct open_request
{
    std::uint64_t id = 0;
    channel_reservation reservation;
    client_request request;
    std::function<void(client_outcome)> on_outcome;
    lws* connection = nullptr;
    std::size_t body_sent = 0;
    bool sent = false;
    bool timed_out = false;
    /// Set while open_connection() runs; no outcome may be reported meanwhile.
    bool connecting = false;
    bool ended_while_connecting = false;
    http_response response;
    std::unique_ptr<timer> deadline;
    /// Reports the outcome of a request that ended before send() returned.
    std::unique_ptr<timer> deferred_end;
};

bool add_header(lws* connection, const http_header& header,
                unsigned char** position, unsigned char* end)
{
    const std::string name = header.name + ":";
    return lws_add_http_header_by_name(
               connection, reinterpret_cast<const unsigned char*>(name.c_str()),
               reinterpret_cast<const unsigned char*>(header.value.c_str()),
               static_cast<int>(header.value.size()), position, end) == 0;
}

} // namespace

std::string_view name_of(client_error error)
{
    static constexpr std::array<std::string_view, 3> names = {
        "not_sent", "no_response", "timed_out"};
    return names[static_cast<std::size_t>(error)];
}

struct http_client::state
{
    explicit state(http_client_options opts) : options(std::move(opts))
    {
    }

    static int on_event(lws* connection, lws_callback_reasons reason,
                        void* user, void* in, std::size_t length);

    lws_vhost* make_vhost();
    std::vector<channel_state>& channels_of(const std::string& server);
    /// Returns a channel that no request uses, with an idle connection if there
    /// is one, or no_channel.
    channel_index free_channel(const std::string& server);
    channel_index reserve_channel(const std::string& server);
    void release_channel(const channel_reservation& reservation);
    void add_idle(const open_request& ended, lws* connection);
    void remove_idle(lws* connection);
    /// Closes an idle connection and reports that its server has closed it.
    void drop_idle(lws* connection);
    /// Reports an idle connection that its server has closed, after the present
    /// event.
    void report_closed(const idle_connection& closed);
    /// Returns whether the server of \p open has closed one of its
    /// connections, which the loop has not handled yet.
    bool has_closed_connection(const open_request& open);
    void abort(open_request& open);
    void connect(open_request& open);
    int append_headers(open_request& open, void* in, std::size_t length);
    int write_body(open_request& open);
    static int receive(lws* connection);
    int append_body(open_request& open, const char* bytes, std::size_t length);
    void capture_headers(open_request& open, lws* connection);
    void time_out(std::uint64_t id);
    void defer_finish(open_request& open);
    int complete(std::uint64_t id, lws* connection);
    void finish(std::uint64_t id);
    void handle_closed(std::uint64_t id);

    http_client_options options;
    /// The client was destroyed; its connections may still be open.
    bool is_destroyed = false;
    lws_protocols protocols[2] = {};
    /// For requests with a dedicated connection.
    lws_vhost* vhost = nullptr;
    std::vector<lws_vhost*> channels;
    std::unordered_map<std::string, std::vector<channel_state>>
        channels_by_server;
    std::unordered_map<lws*, idle_connection> idle;
    /// Reports closed idle connections after the event that showed it.
    std::vector<idle_connection> closed;
    std::unique_ptr<timer> closed_report;
    std::uint64_t next_id = first_id;
    std::unordered_map<std::uint64_t, std::unique_ptr<open_request>> requests;
    /// The channels of requests whose outcome is reported while their
    /// connection is still closing. They stay busy until it has closed.
    std::unordered_map<std::uint64_t, channel_reservation> closing;
};

lws_vhost* http_client::state::make_vhost()
{
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = this->protocols;
    info.user = this;
    info.vhost_name = "http-client";
    lws_vhost* const created =
        lws_create_vhost(this->options.loop.context(), &info);
    if (created == nullptr)
        throw std::runtime_error("cannot create the HTTP client");
    return created;
}

std::vector<channel_state>&
http_client::state::channels_of(const std::string& server)
{
    std::vector<channel_state>& all = this->channels_by_server[server];
    // Never resized again, since idle connections point into the vector.
    if (all.empty())
        all.resize(this->channels.size());
    return all;
}

channel_index http_client::state::free_channel(const std::string& server)
{
    const std::vector<channel_state>& all = this->channels_of(server);
    channel_index free = no_channel;
    for (channel_index channel = 0; channel < all.size(); ++channel)
    {
        if (all[channel].is_busy)
            continue;
        if (all[channel].idle != nullptr)
            return channel;
        if (free == no_channel)
            free = channel;
    }
    return free;
}

channel_index http_client::state::reserve_channel(const std::string& server)
{
    const channel_index channel = this->free_channel(server);
    if (channel == no_channel)
        return no_channel;
    channel_state& reserved = this->channels_of(server)[channel];
    reserved.is_busy = true;
    // The library crashes if a request reuses a connection that was reset since
    // the last poll.
    if (reserved.idle != nullptr && is_stale(reserved.idle))
        this->drop_idle(reserved.idle);
    return channel;
}

void http_client::state::release_channel(const channel_reservation& reservation)
{
    if (reservation.channel != no_channel)
        this->channels_by_server[reservation.server][reservation.channel]
            .is_busy = false;
}

void http_client::state::add_idle(const open_request& ended, lws* connection)
{
    channel_state& channel =
        this->channels_by_server[ended.reservation.server]
                                [ended.reservation.channel];
    channel.idle = connection;
    this->idle[connection] = {.channel = &channel,
                              .address = ended.request.address,
                              .port = ended.request.port};
}

void http_client::state::remove_idle(lws* connection)
{
    const auto found = this->idle.find(connection);
    if (found == this->idle.end())
        return;
    channel_state& channel = *found->second.channel;
    // The channel may hold a newer connection by now. A busy one has passed its
    // connection on to the request.
    if (channel.idle == connection)
        channel.idle = nullptr;
    if (!channel.is_busy)
        this->report_closed(found->second);
    this->idle.erase(found);
}

void http_client::state::drop_idle(lws* connection)
{
    this->report_closed(this->idle.at(connection));
    lws_set_timeout(connection, PENDING_TIMEOUT_USER_REASON_BASE,
                    LWS_TO_KILL_SYNC);
}

void http_client::state::report_closed(const idle_connection& connection)
{
    if (!this->options.on_idle_closed)
        return;
    this->closed.push_back(connection);
    if (!this->closed_report)
        this->closed_report =
            std::make_unique<timer>(this->options.loop.make_timer(
                [this]
                {
                    const auto reported = std::exchange(this->closed, {});
                    for (const idle_connection& one : reported)
                        this->options.on_idle_closed(one.address, one.port);
                }));
    this->closed_report->start(support::microseconds(1));
}

bool http_client::state::has_closed_connection(const open_request& open)
{
    const std::string server =
        open.request.address + ":" + std::to_string(open.request.port);
    const channel_index free = this->free_channel(server);
    // An idle connection that is going to be used again shows the server's
    // state. A new one does not, but those of other requests may.
    if (free != no_channel && this->channels_of(server)[free].idle != nullptr)
        return is_stale(this->channels_of(server)[free].idle);
    return std::any_of(this->requests.begin(), this->requests.end(),
                       [&server, &open](const auto& entry)
                       {
                           const open_request& other = *entry.second;
                           return &other != &open && other.sent &&
                                  other.connection != nullptr &&
                                  other.reservation.server == server &&
                                  remote_state_of(other.connection) ==
                                      remote_state::closed;
                       });
}

void http_client::state::connect(open_request& open)
{
    const bool is_unusable =
        open.request.needs_same_server && this->has_closed_connection(open);
    const std::string server =
        open.request.address + ":" + std::to_string(open.request.port);
    open.reservation = {.server = server,
                        .channel = this->reserve_channel(server)};
    if (is_unusable)
    {
        this->report_closed(
            {.address = open.request.address, .port = open.request.port});
        this->defer_finish(open);
        return;
    }
    const bool is_pooled = open.reservation.channel != no_channel;
    // The library finds pooled connections by comparing the address with the
    // host, which therefore must not contain the port.
    const std::string& requested_host =
        open.request.host.empty() ? server : open.request.host;
    const std::string& host = is_pooled ? open.request.address : requested_host;
    const std::string method(name_of(open.request.method));
    lws_client_connect_info info{};
    info.context = this->options.loop.context();
    info.vhost =
        is_pooled ? this->channels[open.reservation.channel] : this->vhost;
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    if (is_pooled)
        info.ssl_connection |= LCCSCF_PIPELINE;
    info.keep_warm_secs =
        static_cast<std::uint16_t>(this->options.idle_timeout.count());
    info.address = open.request.address.c_str();
    info.port = open.request.port;
    info.path = open.request.path.c_str();
    info.host = host.c_str();
    info.method = method.c_str();
    info.protocol = this->protocols[0].name;
    info.local_protocol_name = this->protocols[0].name;
    info.opaque_user_data = reinterpret_cast<void*>(open.id);
    info.pwsi = &open.connection;
    open.connecting = true;
    const bool is_connecting = open_connection(info) != nullptr;
    open.connecting = false;
    if (is_connecting && !open.ended_while_connecting)
        return;
    // The connection has already closed; reports the outcome after send().
    open.connection = nullptr;
    this->defer_finish(open);
}

void http_client::state::defer_finish(open_request& open)
{
    const std::uint64_t id = open.id;
    open.deferred_end = std::make_unique<timer>(
        this->options.loop.make_timer([this, id] { this->finish(id); }));
    open.deferred_end->start(support::microseconds(1));
}

int http_client::state::append_headers(open_request& open, void* in,
                                       std::size_t length)
{
    auto** const position = static_cast<unsigned char**>(in);
    unsigned char* const end = *position + length;
    open.sent = true;
    for (const http_header& header : open.request.headers)
        if (!add_header(open.connection, header, position, end))
            return -1;
    if (open.request.method == http_method::get)
        return 0;
    const http_header type{.name = "content-type", .value = "application/json"};
    const http_header size{.name = "content-length",
                           .value = std::to_string(open.request.body.size())};
    if (!add_header(open.connection, type, position, end) ||
        !add_header(open.connection, size, position, end))
        return -1;
    if (!open.request.body.empty())
    {
        lws_client_http_body_pending(open.connection, 1);
        lws_callback_on_writable(open.connection);
    }
    return 0;
}

int http_client::state::write_body(open_request& open)
{
    const std::string& body = open.request.body;
    if (open.body_sent == body.size())
        return 0;
    constexpr std::size_t chunk_bytes = 64U << 10U;
    const std::size_t length =
        std::min(chunk_bytes, body.size() - open.body_sent);
    std::string buffer(LWS_PRE, '\0');
    buffer.append(body, open.body_sent, length);
    open.body_sent += length;
    const bool is_last = open.body_sent == body.size();
    if (is_last)
        lws_client_http_body_pending(open.connection, 0);
    const int written =
        lws_write(open.connection,
                  reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE,
                  length, is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (written < 0)
        return -1;
    if (!is_last)
        lws_callback_on_writable(open.connection);
    return 0;
}

int http_client::state::receive(lws* connection)
{
    std::array<char, LWS_PRE + read_chunk_bytes> buffer{};
    char* position = buffer.data() + LWS_PRE;
    int length = static_cast<int>(read_chunk_bytes);
    // Triggers LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ for each chunk and
    // LWS_CALLBACK_COMPLETED_CLIENT_HTTP, which destroys the request.
    return lws_http_client_read(connection, &position, &length) < 0 ? -1 : 0;
}

int http_client::state::append_body(open_request& open, const char* bytes,
                                    std::size_t length)
{
    if (open.response.body.size() + length > this->options.max_response_bytes)
        return -1;
    open.response.body.append(bytes, length);
    return 0;
}

void http_client::state::capture_headers(open_request& open, lws* connection)
{
    open.response.status =
        static_cast<int>(lws_http_client_http_response(connection));
    for (const std::string& name : this->options.captured_headers)
    {
        const std::string key = name + ":";
        std::array<char, 1024> value{};
        const int copied = lws_hdr_custom_copy(
            connection, value.data(), static_cast<int>(value.size()),
            key.c_str(), static_cast<int>(key.size()));
        if (copied > 0)
            open.response.headers.push_back(
                {.name = name, .value = value.data()});
    }
}

void http_client::state::time_out(std::uint64_t id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    found->second->timed_out = true;
    this->abort(*found->second);
}

/// Reports the outcome of a request whose connection is still open, and closes
/// the connection.
void http_client::state::abort(open_request& open)
{
    const std::uint64_t id = open.id;
    if (open.connection != nullptr)
    {
        lws_set_timeout(open.connection, PENDING_TIMEOUT_USER_REASON_BASE,
                        LWS_TO_KILL_ASYNC);
        this->closing[id] = std::exchange(open.reservation, {});
    }
    this->finish(id);
}

void http_client::state::finish(std::uint64_t id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    const std::unique_ptr<open_request> ended = std::move(found->second);
    this->requests.erase(found);
    this->release_channel(ended->reservation);
    if (!ended->sent)
        ended->on_outcome(tl::unexpected(client_error::not_sent));
    else if (ended->timed_out)
        ended->on_outcome(tl::unexpected(client_error::timed_out));
    else
        ended->on_outcome(tl::unexpected(client_error::no_response));
}

/// Handles the end of the connection of request \p id.
void http_client::state::handle_closed(std::uint64_t id)
{
    if (const auto reservation = this->closing.find(id);
        reservation != this->closing.end())
    {
        this->release_channel(reservation->second);
        this->closing.erase(reservation);
        return;
    }
    const auto found = this->requests.find(id);
    if (found != this->requests.end() && found->second->connecting)
        found->second->ended_while_connecting = true;
    else
        this->finish(id);
}

int http_client::state::complete(std::uint64_t id, lws* connection)
{
    const auto found = this->requests.find(id);
    const std::unique_ptr<open_request> ended = std::move(found->second);
    this->requests.erase(found);
    const bool is_pooled = ended->reservation.channel != no_channel;
    if (is_pooled)
        this->add_idle(*ended, connection);
    ended->on_outcome(std::move(ended->response));
    // The library can reuse the connection only after this event, so the
    // channel is still busy while the callback sends new requests.
    this->release_channel(ended->reservation);
    return is_pooled ? 0 : -1;
}

int http_client::state::on_event(lws* connection, lws_callback_reasons reason,
                                 void* user, void* in, std::size_t length)
{
    lws_vhost* const vhost = lws_get_vhost(connection);
    if (vhost == nullptr)
        return 0;
    auto* const self = static_cast<state*>(lws_vhost_user(vhost));
    if (self != nullptr && self->is_destroyed)
        return 0;
    if (self != nullptr && reason == LWS_CALLBACK_WSI_DESTROY)
        self->remove_idle(connection);
    const std::uint64_t id = request_of(connection);
    if (self == nullptr || id < first_id)
        return lws_callback_http_dummy(connection, reason, user, in, length);
    const bool is_closing = reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR ||
                            reason == LWS_CALLBACK_CLOSED_CLIENT_HTTP ||
                            reason == LWS_CALLBACK_WSI_DESTROY;
    if (is_closing)
    {
        lws_set_opaque_user_data(connection, nullptr);
        self->handle_closed(id);
        return 0;
    }
    const auto found = self->requests.find(id);
    // The outcome is already reported: only closing events matter.
    if (found == self->requests.end())
        return -1;
    open_request& open = *found->second;
    switch (reason)
    {
    case LWS_CALLBACK_WSI_CREATE:
    case LWS_CALLBACK_CLIENT_HTTP_BIND_PROTOCOL:
        return 0;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        // With a pooled connection this runs before connect() returns.
        open.connection = connection;
        return self->append_headers(open, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return self->write_body(open);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        self->capture_headers(open, connection);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return receive(connection);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return self->append_body(open, static_cast<const char*>(in), length);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        lws_set_opaque_user_data(connection, nullptr);
        return self->complete(id, connection);
    default:
        return lws_callback_http_dummy(connection, reason, user, in, length);
    }
}

http_client::http_client(http_client_options options)
    : owned_state(std::make_unique<state>(std::move(options)))
{
    state& self = *this->owned_state;
    self.protocols[0].name = "http-client";
    self.protocols[0].callback = &state::on_event;
    self.vhost = self.make_vhost();
    for (std::size_t i = 0; i < self.options.max_pooled_connections; ++i)
        self.channels.push_back(self.make_vhost());
}

http_client::~http_client()
{
    // Open requests are dropped without an outcome.
    state& self = *this->owned_state;
    self.is_destroyed = true;
    self.requests.clear();
    self.closed_report.reset();
    lws_vhost_destroy(self.vhost);
    for (lws_vhost* const channel : self.channels)
        lws_vhost_destroy(channel);
    self.options.loop.retire(std::move(this->owned_state));
}

void http_client::send(client_request request,
                       std::function<void(client_outcome)> on_outcome)
{
    state& self = *this->owned_state;
    auto created = std::make_unique<open_request>();
    open_request& open = *created;
    open.id = self.next_id++;
    open.request = std::move(request);
    open.on_outcome = std::move(on_outcome);
    const std::uint64_t id = open.id;
    open.deadline = std::make_unique<timer>(
        self.options.loop.make_timer([&self, id] { self.time_out(id); }));
    open.deadline->start(open.request.timeout);
    self.requests.emplace(id, std::move(created));
    self.connect(open);
}

std::size_t http_client::open_requests() const
{
    return this->owned_state->requests.size();
}

} // namespace chicorydrum::transport
