#include "wire/wire_convert.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace yuccaspan {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

} // namespace

std::string encodePeerEnvelope(const PeerEnvelope &envelope)
{
    idl::Envelope wire;
    wire.sender = envelope.from.text();
    wire.message = impl::toWire(envelope.message);
    const auto buffer = std::make_shared<TMemoryBuffer>();
    Protocol protocol(buffer);
    wire.write(&protocol);
    return buffer->getBufferAsString();
}

Result<PeerEnvelope> decodePeerEnvelope(std::string_view bytes)
{
    const auto size = static_cast<std::uint32_t>(bytes.size());
    // The library's interface requires mutable bytes but an OBSERVE buffer does not modify them.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    idl::Envelope wire;
    std::uint32_t left = 0;
    try {
        const auto buffer = std::make_shared<TMemoryBuffer>(data, size, TMemoryBuffer::OBSERVE);
        const auto limit = static_cast<std::int32_t>(size);
        Protocol protocol(buffer, limit, limit);
        wire.read(&protocol);
        left = buffer->available_read();
    } catch (const std::exception &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    }
    if (left != 0)
        return Error{ErrorCode::ParseFailed, "unexpected bytes after the message", {}};
    auto message = impl::fromWire(wire.message);
    if (!message)
        return message.error();
    return PeerEnvelope{InstanceId(wire.sender), std::move(*message)};
}

} // namespace yuccaspan
