#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::test {

/// Where a crowd sends its requests.
struct CrowdTarget {
    std::string method = "POST";
    std::string path;
    std::string headers; ///< Whole lines.
    std::size_t headBytes = 16000; ///< Size of a large head; the limit on heads is a little above.
    std::size_t bodyBytes = 1 << 20; ///< Size of the largest body.
    std::size_t fieldBytes = 5; ///< Size of a header line in a head of many fields.
};

/// What each client of a crowd sends, and how many clients there are.
struct CrowdShape {
    const char *name = "";
    int connections = 0;
    std::string (*bytes)(const CrowdTarget &target) = nullptr;
};

/// The shapes of requests that do not come to their end.
std::vector<CrowdShape> unfinishedShapes();

/// A head without its last, empty line, of about CrowdTarget::headBytes, with as many fields as fit.
std::string manyFields(const CrowdTarget &target);
/// A whole request.
std::string wholeRequest(const CrowdTarget &target, std::string_view body);

/// The first frames of a gRPC call over HTTP/2 without a token, up to the start of its message.
std::string startOfPeerCall(std::string_view path, std::size_t messageBytes);
/// A frame with a further part of the message.
std::string partOfPeerCall(std::size_t bytes);

std::ostream &operator<<(std::ostream &out, const CrowdShape &shape);

} // namespace cardamomlift::test
