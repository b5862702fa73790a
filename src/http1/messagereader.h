#pragma once

#include "http1/http1types.h"

#include <memory>

namespace cardamomlift::http1 {

/// Bounds of a message that is read.
struct ReadLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
};

/// Why a message can't be read.
enum class ReadError {
    None,
    Malformed, ///< Not HTTP/1.1, or its length can be understood in more than one way.
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, ///< The connection ended inside the message.
};

/// Reads one message from the bytes of a connection as they arrive. Boost.Beast parses; what Beast lets through although it
/// can be understood in two ways (unknown codings, no Host or two) is rejected here.
class MessageReader
{
public:
    virtual ~MessageReader() = default;
    /// Takes bytes and returns how many belong to the message. After an error or the end it takes none.
    virtual std::size_t feed(std::string_view bytes) = 0;
    /// The connection has ended cleanly: a body without a length is complete now, any other is truncated.
    virtual void finish() = 0;
    virtual bool isHeadComplete() const = 0;
    virtual bool isComplete() const = 0;
    virtual ReadError error() const = 0;
    /// True once any byte was taken.
    virtual bool hasStarted() const = 0;
    /// Body bytes read since the last call.
    virtual std::string takeBody() = 0;
    /// True if the sender keeps the connection open after this message.
    virtual bool keepsAlive() const = 0;
};

/// Reads a request.
class RequestReader : public MessageReader
{
public:
    static std::unique_ptr<RequestReader> create(const ReadLimits &limits);
    virtual RequestHead &head() = 0;
};

/// Reads a response.
class ResponseReader : public MessageReader
{
public:
    /// @p isHead: the answer to a HEAD request, which has no body whatever its fields say.
    static std::unique_ptr<ResponseReader> create(const ReadLimits &limits, bool isHead);
    virtual ResponseHead &head() = 0;
};

} // namespace cardamomlift::http1
