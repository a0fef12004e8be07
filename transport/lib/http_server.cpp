#include "chicorydrum/transport/http_server.hpp"

#include "connection_state.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <unordered_map>

#include <libwebsockets.h>

namespace chicorydrum::transport
{

namespace
{

constexpr std::size_t write_chunk_bytes = 64U << 10U;
constexpr int header_buffer_bytes = 4096;

struct exchange
{
    lws* connection = nullptr;
    http_request request;
    http_response response;
    std::size_t body_sent = 0;
    bool delivered = false;
    bool responding = false;
    bool headers_sent = false;
    /// The body exceeds the limit. It is read and discarded, so that the caller
    /// gets the response and not a connection reset.
    bool is_too_large = false;
    /// Set while the request is still arriving.
    std::unique_ptr<timer> receive_timer;
    /// Set if another request has arrived behind this one: nothing is read from
    /// the connection until this one is answered, so that its closing is not
    /// reported. The connection is closed after the answer.
    std::unique_ptr<timer> close_check;
    /// Ends the pacing of the loop with the exchange.
    std::shared_ptr<void> pacing;
};

/// Interval in which a connection that is not read is checked for its closing;
/// a caller that has left sends its request again after a second.
constexpr support::milliseconds close_check_interval{50};

/// The user data that libwebsockets stores for each connection.
struct connection_data
{
    exchange_id current;
};

http_method method_of(lws* connection, std::string& path)
{
    char* uri = nullptr;
    int length = 0;
    const int method = lws_http_get_uri_and_method(connection, &uri, &length);
    if (method < 0)
        return http_method::other;
    path.assign(uri, static_cast<std::size_t>(length));
    switch (method)
    {
    case LWSHUMETH_GET:
        return http_method::get;
    case LWSHUMETH_PUT:
        return http_method::put;
    case LWSHUMETH_POST:
        return http_method::post;
    case LWSHUMETH_DELETE:
        return http_method::del;
    default:
        return http_method::other;
    }
}

std::string query_of(lws* connection)
{
    std::string query;
    std::array<char, 256> part{};
    for (int i = 0; lws_hdr_copy_fragment(connection, part.data(),
                                          static_cast<int>(part.size()),
                                          WSI_TOKEN_HTTP_URI_ARGS, i) > 0;
         ++i)
        query += (i > 0 ? "&" : "") + std::string(part.data());
    return query;
}

std::string host_of(lws* connection)
{
    std::array<char, 256> text{};
    const int copied = lws_hdr_copy(
        connection, text.data(), static_cast<int>(text.size()), WSI_TOKEN_HOST);
    return copied > 0 ? normalized_host(text.data()) : std::string();
}

void copy_headers(lws* connection, const std::vector<std::string>& names,
                  std::vector<http_header>& headers)
{
    for (const std::string& name : names)
    {
        const std::string key = name + ":";
        std::array<char, 256> value{};
        const int copied = lws_hdr_custom_copy(
            connection, value.data(), static_cast<int>(value.size()),
            key.c_str(), static_cast<int>(key.size()));
        if (copied > 0)
            headers.push_back({.name = name, .value = value.data()});
    }
}

std::size_t content_length(lws* connection)
{
    std::array<char, 24> text{};
    const int copied =
        lws_hdr_copy(connection, text.data(), static_cast<int>(text.size()),
                     WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (copied <= 0)
        return 0;
    return std::strtoull(text.data(), nullptr, 10);
}

} // namespace

struct http_server::state
{
    explicit state(http_server_options opts) : options(std::move(opts))
    {
    }

    static int on_event(lws* connection, lws_callback_reasons reason,
                        void* user, void* in, std::size_t length);

    int begin_request(lws* connection, connection_data& data);
    int receive_body(connection_data& data, const char* bytes,
                     std::size_t length);
    int deliver(connection_data& data);
    /// Leaves a request that has arrived behind \p open unread, and has the
    /// connection closed after the answer.
    void hold_next_request(exchange_id id, exchange& open);
    void check_closing(exchange_id id);
    int write(lws* connection, connection_data& data);
    int write_not_http(lws* connection);
    int write_headers(lws* connection, const exchange& open);
    void reject(exchange_id id, rejection reason);
    void start_response(exchange_id id, http_response response);
    void abandon(connection_data& data);

    http_server_options options;
    /// The server was destroyed; its connections may still be open.
    bool is_destroyed = false;
    lws_protocols protocols[3] = {};
    lws_vhost* vhost = nullptr;
    exchange_id next_id = 1;
    bool closes_after_responses = false;
    std::int64_t accepted = 0;
    std::unordered_map<exchange_id, exchange> exchanges;
};

int http_server::state::begin_request(lws* connection, connection_data& data)
{
    data.current = this->next_id++;
    exchange& open = this->exchanges[data.current];
    open.connection = connection;
    open.request.method = method_of(connection, open.request.path);
    open.request.query = query_of(connection);
    open.request.host = host_of(connection);
    copy_headers(connection, this->options.captured_headers,
                 open.request.headers);
    lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
    const std::size_t expected = content_length(connection);
    if (this->exchanges.size() > this->options.max_connections)
    {
        this->reject(data.current, rejection::too_many_connections);
        return 0;
    }
    open.is_too_large = expected > this->options.max_body_bytes;
    const bool chunked =
        lws_hdr_total_length(connection, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
    if (expected == 0 && !chunked)
        return this->deliver(data);
    const exchange_id id = data.current;
    open.receive_timer = std::make_unique<timer>(this->options.loop.make_timer(
        [this, id] { this->reject(id, rejection::too_slow); }));
    open.receive_timer->start(this->options.receive_timeout);
    return 0;
}

int http_server::state::receive_body(connection_data& data, const char* bytes,
                                     std::size_t length)
{
    const auto found = this->exchanges.find(data.current);
    if (found == this->exchanges.end() || found->second.responding)
        return 0;
    exchange& open = found->second;
    std::string& body = open.request.body;
    if (open.is_too_large ||
        body.size() + length > this->options.max_body_bytes)
    {
        open.is_too_large = true;
        body.clear();
        return 0;
    }
    body.append(bytes, length);
    return 0;
}

int http_server::state::deliver(connection_data& data)
{
    const auto found = this->exchanges.find(data.current);
    if (found == this->exchanges.end())
        return 0;
    exchange& open = found->second;
    if (open.delivered || open.responding)
    {
        // The library takes what follows a body for its end, again and again.
        if (!open.responding)
            this->hold_next_request(data.current, open);
        return 0;
    }
    if (open.is_too_large)
    {
        this->reject(data.current, rejection::too_large);
        return 0;
    }
    // A request that was read late may have no caller any more, who may have
    // sent it again elsewhere.
    if (remote_state_of(open.connection) == remote_state::closed)
        return -1;
    open.delivered = true;
    open.receive_timer.reset();
    lws_set_timeout(open.connection, NO_PENDING_TIMEOUT, 0);
    open.request.waited = time_since_last_bytes(open.connection);
    this->options.on_request(data.current, std::move(open.request));
    return 0;
}

void http_server::state::hold_next_request(exchange_id id, exchange& open)
{
    if (open.close_check)
        return;
    lws_rx_flow_control(open.connection, 0);
    // The library asks to write, and does not while nothing is read.
    event_loop& loop = this->options.loop;
    loop.begin_pacing();
    open.pacing =
        std::shared_ptr<void>(nullptr, [&loop](void*) { loop.end_pacing(); });
    open.close_check = std::make_unique<timer>(
        this->options.loop.make_timer([this, id] { this->check_closing(id); }));
    open.close_check->start(close_check_interval);
}

void http_server::state::check_closing(exchange_id id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end())
        return;
    const exchange& open = found->second;
    if (remote_state_of(open.connection) == remote_state::closed)
        lws_set_timeout(open.connection, PENDING_TIMEOUT_CLOSE_SEND,
                        LWS_TO_KILL_ASYNC);
    else
        open.close_check->start(close_check_interval);
}

void http_server::state::reject(exchange_id id, rejection reason)
{
    http_response response = this->options.on_rejected(reason);
    // The rest of the request is not read, so the connection is unusable.
    response.close = true;
    this->start_response(id, std::move(response));
}

void http_server::state::start_response(exchange_id id, http_response response)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() || found->second.responding)
        return;
    exchange& open = found->second;
    open.receive_timer.reset();
    open.responding = true;
    open.response = std::move(response);
    if (this->closes_after_responses || open.close_check)
        open.response.close = true;
    if (open.close_check)
        lws_rx_flow_control(open.connection, 1);
    lws_callback_on_writable(open.connection);
}

int http_server::state::write_headers(lws* connection, const exchange& open)
{
    std::array<unsigned char, LWS_PRE + header_buffer_bytes> buffer{};
    unsigned char* const start = buffer.data() + LWS_PRE;
    unsigned char* position = start;
    unsigned char* const end = buffer.data() + buffer.size() - 1;
    const http_response& response = open.response;
    if (lws_add_http_common_headers(connection,
                                    static_cast<unsigned>(response.status),
                                    response.content_type.c_str(),
                                    response.body.size(), &position, end) != 0)
        return -1;
    if (response.close && lws_add_http_header_by_token(
                              connection, WSI_TOKEN_CONNECTION,
                              reinterpret_cast<const unsigned char*>("close"),
                              5, &position, end) != 0)
        return -1;
    for (const http_header& header : response.headers)
    {
        const std::string name = header.name + ":";
        if (lws_add_http_header_by_name(
                connection,
                reinterpret_cast<const unsigned char*>(name.c_str()),
                reinterpret_cast<const unsigned char*>(header.value.c_str()),
                static_cast<int>(header.value.size()), &position, end) != 0)
            return -1;
    }
    return lws_finalize_write_http_header(connection, start, &position, end);
}

int http_server::state::write(lws* connection, connection_data& data)
{
    const auto found = this->exchanges.find(data.current);
    if (found == this->exchanges.end() || !found->second.responding)
        return 0;
    exchange& open = found->second;
    if (!open.headers_sent)
    {
        if (this->write_headers(connection, open) != 0)
            return -1;
        open.headers_sent = true;
        if (!open.response.body.empty())
        {
            lws_callback_on_writable(connection);
            return 0;
        }
    }
    const std::string& body = open.response.body;
    const std::size_t length =
        std::min(write_chunk_bytes, body.size() - open.body_sent);
    const bool is_last = open.body_sent + length == body.size();
    if (length > 0)
    {
        std::string buffer(LWS_PRE, '\0');
        buffer.append(body, open.body_sent, length);
        const int written =
            lws_write(connection,
                      reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE,
                      length, is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
        if (written < 0)
            return -1;
        open.body_sent += length;
    }
    if (!is_last)
    {
        lws_callback_on_writable(connection);
        return 0;
    }
    const bool close = open.response.close;
    this->exchanges.erase(found);
    data.current = 0;
    if (close)
    {
        discard_received(connection);
        return -1;
    }
    return lws_http_transaction_completed(connection) != 0 ? -1 : 0;
}

int http_server::state::write_not_http(lws* connection)
{
    const http_response response =
        this->options.on_rejected(rejection::not_http);
    // The reason phrase does not matter, only the numeric status.
    std::string buffer(LWS_PRE, '\0');
    buffer += "HTTP/1.1 " + std::to_string(response.status) +
              " Bad Request\r\nconnection: close\r\ncontent-type: " +
              response.content_type +
              "\r\ncontent-length: " + std::to_string(response.body.size()) +
              "\r\n\r\n" + response.body;
    lws_write(connection,
              reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE,
              buffer.size() - LWS_PRE, LWS_WRITE_RAW);
    return -1;
}

void http_server::state::abandon(connection_data& data)
{
    const auto found = this->exchanges.find(data.current);
    if (found == this->exchanges.end())
        return;
    const bool is_unanswered =
        found->second.delivered && !found->second.responding;
    const exchange_id id = data.current;
    this->exchanges.erase(found);
    data.current = 0;
    if (is_unanswered && this->options.on_abandoned)
        this->options.on_abandoned(id);
}

int http_server::state::on_event(lws* connection, lws_callback_reasons reason,
                                 void* user, void* in, std::size_t length)
{
    lws_vhost* const vhost = lws_get_vhost(connection);
    if (vhost == nullptr)
        return 0;
    auto* const self = static_cast<state*>(lws_vhost_user(vhost));
    auto* const data = static_cast<connection_data*>(user);
    if (self == nullptr || self->is_destroyed)
        return 0;
    switch (reason)
    {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
        ++self->accepted;
        return 0;
    case LWS_CALLBACK_HTTP:
        return self->begin_request(connection, *data);
    case LWS_CALLBACK_HTTP_BODY:
        return self->receive_body(*data, static_cast<const char*>(in), length);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return self->deliver(*data);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return self->write(connection, *data);
    case LWS_CALLBACK_RAW_RX:
        lws_callback_on_writable(connection);
        return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
        return self->write_not_http(connection);
    case LWS_CALLBACK_CLOSED_HTTP:
        if (data != nullptr)
            self->abandon(*data);
        return 0;
    default:
        return lws_callback_http_dummy(connection, reason, user, in, length);
    }
}

http_server::http_server(http_server_options options)
    : owned_state(std::make_unique<state>(std::move(options)))
{
    state& self = *this->owned_state;
    self.protocols[0].name = "http-server";
    self.protocols[0].callback = &state::on_event;
    self.protocols[0].per_session_data_size = sizeof(connection_data);
    // Handles connections whose first line is not HTTP.
    self.protocols[1].name = "not-http";
    self.protocols[1].callback = &state::on_event;
    lws_context_creation_info info{};
    info.port = self.options.port;
    info.iface = self.options.address.c_str();
    info.protocols = self.protocols;
    info.user = &self;
    info.vhost_name = "http-server";
    info.options = LWS_SERVER_OPTION_FALLBACK_TO_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = "not-http";
    info.keepalive_timeout = 60;
    info.timeout_secs = static_cast<unsigned>(
        std::max<std::int64_t>(1, self.options.receive_timeout.count() / 1000));
    info.timeout_secs_ah_idle = info.timeout_secs;
    self.vhost = lws_create_vhost(self.options.loop.context(), &info);
    if (self.vhost == nullptr)
        throw std::runtime_error("cannot listen on " + self.options.address +
                                 ":" + std::to_string(self.options.port));
}

http_server::~http_server()
{
    // Open requests are dropped without a call of on_abandoned.
    state& self = *this->owned_state;
    self.is_destroyed = true;
    self.exchanges.clear();
    lws_vhost_destroy(self.vhost);
    self.options.loop.retire(std::move(this->owned_state));
}

void http_server::respond(exchange_id id, http_response response)
{
    this->owned_state->start_response(id, std::move(response));
}

void http_server::close_after_responses()
{
    this->owned_state->closes_after_responses = true;
}

std::int64_t http_server::connections_accepted() const
{
    return this->owned_state->accepted;
}

std::size_t http_server::open_exchanges() const
{
    return this->owned_state->exchanges.size();
}

} // namespace chicorydrum::transport
