/// \file
/// Opens outgoing connections of libwebsockets.
#pragma once

struct lws;
struct lws_client_connect_info;

namespace chicorydrum::transport
{

/// Makes libwebsockets use the allocator that open_connection() relies on.
/// Must be called before the library allocates any memory.
void install_library_allocator();

/// Calls lws_client_connect_via_info(). The library may close and free the new
/// connection in the middle of that call and still read it afterwards, for
/// instance if a pooled connection fails while its next request is written.
/// Memory that it frees meanwhile is therefore released when the call has
/// returned. The returned connection may already be closed; the library has
/// then reported so to the protocol's callback.
lws* open_connection(const lws_client_connect_info& info);

} // namespace chicorydrum::transport
