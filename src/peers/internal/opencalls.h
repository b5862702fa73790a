#pragma once

#include "kernel/eventloop.h"
#include "peers/peers.grpc.pb.h"
#include "peers/peertransport.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace cardamomlift::peers {

/// A call of a peer, from its arrival until its end is given to gRPC. Everything but the constructor belongs to the loop's thread.
class ReceivedCall
{
public:
    ReceivedCall(grpc::ServerUnaryReactor *reactor, const wire::Envelope *request, wire::EnvelopeReply *reply);

    bool hasEnded() const;
    /// Valid until end().
    const wire::Envelope &request() const;
    /// Valid until end().
    wire::EnvelopeReply &reply();
    /// Gives the end to gRPC, which frees the request and the reply. A second end is ignored.
    void end(const grpc::Status &status);

private:
    grpc::ServerUnaryReactor *reactor_;
    const wire::Envelope *request_;
    wire::EnvelopeReply *reply_;
};

/// A call to a peer, with all that gRPC uses until its end.
struct SentCall {
    grpc::ClientContext context;
    wire::Envelope request;
    wire::EnvelopeReply reply;
    std::unique_ptr<wire::Peers::Stub> stub;
    Reply handler;
};

/// The calls under way, and the only way from gRPC's threads to the loop. Closed before the loop ends, so that an answer
/// which comes later touches neither the loop nor what waits for it.
class OpenCalls
{
public:
    explicit OpenCalls(EventLoop &loop);

    /// Has @p handler run on the loop's thread. On a gRPC thread. Ends the call at once if closed.
    void receive(std::shared_ptr<ReceivedCall> call, std::function<void(const std::shared_ptr<ReceivedCall> &)> handler);
    /// Sends the answer that is in the call's reply.
    void answered(const std::shared_ptr<ReceivedCall> &call);

    /// Keeps @p call until it has ended. False if closed: the call must not start.
    bool send(const std::shared_ptr<SentCall> &call);
    /// Has @p handler run on the loop's thread with the ended call. On a gRPC thread.
    void ended(SentCall *call, std::function<void(SentCall &)> handler);

    /// Ends what peers asked, cancels what was asked of peers, and waits until gRPC is done with the latter. No handler
    /// runs from here on.
    void close();

private:
    EventLoop *loop_;
    std::mutex mutex_;
    std::condition_variable sentEnded_;
    bool closed_ = false;
    std::unordered_set<std::shared_ptr<ReceivedCall>> received_;
    std::unordered_map<SentCall *, std::shared_ptr<SentCall>> sent_;
};

} // namespace cardamomlift::peers
