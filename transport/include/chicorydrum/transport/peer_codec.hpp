/// \file
/// Thrift encoding of the messages between entry hosts.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/error.hpp"

#include <string>
#include <string_view>

namespace chicorydrum::transport
{

/// Encodes \p message in Thrift's compact protocol.
std::string encode_message(const schema::peer_message& message);

/// Decodes \p frame; fails with bad_request unless it holds exactly one
/// complete message with exactly one member set.
support::result<schema::peer_message> decode_message(std::string_view frame);

/// The same for the messages between shard owners and other entry hosts. Also
/// fails if a member is out of its range.
std::string encode_message(const schema::shard_message& message);
support::result<schema::shard_message>
decode_shard_message(std::string_view frame);

/// The same for a host's record in the platform's table. Also fails if a member
/// is out of its range.
std::string encode_record(const schema::host_record& record);
support::result<schema::host_record> decode_record(std::string_view bytes);

} // namespace chicorydrum::transport
