#pragma once

#include "http1/backendchannel.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::http1 {

/// The outcome of one call.
struct CallResult {
    bool isAnswered = false;
    bool mayHaveArrived = false; ///< If not answered: a byte of the request may have reached the server.
    Response response;
    TimePoint sentAt; ///< When call() was called; the connection may not have been established yet.
};

/// Sends requests to one server and keeps its idle connections for reuse.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    static std::shared_ptr<HttpClient> create(EventLoop &loop, Endpoint server, const SocketOptions &options, const ReadLimits &limits);

    /// Sends a request. The handler is called once, never before call() has returned. If the response is not
    /// complete within @p timeout, the connection and all idle ones are closed, as they may all be unresponsive.
    void call(RequestHead head, std::string body, Duration timeout, std::function<void(CallResult result)> handler);
    std::uint64_t calls() const;

private:
    struct Call;
    HttpClient(EventLoop &loop, Endpoint server, const SocketOptions &options, const ReadLimits &limits);
    std::shared_ptr<BackendChannel> idleChannel();
    void finish(const std::shared_ptr<Call> &call, bool answered, bool mayHaveArrived);
    void returnToPool(const std::shared_ptr<BackendChannel> &channel);
    EventLoop &loop_;
    Endpoint server_;
    SocketOptions options_;
    ReadLimits limits_;
    std::vector<std::shared_ptr<BackendChannel>> idleChannels_;
    std::uint64_t calls_ = 0;
};

} // namespace cardamomlift::http1
