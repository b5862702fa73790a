#include "peers/internal/receivedcall.h"

#include <utility>

namespace cardamomlift::peers {

namespace {

bool parse(const grpc::ByteBuffer &bytes, wire::Envelope &message)
{
    grpc::Slice slice;
    if (!bytes.DumpToSingleSlice(&slice).ok()) {
        return false;
    }
    return message.ParseFromArray(slice.begin(), static_cast<int>(slice.size()));
}

} // namespace

ReceivedCall::ReceivedCall(Handler onRead)
    : onRead_(std::move(onRead))
{
}

ReceivedCall *ReceivedCall::create(Handler onRead)
{
    const std::shared_ptr<ReceivedCall> call(new ReceivedCall(std::move(onRead)));
    call->self_ = call;
    return call.get();
}

ReceivedCall *ReceivedCall::read(Handler onRead)
{
    ReceivedCall *call = create(std::move(onRead));
    call->StartRead(&call->received_);
    return call;
}

ReceivedCall *ReceivedCall::refuse(const grpc::Status &status)
{
    ReceivedCall *call = create({});
    call->end(status);
    return call;
}

bool ReceivedCall::hasEnded() const
{
    return hasEnded_;
}

const wire::Envelope &ReceivedCall::request() const
{
    return request_;
}

wire::EnvelopeReply &ReceivedCall::reply()
{
    return reply_;
}

void ReceivedCall::end(const grpc::Status &status)
{
    if (std::exchange(hasEnded_, true)) {
        return;
    }
    if (!status.ok()) {
        Finish(status);
        return;
    }
    const grpc::Slice slice(reply_.SerializeAsString());
    sent_ = grpc::ByteBuffer(&slice, 1);
    StartWriteAndFinish(&sent_, {}, status);
}

void ReceivedCall::OnReadDone(bool isRead)
{
    if (!isRead || !parse(received_, request_)) {
        end({grpc::StatusCode::INVALID_ARGUMENT, "the message can't be read"});
        return;
    }
    received_.Clear();
    const Handler onRead = std::move(onRead_);
    onRead(shared_from_this());
}

void ReceivedCall::OnDone()
{
    const auto released = std::move(self_);
}

} // namespace cardamomlift::peers
