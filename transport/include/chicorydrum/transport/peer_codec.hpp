/// \file
/// Thrift encoding of the messages between entry hosts.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/error.hpp"

#include <string>
#include <string_view>

namespace chicorydrum::transport
{

/// \p message in Thrift's compact protocol.
std::string encode_message(const schema::peer_message& message);

/// The reverse; fails with bad_request on anything but one whole message
/// with exactly one member.
support::result<schema::peer_message> decode_message(std::string_view frame);

} // namespace chicorydrum::transport
