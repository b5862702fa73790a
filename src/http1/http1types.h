#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::http1 {

/// An IPv4 address and port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false positive on a defaulted comparison.
    auto operator<=>(const Endpoint &) const = default;
};

/// Parses an IPv4 address and port such as "10.0.0.1:80". Empty if @p text is anything else.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string formatEndpoint(const Endpoint &endpoint);

/// One header field. The name keeps its original case.
struct Field {
    std::string name;
    std::string value;
};

/// The header fields of a message, in order.
class Fields
{
public:
    void add(std::string_view name, std::string_view value);
    /// Replaces all fields of this name by one.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);
    /// The first value, or an empty view.
    std::string_view get(std::string_view name) const;
    bool has(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<Field> &list() const;
    /// Memory that the fields take, in bytes.
    std::size_t heldBytes() const;

private:
    std::vector<Field> list_;
    std::size_t textBytes_ = 0; ///< Memory of the names and values that were added.
};

/// Compares header names, tokens and host names, which are case-insensitive.
bool equalsIgnoreCase(std::string_view a, std::string_view b);
/// True if the comma-separated list @p value contains @p token.
bool hasToken(std::string_view value, std::string_view token);
/// Parses a decimal number without a sign. Empty if @p text is anything else.
std::optional<std::int64_t> parseNumber(std::string_view text);

/// True for hop-by-hop fields, which concern one connection only and must not be forwarded: those that the HTTP standard
/// defines, and those listed in the Connection field, whose value is @p connectionValue.
bool isHopByHopField(std::string_view name, std::string_view connectionValue);

/// The request line and header fields of a request.
struct RequestHead {
    std::string method;
    std::string target; ///< Path and query as received, not decoded.
    int version = 11; ///< 10 for HTTP/1.0, 11 for HTTP/1.1.
    Fields fields;
};

/// The status line and header fields of a response.
struct ResponseHead {
    int status = 0;
    std::string reason; ///< Empty: the standard reason phrase of the status.
    int version = 11;
    Fields fields;
};

/// The standard reason phrase of a status code.
std::string_view reasonPhrase(int status);

/// How the body of a message is delimited.
enum class Framing {
    Length,
    Chunked,
    Connection, ///< It ends with its connection.
};

std::string_view framingName(Framing framing);
/// How the body of a response with this head is delimited.
Framing framingOf(const ResponseHead &head);

/// Serialises a message head. Adds the framing fields (Content-Length, Transfer-Encoding) if there are any; @p head must not contain them.
std::string encodeHead(const RequestHead &head, std::size_t bodyLength);
std::string encodeHead(const ResponseHead &head, Framing framing, std::size_t bodyLength, bool close);
/// Serialises one chunk of a chunked body. @p data must not be empty, as an empty chunk ends the body.
std::string encodeChunk(std::string_view data);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// A complete response.
struct Response {
    ResponseHead head;
    std::string body;
};

} // namespace cardamomlift::http1
