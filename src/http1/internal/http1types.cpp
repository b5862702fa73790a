#include "http1/http1types.h"

#include <arpa/inet.h>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace cardamomlift::http1 {

namespace {

constexpr std::array<std::string_view, 9> HopByHopFields{
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade"};

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

void appendFields(std::string &out, const Fields &fields)
{
    for (const Field &field : fields.list()) {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
}

/// Memory that a text takes besides its object.
std::size_t separateBytes(const std::string &text)
{
    static const std::size_t InlineCapacity = std::string().capacity();
    return text.capacity() > InlineCapacity ? text.capacity() + 1 : 0;
}

bool mayHaveBody(std::string_view method)
{
    return method != "GET" && method != "HEAD" && method != "DELETE";
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parseNumber(text.substr(colon + 1));
    Endpoint endpoint;
    endpoint.address = std::string(text.substr(0, colon));
    in_addr parsed{};
    if (!port || *port < 0 || *port > UINT16_MAX || inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    endpoint.port = static_cast<std::uint16_t>(*port);
    return endpoint;
}

std::string formatEndpoint(const Endpoint &endpoint)
{
    return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool hasToken(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        const auto comma = value.find(',');
        if (equalsIgnoreCase(trimmed(value.substr(0, comma)), token)) {
            return true;
        }
        value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    }
    return false;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < 0) {
        return std::nullopt;
    }
    return number;
}

bool isHopByHopField(std::string_view name, std::string_view connectionValue)
{
    const auto matchesName = [name](std::string_view other) {
        return equalsIgnoreCase(name, other);
    };
    return std::any_of(HopByHopFields.begin(), HopByHopFields.end(), matchesName) || hasToken(connectionValue, name);
}

void Fields::add(std::string_view name, std::string_view value)
{
    list_.push_back({std::string(name), std::string(value)});
    textBytes_ += separateBytes(list_.back().name) + separateBytes(list_.back().value);
}

void Fields::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void Fields::remove(std::string_view name)
{
    std::erase_if(list_, [name](const Field &field) { return equalsIgnoreCase(field.name, name); });
}

std::string_view Fields::get(std::string_view name) const
{
    const auto found = std::find_if(list_.begin(), list_.end(), [name](const Field &field) { return equalsIgnoreCase(field.name, name); });
    return found == list_.end() ? std::string_view() : std::string_view(found->value);
}

bool Fields::has(std::string_view name) const
{
    return count(name) > 0;
}

std::size_t Fields::count(std::string_view name) const
{
    return std::count_if(list_.begin(), list_.end(), [name](const Field &field) { return equalsIgnoreCase(field.name, name); });
}

const std::vector<Field> &Fields::list() const
{
    return list_;
}

std::size_t Fields::heldBytes() const
{
    return list_.capacity() * sizeof(Field) + textBytes_;
}

std::string_view reasonPhrase(int status)
{
    const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {text.data(), text.size()};
}

std::string_view framingName(Framing framing)
{
    switch (framing) {
    case Framing::Length:
        return "length";
    case Framing::Chunked:
        return "chunks";
    case Framing::Connection:
        return "connection";
    }
    return "unknown";
}

Framing framingOf(const ResponseHead &head)
{
    if (head.fields.has("Transfer-Encoding")) {
        return Framing::Chunked;
    }
    return head.fields.has("Content-Length") ? Framing::Length : Framing::Connection;
}

std::string encodeHead(const RequestHead &head, std::size_t bodyLength)
{
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    appendFields(out, head.fields);
    if (bodyLength > 0 || mayHaveBody(head.method)) {
        out += fmt::format("Content-Length: {}\r\n", bodyLength);
    }
    out += "\r\n";
    return out;
}

std::string encodeHead(const ResponseHead &head, Framing framing, std::size_t bodyLength, bool close)
{
    const std::string_view reason = head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason);
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", head.status, reason);
    appendFields(out, head.fields);
    if (framing == Framing::Chunked) {
        out += "Transfer-Encoding: chunked\r\n";
    } else if (framing == Framing::Length && head.status != 204 && head.status != 304) {
        out += fmt::format("Content-Length: {}\r\n", bodyLength);
    }
    if (close) {
        out += "Connection: close\r\n";
    }
    out += "\r\n";
    return out;
}

std::string encodeChunk(std::string_view data)
{
    std::string out = fmt::format("{:x}\r\n", data.size());
    out += data;
    out += "\r\n";
    return out;
}

} // namespace cardamomlift::http1
