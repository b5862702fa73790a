#pragma once

#include "http1/http1types.h"

#include <memory>

namespace cardamomlift::http1 {

/// Size limits of a received message.
struct ReadLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
};

/// Why a message was rejected.
enum class ReadError {
    None,
    Malformed, ///< Not valid HTTP/1.1 or HTTP/1.0, its length or host is ambiguous, or it uses CONNECT or a protocol upgrade.
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, ///< The connection ended before the message was complete.
};

/// Parses one message incrementally, as its bytes arrive. Boost.Beast does the parsing; ambiguous messages that Beast accepts
/// (unknown transfer codings; requests with no Host field or several) are rejected here.
class MessageReader
{
public:
    virtual ~MessageReader() = default;
    /// Consumes bytes and returns how many belong to the message: none after an error or the end of the message.
    virtual std::size_t feed(std::string_view bytes) = 0;
    /// To be called when the peer has closed the connection in order. Completes a body that ends with the connection; any other
    /// incomplete message is truncated.
    virtual void finish() = 0;
    virtual bool isHeadComplete() const = 0;
    virtual bool isComplete() const = 0;
    virtual ReadError error() const = 0;
    /// True once any byte was consumed.
    virtual bool hasStarted() const = 0;
    /// Returns and removes the body bytes received since the last call.
    virtual std::string takeBody() = 0;
    /// Memory that the reader takes for the head and for bytes that it has not parsed yet.
    virtual std::size_t heldBytes() const = 0;
    /// True if the sender keeps the connection open after this message.
    virtual bool keepsAlive() const = 0;
};

class RequestReader : public MessageReader
{
public:
    static std::unique_ptr<RequestReader> create(const ReadLimits &limits);
    virtual RequestHead &head() = 0;
};

class ResponseReader : public MessageReader
{
public:
    /// @p isHead: the request was HEAD, so the response has no body whatever its fields say.
    static std::unique_ptr<ResponseReader> create(const ReadLimits &limits, bool isHead);
    virtual ResponseHead &head() = 0;
};

} // namespace cardamomlift::http1
