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

void PrintTo(const CrowdShape &shape, std::ostream *out)
{
    *out << shape.name;
}

} // namespace cardamomlift::test
