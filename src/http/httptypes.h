#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::http {

/// Compares header names without regard to ASCII case.
struct HeaderLess {
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const;
};

using Headers = std::map<std::string, std::string, HeaderLess>;
using Query = std::map<std::string, std::string, std::less<>>;

/// The value of header @p name, or an empty view.
std::string_view headerValue(const Headers &headers, std::string_view name);

/// A request as a server received it, whole.
struct Request {
    std::string method;
    std::string path; ///< Without the query; percent escapes are undone.
    Query query;
    Headers headers;
    std::string body;
};

/// A whole answer of a server.
struct Response {
    int status = 200;
    Headers headers;
    std::string body;
};

/// Limits and the address of one listening port.
struct ServerOptions {
    std::string address = "127.0.0.1"; ///< An IPv4 number.
    std::uint16_t port = 0; ///< 0: the system picks one; see Server::port().
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxHeaderBytes = 32 * 1024; ///< Memory pool of one connection; a longer header is refused with 431.
    unsigned maxConnections = 2000; ///< Beyond it connections wait to be accepted; the budget closes others before that.
    unsigned idleSeconds = 30; ///< A connection silent for so long is closed; also bounds a header that never ends.
    std::string certificatePem; ///< With privateKeyPem: serve TLS. Both empty: plaintext.
    std::string privateKeyPem;
};

/// Signs a client request with AWS Signature Version 4 (done by libcurl).
struct Signature {
    std::string region;
    std::string service;
    std::string accessKey;
    std::string secretKey;
};

/// One request of the client, with its time limits.
struct ClientRequest {
    std::string method = "GET";
    std::string url; ///< With the host as an IP number.
    Headers headers;
    std::string body;
    Duration connectTimeout = std::chrono::seconds(1);
    Duration timeout = std::chrono::seconds(30); ///< Whole exchange; 0: none (streams).
    Duration stallTimeout{0}; ///< No byte for so long ends the exchange; whole seconds; 0: none.
    bool freshConnection = false; ///< Never reuse a connection.
    /// The client may send the request a second time by itself when a reused connection turns out to be closed. GET and
    /// HEAD always may.
    bool mayResend = false;
    std::optional<Signature> signature;
    std::string caPem; ///< With https: the accepted certificate authority.
};

/// How far an exchange got; the evidence for "not run".
enum class Transport {
    Completed, ///< A whole answer arrived.
    NotSent, ///< No byte of the request was written: the server can't have run it.
    Broken, ///< At least one byte may have been written and no whole answer came.
    Cancelled, ///< The caller of the client cancelled it.
};

/// How an exchange ended, and what of the answer was read.
struct ClientResult {
    Transport transport = Transport::NotSent;
    int status = 0; ///< 0 when no status line arrived.
    Headers headers;
    std::string body; ///< Empty when onData consumed it.
    bool timedOut = false; ///< One of the request's time limits ended it; the connection itself did not break.
    bool heldBack = false; ///< ClientHooks::mayStillSend said no, which says nothing of the server.
    std::string error; ///< A sentence, for logs.
    std::uint64_t bytesSent = 0; ///< Head and body as written, without TLS and below.
    std::uint64_t bytesReceived = 0; ///< Head and body as read.
};

/// What the caller of the client wants to hear. All run on the loop's thread.
struct ClientHooks {
    std::function<void(int status, const Headers &headers)> onHeaders;
    /// When set, body bytes go here instead of ClientResult::body. False cancels the exchange.
    std::function<bool(std::string_view bytes)> onData;
    std::function<void(ClientResult result)> onDone;
    /// Asked after the connection stands and before the first byte is written. False gives up, with Transport::NotSent.
    std::function<bool()> mayStillSend;
};

} // namespace cardamomlift::http
