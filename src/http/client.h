#pragma once

#include "http/httptypes.h"
#include "kernel/eventloop.h"
#include "kernel/result.h"

#include <memory>

namespace cardamomlift::http {

using CallId = std::uint64_t;

/// An HTTP client (libcurl multi) on an event loop.
class Client
{
public:
    static Result<std::unique_ptr<Client>> create(EventLoop &loop);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Starts an exchange. onDone is called exactly once, never from inside start(). An answer whose head is larger than 256 KiB ends as Transport::Broken, and
    /// so does one whose body is larger than 16 MiB, unless ClientHooks::onData takes it.
    CallId start(ClientRequest request, ClientHooks hooks);
    /// Ends an exchange early: closes its connection and calls onDone with Transport::Cancelled from the loop.
    void cancel(CallId id);
    std::size_t openCalls() const;

    struct Impl;

private:
    Client() = default;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomlift::http
