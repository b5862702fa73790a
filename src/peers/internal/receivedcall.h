#pragma once

#include "peers/peers.pb.h"

#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>

namespace cardamomlift::peers {

/// An incoming call of a peer, with one message in each direction. Unlike gRPC's classes for such calls it lets the message be read after the caller's
/// metadata has been checked, so that callers who are no peers can't fill the memory.
class ReceivedCall : public grpc::ServerGenericBidiReactor, public std::enable_shared_from_this<ReceivedCall>
{
public:
    using Handler = std::function<void(const std::shared_ptr<ReceivedCall> &call)>;

    /// Starts to read the message. @p onRead is called on a thread of gRPC when it is complete; end() must follow. The call lives until gRPC has finished it.
    static ReceivedCall *read(Handler onRead);
    /// Ends a call without reading its message.
    static ReceivedCall *refuse(const grpc::Status &status);

    bool hasEnded() const;
    const wire::Envelope &request() const;
    wire::EnvelopeReply &reply();
    /// Finishes the call with @p status and, if that is OK, the reply. A second call is ignored.
    void end(const grpc::Status &status);

    void OnReadDone(bool isRead) override;
    void OnDone() override;

private:
    explicit ReceivedCall(Handler onRead);
    static ReceivedCall *create(Handler onRead);
    std::shared_ptr<ReceivedCall> self_; ///< Released when gRPC has finished the call.
    Handler onRead_;
    grpc::ByteBuffer received_;
    grpc::ByteBuffer sent_;
    wire::Envelope request_;
    wire::EnvelopeReply reply_;
    bool hasEnded_ = false;
};

} // namespace cardamomlift::peers
