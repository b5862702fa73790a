#include "crowds/crowdshapes.h"

#include <fmt/format.h>

namespace cardamomlift::test {

namespace {

constexpr int ManyConnections = 700;
constexpr int SomeConnections = 120;
constexpr std::size_t SmallBodyBytes = 20000;
constexpr int SmallChunks = 100000;

std::string startOfHead(const CrowdTarget &target)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: test\r\n{}", target.method, target.path, target.headers);
}

std::string nothing(const CrowdTarget &)
{
    return {};
}

std::string oneByte(const CrowdTarget &target)
{
    return target.method.substr(0, 1);
}

std::string smallBodyShortByOne(const CrowdTarget &target)
{
    return manyFields(target) + fmt::format("Content-Length: {}\r\n\r\n", SmallBodyBytes) + std::string(SmallBodyBytes - 1, 'b');
}

std::string largeBodyShortByOne(const CrowdTarget &target)
{
    return startOfHead(target) + fmt::format("Content-Length: {}\r\n\r\n", target.bodyBytes) + std::string(target.bodyBytes - 1, 'b');
}

// All bytes of the chunk, but neither the end of its line nor the last chunk.
std::string largeChunk(const CrowdTarget &target)
{
    return startOfHead(target) + fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", target.bodyBytes) + std::string(target.bodyBytes, 'b');
}

/// Types of HTTP/2 frames.
enum class FrameType : char { Data = 0, Headers = 1, Settings = 4 };
/// A flag of frames with fields.
constexpr char EndHeaders = 4;

std::string bigEndian(std::size_t number, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; i--) {
        text += static_cast<char>(number >> (8 * i) & 0xff);
    }
    return text;
}

std::string frame(FrameType type, char flags, std::size_t stream, std::string_view payload)
{
    return bigEndian(payload.size(), 3) + static_cast<char>(type) + flags + bigEndian(stream, 4) + std::string(payload);
}

std::string hpackText(std::string_view text)
{
    return static_cast<char>(text.size()) + std::string(text);
}

std::string smallChunks(const CrowdTarget &target)
{
    std::string bytes = startOfHead(target) + "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < SmallChunks; i++) {
        bytes += "1\r\nb\r\n";
    }
    return bytes;
}

} // namespace

std::string manyFields(const CrowdTarget &target)
{
    std::string head = startOfHead(target);
    const std::string field = "a:" + std::string(target.fieldBytes - 4, 'b') + "\r\n";
    while (head.size() + field.size() <= target.headBytes) {
        head += field;
    }
    return head;
}

std::string wholeRequest(const CrowdTarget &target, std::string_view body)
{
    return startOfHead(target) + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

std::vector<CrowdShape> unfinishedShapes()
{
    return {{"nothing", ManyConnections, &nothing},
        {"one_byte", ManyConnections, &oneByte},
        {"unfinished_head", ManyConnections, &manyFields},
        {"many_fields_and_body_short_by_one", ManyConnections, &smallBodyShortByOne},
        {"large_body_short_by_one", SomeConnections, &largeBodyShortByOne},
        {"large_chunk", SomeConnections, &largeChunk},
        {"small_chunks", SomeConnections, &smallChunks}};
}

std::string startOfPeerCall(std::string_view path, std::size_t messageBytes)
{
    constexpr char MethodPost = '\x83';
    constexpr char SchemeHttp = '\x86';
    constexpr char LiteralAuthority = '\x01';
    constexpr char LiteralPath = '\x04';
    constexpr char LiteralField = '\x00';
    std::string fields{MethodPost, SchemeHttp, LiteralPath};
    fields += hpackText(path) + LiteralAuthority + hpackText("test");
    fields += LiteralField + hpackText("content-type") + hpackText("application/grpc");
    fields += LiteralField + hpackText("te") + hpackText("trailers");
    const std::string prefix = std::string(1, '\0') + bigEndian(messageBytes, 4);
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(FrameType::Settings, 0, 0, "") + frame(FrameType::Headers, EndHeaders, 1, fields)
        + frame(FrameType::Data, 0, 1, prefix);
}

std::string partOfPeerCall(std::size_t bytes)
{
    return frame(FrameType::Data, 0, 1, std::string(bytes, 'b'));
}

std::ostream &operator<<(std::ostream &out, const CrowdShape &shape)
{
    return out << shape.name;
}

} // namespace cardamomlift::test
