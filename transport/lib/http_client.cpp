#include "chicorydrum/transport/http_client.hpp"

#include <array>
#include <cerrno>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include <libwebsockets.h>
#include <sys/socket.h>

namespace chicorydrum::transport
{

namespace
{

constexpr std::size_t read_chunk_bytes = 16U << 10U;

/// The library shares connections within a virtual host. A lane is a virtual
/// host in which at most one request for each server is open, so that a kept
/// connection is only ever taken over when it is idle.
using lane_number = std::size_t;
constexpr lane_number no_lane = static_cast<lane_number>(-1);

/// One lane to one server.
struct lane_state
{
    bool is_busy = false;
    /// The kept connection that no request uses, or null.
    lws* idle = nullptr;
};

/// Whether the server has closed or reset \p connection.
bool is_stale(lws* connection)
{
    char byte = 0;
    const ssize_t count = ::recv(lws_get_socket_fd(connection), &byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    const bool is_open = count < 0 && (errno == EAGAIN || errno == EINTR);
    return !is_open;
}

/// The lane that a request has claimed, if any, and its server as
/// ADDRESS:PORT.
struct lane_claim
{
    std::string server;
    lane_number lane = no_lane;
};

/// Ids of requests begin here, so that none looks like no request.
constexpr std::uint64_t first_id = 1;

/// The id of the request that \p connection is for, or 0. Not a pointer: the
/// library may restore the value of the dial when a connection opens, and
/// hands it to callbacks after the request's end.
std::uint64_t request_of(lws* connection)
{
    return reinterpret_cast<std::uintptr_t>(
        lws_get_opaque_user_data(connection));
}

/// One request on its connection.
struct open_request
{
    std::uint64_t id = 0;
    lane_claim claim;
    client_request request;
    std::function<void(client_outcome)> on_outcome;
    lws* connection = nullptr;
    std::size_t body_sent = 0;
    bool sent = false;
    bool timed_out = false;
    /// While lws_client_connect_via_info() runs, no outcome may be given.
    bool connecting = false;
    bool ended_while_connecting = false;
    http_response response;
    std::unique_ptr<timer> deadline;
    /// Runs the outcome of a request that ended before send() returned.
    std::unique_ptr<timer> early_end;
};

/// The reason phrase does not matter, only the numeric status.
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
    explicit state(http_client_options given) : options(std::move(given))
    {
    }

    static int on_event(lws* connection, lws_callback_reasons reason,
                        void* user, void* in, std::size_t length);

    lws_vhost* make_vhost();
    lane_number claim_lane(const std::string& server);
    void release_lane(const lane_claim& claim);
    void note_idle(const lane_claim& claim, lws* connection);
    void forget_idle(lws* connection);
    void detach(open_request& open);
    void connect(open_request& open);
    int append_headers(open_request& open, void* in, std::size_t length);
    int write_body(open_request& open);
    static int receive(lws* connection);
    int keep(open_request& open, const char* bytes, std::size_t length);
    void keep_headers(open_request& open, lws* connection);
    void time_out(std::uint64_t id);
    void finish_later(open_request& open);
    int complete(std::uint64_t id, lws* connection);
    void finish(std::uint64_t id);
    void closed(std::uint64_t id);

    http_client_options options;
    /// The client is gone; its connections are still to be closed.
    bool has_ended = false;
    lws_protocols protocols[2] = {};
    /// For requests with a connection of their own.
    lws_vhost* vhost = nullptr;
    std::vector<lws_vhost*> lanes;
    std::unordered_map<std::string, std::vector<lane_state>> lanes_of;
    /// The lane of each idle connection.
    std::unordered_map<lws*, lane_state*> idle;
    std::uint64_t next_id = first_id;
    std::unordered_map<std::uint64_t, std::unique_ptr<open_request>> requests;
    /// Claims of requests that got their outcome while their connection still
    /// closes. Their lane stays busy until it has closed.
    std::unordered_map<std::uint64_t, lane_claim> closing;
};

lws_vhost* http_client::state::make_vhost()
{
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = this->protocols;
    info.user = this;
    info.vhost_name = "http-client";
    lws_vhost* const made =
        lws_create_vhost(this->options.loop.context(), &info);
    if (made == nullptr)
        throw std::runtime_error("cannot create the HTTP client");
    return made;
}

lane_number http_client::state::claim_lane(const std::string& server)
{
    std::vector<lane_state>& all = this->lanes_of[server];
    // Sized once, since idle connections point to their lanes.
    if (all.empty())
        all.resize(this->lanes.size());
    for (lane_number lane = 0; lane < all.size(); ++lane)
    {
        if (all[lane].is_busy)
            continue;
        all[lane].is_busy = true;
        // The library does not survive a request on a connection that was
        // reset since its last look.
        if (all[lane].idle != nullptr && is_stale(all[lane].idle))
            lws_set_timeout(all[lane].idle, PENDING_TIMEOUT_USER_REASON_BASE,
                            LWS_TO_KILL_SYNC);
        return lane;
    }
    return no_lane;
}

void http_client::state::release_lane(const lane_claim& claim)
{
    if (claim.lane != no_lane)
        this->lanes_of[claim.server][claim.lane].is_busy = false;
}

void http_client::state::note_idle(const lane_claim& claim, lws* connection)
{
    lane_state& lane = this->lanes_of[claim.server][claim.lane];
    lane.idle = connection;
    this->idle[connection] = &lane;
}

void http_client::state::forget_idle(lws* connection)
{
    const auto found = this->idle.find(connection);
    if (found == this->idle.end())
        return;
    // The lane may hold a newer connection by now.
    if (found->second->idle == connection)
        found->second->idle = nullptr;
    this->idle.erase(found);
}

void http_client::state::connect(open_request& open)
{
    const std::string server =
        open.request.address + ":" + std::to_string(open.request.port);
    open.claim = {.server = server, .lane = this->claim_lane(server)};
    const bool is_kept = open.claim.lane != no_lane;
    // The library finds kept connections by comparing the address with the
    // host, so that the host must do without the port there.
    const std::string& own_host =
        open.request.host.empty() ? server : open.request.host;
    const std::string& host = is_kept ? open.request.address : own_host;
    const std::string method(name_of(open.request.method));
    lws_client_connect_info info{};
    info.context = this->options.loop.context();
    info.vhost = is_kept ? this->lanes[open.claim.lane] : this->vhost;
    info.ssl_connection = is_kept ? LCCSCF_PIPELINE : 0;
    info.keep_warm_secs =
        static_cast<std::uint16_t>(this->options.idle_timeout.count());
    info.address = open.request.address.c_str();
    info.port = open.request.port;
    info.path = open.request.path.c_str();
    info.host = host.c_str();
    info.origin = host.c_str();
    info.method = method.c_str();
    info.protocol = this->protocols[0].name;
    info.local_protocol_name = this->protocols[0].name;
    info.opaque_user_data = reinterpret_cast<void*>(open.id);
    info.pwsi = &open.connection;
    open.connecting = true;
    const bool is_connecting = lws_client_connect_via_info(&info) != nullptr;
    open.connecting = false;
    if (is_connecting && !open.ended_while_connecting)
        return;
    // The connection is gone already; the outcome follows after send().
    open.connection = nullptr;
    this->finish_later(open);
}

void http_client::state::finish_later(open_request& open)
{
    const std::uint64_t id = open.id;
    open.early_end = std::make_unique<timer>(
        this->options.loop.make_timer([this, id] { this->finish(id); }));
    open.early_end->start(support::microseconds(1));
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
    // Leads to LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ for each piece, and to
    // LWS_CALLBACK_COMPLETED_CLIENT_HTTP, after which the request is gone.
    return lws_http_client_read(connection, &position, &length) < 0 ? -1 : 0;
}

int http_client::state::keep(open_request& open, const char* bytes,
                             std::size_t length)
{
    if (open.response.body.size() + length > this->options.max_response_bytes)
        return -1;
    open.response.body.append(bytes, length);
    return 0;
}

void http_client::state::keep_headers(open_request& open, lws* connection)
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
    this->detach(*found->second);
}

/// Gives the outcome of a request whose connection is still open, and closes
/// the connection.
void http_client::state::detach(open_request& open)
{
    const std::uint64_t id = open.id;
    if (open.connection != nullptr)
    {
        lws_set_timeout(open.connection, PENDING_TIMEOUT_USER_REASON_BASE,
                        LWS_TO_KILL_ASYNC);
        this->closing[id] = std::exchange(open.claim, {});
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
    this->release_lane(ended->claim);
    if (!ended->sent)
        ended->on_outcome(tl::unexpected(client_error::not_sent));
    else if (ended->timed_out)
        ended->on_outcome(tl::unexpected(client_error::timed_out));
    else
        ended->on_outcome(tl::unexpected(client_error::no_response));
}

/// The connection of request \p id is gone.
void http_client::state::closed(std::uint64_t id)
{
    if (const auto claim = this->closing.find(id); claim != this->closing.end())
    {
        this->release_lane(claim->second);
        this->closing.erase(claim);
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
    const bool is_kept = ended->claim.lane != no_lane;
    if (is_kept)
        this->note_idle(ended->claim, connection);
    ended->on_outcome(std::move(ended->response));
    // The library takes the connection back after this event only, so the
    // lane stays busy for requests that the hook has sent.
    this->release_lane(ended->claim);
    return is_kept ? 0 : -1;
}

int http_client::state::on_event(lws* connection, lws_callback_reasons reason,
                                 void* user, void* in, std::size_t length)
{
    lws_vhost* const vhost = lws_get_vhost(connection);
    if (vhost == nullptr)
        return 0;
    auto* const self = static_cast<state*>(lws_vhost_user(vhost));
    if (self != nullptr && self->has_ended)
        return 0;
    if (self != nullptr && reason == LWS_CALLBACK_WSI_DESTROY)
        self->forget_idle(connection);
    const std::uint64_t id = request_of(connection);
    if (self == nullptr || id < first_id)
        return lws_callback_http_dummy(connection, reason, user, in, length);
    const bool is_closing = reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR ||
                            reason == LWS_CALLBACK_CLOSED_CLIENT_HTTP ||
                            reason == LWS_CALLBACK_WSI_DESTROY;
    if (is_closing)
    {
        lws_set_opaque_user_data(connection, nullptr);
        self->closed(id);
        return 0;
    }
    const auto found = self->requests.find(id);
    // A request that has its outcome takes part in nothing but its closing.
    if (found == self->requests.end())
        return -1;
    open_request& open = *found->second;
    switch (reason)
    {
    case LWS_CALLBACK_WSI_CREATE:
    case LWS_CALLBACK_CLIENT_HTTP_BIND_PROTOCOL:
        return 0;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        // A kept connection gets here before connect() returns.
        open.connection = connection;
        return self->append_headers(open, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return self->write_body(open);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        self->keep_headers(open, connection);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return receive(connection);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return self->keep(open, static_cast<const char*>(in), length);
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
        self.lanes.push_back(self.make_vhost());
}

http_client::~http_client()
{
    // No hook runs for requests that end with the client.
    state& self = *this->owned_state;
    self.has_ended = true;
    self.requests.clear();
    lws_vhost_destroy(self.vhost);
    for (lws_vhost* const lane : self.lanes)
        lws_vhost_destroy(lane);
    self.options.loop.retire(std::move(this->owned_state));
}

void http_client::send(client_request request,
                       std::function<void(client_outcome)> on_outcome)
{
    state& self = *this->owned_state;
    auto made = std::make_unique<open_request>();
    open_request& open = *made;
    open.id = self.next_id++;
    open.request = std::move(request);
    open.on_outcome = std::move(on_outcome);
    const std::uint64_t id = open.id;
    open.deadline = std::make_unique<timer>(
        self.options.loop.make_timer([&self, id] { self.time_out(id); }));
    open.deadline->start(open.request.timeout);
    self.requests.emplace(id, std::move(made));
    self.connect(open);
}

std::size_t http_client::open_requests() const
{
    return this->owned_state->requests.size();
}

} // namespace chicorydrum::transport
