#include "chicorydrum/transport/peer_codec.hpp"

#include "chicorydrum/support/validation.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace chicorydrum::transport
{

namespace
{

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;

constexpr int max_nesting = 16;

/// Rejects lists that claim more elements than the rest of the frame can hold.
class bounded_protocol : public TCompactProtocol
{
public:
    using TCompactProtocol::TCompactProtocol;

    /// The library counts an empty structure as no bytes, and so lets a list of
    /// structures have any size. It has a byte that ends it.
    int getMinSerializedSize(TType type) override
    {
        return type == TType::T_STRUCT
                   ? 1
                   : TCompactProtocol::getMinSerializedSize(type);
    }
};

/// Returns the number of members that are set.
int count_members(const schema::peer_message& message)
{
    const auto& set = message.__isset;
    return set.greeting + set.beat + set.forwarded + set.queried +
           set.answered + set.claimed + set.claim_replied + set.recorded +
           set.witness_queried + set.handed_over + set.handover_replied +
           set.slots_requested + set.slots_granted + set.slots_returned +
           set.offered + set.offer_replied + set.bundle_pushed +
           set.bundle_requested + set.speeds_reported;
}

int count_members(const schema::shard_message& message)
{
    const auto& set = message.__isset;
    return set.hello + set.beat + set.submitted + set.withdrawn + set.ended +
           set.not_owned + set.config + set.cancelled + set.recorded +
           set.config_request + set.config_bytes;
}

int count_members(const schema::host_record& /*record*/)
{
    return 1;
}

template <typename T>
std::string encode(const T& message)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

template <typename T>
support::result<T> decode(std::string_view frame)
{
    try
    {
        // The buffer only reads the bytes, but its interface is not const.
        auto* const bytes =
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(frame.data()));
        const auto size = static_cast<int>(frame.size());
        const auto limits =
            std::make_shared<TConfiguration>(size, size, max_nesting);
        const auto buffer = std::make_shared<TMemoryBuffer>(
            bytes, static_cast<std::uint32_t>(frame.size()),
            TMemoryBuffer::OBSERVE, limits);
        bounded_protocol protocol(buffer);
        T message;
        const std::uint32_t used = message.read(&protocol);
        if (used != frame.size() || count_members(message) != 1)
            return support::fail(support::error_kind::bad_request,
                                 "a frame holds one message");
        return message;
    }
    catch (const std::exception& malformed)
    {
        return support::fail(support::error_kind::bad_request,
                             std::string("malformed frame: ") +
                                 malformed.what());
    }
}

/// Returns \p decoded unless a member is out of its range.
template <typename T>
support::result<T> checked(support::result<T> decoded)
{
    if (!decoded)
        return decoded;
    const auto outcome = support::check(*decoded);
    if (!outcome)
        return tl::unexpected(outcome.error());
    return decoded;
}

} // namespace

std::string encode_message(const schema::peer_message& message)
{
    return encode(message);
}

support::result<schema::peer_message> decode_message(std::string_view frame)
{
    return decode<schema::peer_message>(frame);
}

std::string encode_message(const schema::shard_message& message)
{
    return encode(message);
}

support::result<schema::shard_message>
decode_shard_message(std::string_view frame)
{
    return checked(decode<schema::shard_message>(frame));
}

std::string encode_record(const schema::host_record& record)
{
    return encode(record);
}

support::result<schema::host_record> decode_record(std::string_view bytes)
{
    return checked(decode<schema::host_record>(bytes));
}

} // namespace chicorydrum::transport
