/// \file
/// What the kernel knows of an open connection: whether the other side is still
/// there, and how long received bytes have waited.
#pragma once

#include "chicorydrum/support/clock.hpp"

struct lws;

namespace chicorydrum::transport
{

enum class remote_state
{
    /// Open, and nothing has been received that is not read yet.
    idle,
    /// Open, with received bytes that are not read yet.
    sending,
    /// The other side has closed or reset the connection.
    closed,
};

remote_state remote_state_of(lws* connection);

/// Discards what has been received and not read yet, up to a limit: closing a
/// connection with unread bytes may cost the other side the last answer.
void discard_received(lws* connection);

/// Returns how long ago \p connection received its last bytes; 0 if the kernel
/// does not tell.
support::milliseconds time_since_last_bytes(lws* connection);

} // namespace chicorydrum::transport
