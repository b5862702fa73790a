#pragma once

#include "http1/backendchannel.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::http1 {

/// The outcome of a whole call.
struct CallResult {
    bool isAnswered = false;
    bool mayHaveArrived = false; ///< Without an answer: a byte of the call may have reached the server.
    Response response;
    TimePoint sentAt;
};

/// Makes whole calls to one server over a few kept connections.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    static std::shared_ptr<HttpClient> create(EventLoop &loop, Endpoint server, const SocketOptions &options, const ReadLimits &limits);

    /// Sends @p head with @p body. The handler is called once, never from inside the call. A call without an answer
    /// within @p timeout ends its connection, and the idle ones too: they may all be silent.
    void call(RequestHead head, std::string body, Duration timeout, std::function<void(CallResult result)> handler);
    std::uint64_t calls() const;

private:
    struct Call;
    HttpClient(EventLoop &loop, Endpoint server, const SocketOptions &options, const ReadLimits &limits);
    std::shared_ptr<BackendChannel> idleChannel();
    void finish(const std::shared_ptr<Call> &call, bool answered, bool mayHaveArrived);
    void keep(const std::shared_ptr<BackendChannel> &channel);
    EventLoop &loop_;
    Endpoint server_;
    SocketOptions options_;
    ReadLimits limits_;
    std::vector<std::shared_ptr<BackendChannel>> idle_;
    std::uint64_t calls_ = 0;
};

} // namespace cardamomlift::http1
