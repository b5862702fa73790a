#include "peers/internal/opencalls.h"

#include <grpcpp/grpcpp.h>

#include <utility>

namespace cardamomlift::peers {

namespace {

grpc::Status stopped()
{
    return {grpc::StatusCode::UNAVAILABLE, "the VM stops"};
}

} // namespace

ReceivedCall::ReceivedCall(grpc::ServerUnaryReactor *reactor, const wire::Envelope *request, wire::EnvelopeReply *reply)
    : reactor_(reactor)
    , request_(request)
    , reply_(reply)
{
}

bool ReceivedCall::hasEnded() const
{
    return reactor_ == nullptr;
}

const wire::Envelope &ReceivedCall::request() const
{
    return *request_;
}

wire::EnvelopeReply &ReceivedCall::reply()
{
    return *reply_;
}

void ReceivedCall::end(const grpc::Status &status)
{
    if (auto *reactor = std::exchange(reactor_, nullptr)) {
        reactor->Finish(status);
    }
}

OpenCalls::OpenCalls(EventLoop &loop)
    : loop_(&loop)
{
}

void OpenCalls::receive(std::shared_ptr<ReceivedCall> call, std::function<void(const std::shared_ptr<ReceivedCall> &)> handler)
{
    const std::lock_guard lock(mutex_);
    if (closed_) {
        call->end(stopped());
        return;
    }
    received_.insert(call);
    loop_->post([call = std::move(call), handler = std::move(handler)] {
        if (!call->hasEnded()) {
            handler(call);
        }
    });
}

void OpenCalls::answered(const std::shared_ptr<ReceivedCall> &call)
{
    {
        const std::lock_guard lock(mutex_);
        received_.erase(call);
    }
    call->end(grpc::Status::OK);
}

bool OpenCalls::send(const std::shared_ptr<SentCall> &call)
{
    const std::lock_guard lock(mutex_);
    if (closed_) {
        return false;
    }
    sent_.emplace(call.get(), call);
    return true;
}

void OpenCalls::ended(SentCall *call, std::function<void(SentCall &)> handler)
{
    const std::lock_guard lock(mutex_);
    auto node = sent_.extract(call);
    if (closed_) {
        // close() holds the call too, so that its handler is freed on the loop's thread.
        node = {};
        sentEnded_.notify_all();
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
        closed_ = true;
        received.swap(received_);
        sent = sent_;
    }
    // gRPC's server waits for the end of each call when it shuts down.
    for (const auto &call : received) {
        call->end(stopped());
    }
    for (const auto &[raw, call] : sent) {
        call->context.TryCancel();
    }
    std::unique_lock lock(mutex_);
    sentEnded_.wait(lock, [this] { return sent_.empty(); });
}

} // namespace cardamomlift::peers
