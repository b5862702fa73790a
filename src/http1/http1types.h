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
    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding on a defaulted comparison.
    auto operator<=>(const Endpoint &) const = default;
};

/// Reads "10.0.0.1:80". Empty if it is anything else.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string formatEndpoint(const Endpoint &endpoint);

/// One header field, with the name as it was spelled.
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

private:
    std::vector<Field> list_;
};

/// True if both spell the same header name, token or host.
bool equalsIgnoreCase(std::string_view a, std::string_view b);
/// True if the comma-separated list @p value holds @p token.
bool hasToken(std::string_view value, std::string_view token);
/// A decimal number without sign. Empty for anything else.
std::optional<std::int64_t> parseNumber(std::string_view text);

/// Fields that concern one connection only and are never passed on: those that HTTP names and those that the Connection
/// field lists.
bool isHopByHopField(std::string_view name, std::string_view connectionValue);

/// The first line and the fields of a request.
struct RequestHead {
    std::string method;
    std::string target; ///< Path and query as they came, nothing decoded.
    int version = 11; ///< 10 or 11.
    Fields fields;
};

/// The first line and the fields of a response.
struct ResponseHead {
    int status = 0;
    std::string reason; ///< Empty: the usual words of the status.
    int version = 11;
    Fields fields;
};

/// The usual words of a status.
std::string_view reasonPhrase(int status);

/// How the body of an outgoing message ends.
enum class Framing { Length, Chunked };

/// The bytes of a head. Fields of the framing (length, coding) are added here; @p head must not hold them.
std::string encodeHead(const RequestHead &head, std::size_t bodyLength);
std::string encodeHead(const ResponseHead &head, Framing framing, std::size_t bodyLength, bool close);
/// One chunk of a chunked body. @p data must not be empty.
std::string encodeChunk(std::string_view data);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// A whole response.
struct Response {
    ResponseHead head;
    std::string body;
};

} // namespace cardamomlift::http1
