#include "peers/internal/opencalls.h"

#include <grpcpp/grpcpp.h>

#include <utility>

namespace cardamomlift::peers {

namespace {

grpc::Status shutdownStatus()
{
    return {grpc::StatusCode::UNAVAILABLE, "the VM is shutting down"};
}

} // namespace

OpenCalls::OpenCalls(EventLoop &loop)
    : loop_(&loop)
{
}

void OpenCalls::addReceived(std::shared_ptr<ReceivedCall> call, std::function<void(const std::shared_ptr<ReceivedCall> &)> handler)
{
    const std::lock_guard lock(mutex_);
    if (isClosed_) {
        call->end(shutdownStatus());
        return;
    }
    received_.insert(call);
    loop_->post([call = std::move(call), handler = std::move(handler)] {
        if (!call->hasEnded()) {
            handler(call);
        }
    });
}

void OpenCalls::finishReceived(const std::shared_ptr<ReceivedCall> &call)
{
    {
        const std::lock_guard lock(mutex_);
        received_.erase(call);
    }
    call->end(grpc::Status::OK);
}

bool OpenCalls::addSent(const std::shared_ptr<SentCall> &call)
{
    const std::lock_guard lock(mutex_);
    if (isClosed_) {
        return false;
    }
    sent_.emplace(call.get(), call);
    return true;
}

void OpenCalls::finishSent(SentCall *call, std::function<void(SentCall &)> handler)
{
    const std::lock_guard lock(mutex_);
    auto node = sent_.extract(call);
    if (isClosed_) {
        // close() owns the call too, so that its reply handler is destroyed on the event loop's thread.
        node = {};
        sentCallEnded_.notify_all();
        return;
    }
    loop_->post([owned = std::move(node.mapped()), handler = std::move(handler)] { handler(*owned); });
}

void OpenCalls::close()
{
    std::unordered_set<std::shared_ptr<ReceivedCall>> received;
    std::unordered_map<SentCall *, std::shared_ptr<SentCall>> sent;
    {
        const std::lock_guard lock(mutex_);
        isClosed_ = true;
        received.swap(received_);
        sent = sent_;
    }
    // When gRPC's server shuts down, it waits until every incoming call has ended.
    for (const auto &call : received) {
        call->end(shutdownStatus());
    }
    for (const auto &[raw, call] : sent) {
        call->context.TryCancel();
    }
    std::unique_lock lock(mutex_);
    sentCallEnded_.wait(lock, [this] { return sent_.empty(); });
}

} // namespace cardamomlift::peers
