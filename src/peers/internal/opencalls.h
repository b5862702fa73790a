#pragma once

#include "kernel/eventloop.h"
#include "peers/internal/receivedcall.h"
#include "peers/peers.grpc.pb.h"
#include "peers/peertransport.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace cardamomlift::peers {

/// An outgoing call to a peer, with everything that gRPC needs until the call has ended.
struct SentCall {
    grpc::ClientContext context;
    wire::Envelope request;
    wire::EnvelopeReply reply;
    std::unique_ptr<wire::Peers::Stub> stub;
    Reply handler;
};

/// The calls in progress, and the only way from gRPC's threads to the event loop. It is closed before the loop is destroyed, so
/// that a later answer uses neither the loop nor the callers that waited for the answer.
class OpenCalls
{
public:
    explicit OpenCalls(EventLoop &loop);

    /// Registers an incoming call and posts @p handler to the event loop. Called on a gRPC thread. If closed, ends the call at once.
    void addReceived(std::shared_ptr<ReceivedCall> call, std::function<void(const std::shared_ptr<ReceivedCall> &)> handler);
    /// Ends an incoming call, sending the answer that is in its reply.
    void finishReceived(const std::shared_ptr<ReceivedCall> &call);

    /// Registers an outgoing call and owns it until it has ended. Returns false if closed; the call must not start then.
    bool addSent(const std::shared_ptr<SentCall> &call);
    /// Posts @p handler, with the outgoing call that has ended, to the event loop. Called on a gRPC thread.
    void finishSent(SentCall *call, std::function<void(SentCall &)> handler);

    /// Ends the incoming calls, cancels the outgoing ones, and waits until gRPC has finished the latter. No handler runs after
    /// that.
    void close();

private:
    EventLoop *loop_;
    std::mutex mutex_;
    std::condition_variable sentCallEnded_;
    bool isClosed_ = false;
    std::unordered_set<std::shared_ptr<ReceivedCall>> received_;
    std::unordered_map<SentCall *, std::shared_ptr<SentCall>> sent_;
};

} // namespace cardamomlift::peers
