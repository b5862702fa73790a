#include "streams/copysender.h"

#include "streams/streamcodec.h"

#include <set>

namespace cardamomlift::streams {

namespace {

constexpr Duration BatchDelay = std::chrono::milliseconds(2);
constexpr Duration CallTimeout = std::chrono::milliseconds(300);
constexpr std::size_t MaxBatchBytes = 256 * 1024;
constexpr int MaxDropAttempts = 3;
constexpr Duration DropRetryDelay = std::chrono::seconds(1);

/// Approximate size of a copy on the wire.
std::size_t approximateSize(const StreamState &state)
{
    std::size_t size = state.messagesJson.size();
    for (const std::string &token : state.tokens) {
        size += token.size() + 2;
    }
    return size;
}

} // namespace

/// The messages sent to one VM in one call.
struct CopySender::Batch {
    peers::PeerAddress target;
    wire::Copies message;
    std::size_t bytes = 0;
    std::vector<Done> done; ///< One for each copy of the message.
    std::vector<int> dropAttempts; ///< Number of the attempt to send it, for each drop of the message.
};

std::shared_ptr<CopySender> CopySender::create(EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport, std::shared_ptr<metrics::Metrics> metrics)
{
    std::shared_ptr<CopySender> sender(new CopySender);
    sender->loop_ = &loop;
    sender->transport_ = std::move(transport);
    sender->metrics_ = std::move(metrics);
    return sender;
}

void CopySender::sendCopy(const peers::PeerAddress &target, const StreamState &state, const std::string &owner, Done done)
{
    Batch &batch = batchFor(target);
    wire::Copy &added = *batch.message.add_copies();
    writeState(state, *added.mutable_state());
    added.set_owner(owner);
    batch.bytes += approximateSize(state);
    batch.done.push_back(std::move(done));
    metrics_->add("copies_sent_total");
    if (batch.bytes >= MaxBatchBytes) {
        flush(target.instance);
    }
}

void CopySender::sendDrop(const peers::PeerAddress &target, const std::string &requestId, std::uint64_t generation)
{
    addDrop(batchFor(target), requestId, generation, 1);
}

void CopySender::setLeaving()
{
    isLeaving_ = true;
}

std::size_t CopySender::openCount() const
{
    return callsInFlight_ + queued_.size();
}

CopySender::Batch &CopySender::batchFor(const peers::PeerAddress &target)
{
    auto &batch = queued_[target.instance];
    if (!batch) {
        batch = std::make_shared<Batch>();
        batch->target = target;
        loop_->after(BatchDelay, [weak = weak_from_this(), instance = target.instance] {
            if (const auto self = weak.lock()) {
                self->flush(instance);
            }
        });
    }
    return *batch;
}

void CopySender::addDrop(Batch &batch, const std::string &requestId, std::uint64_t generation, int attempt)
{
    wire::Drop &added = *batch.message.add_drops();
    added.set_request_id(requestId);
    added.set_generation(generation);
    batch.dropAttempts.push_back(attempt);
}

void CopySender::flush(const std::string &instance)
{
    const auto found = queued_.find(instance);
    if (found == queued_.end()) {
        return;
    }
    const auto batch = found->second;
    queued_.erase(found);
    send(batch);
}

void CopySender::send(const std::shared_ptr<Batch> &batch)
{
    batch->message.set_sender_is_leaving(isLeaving_);
    std::string payload = batch->message.SerializeAsString();
    metrics_->add("copy_calls_total");
    metrics_->add("copy_bytes_total", payload.size());
    callsInFlight_++;
    transport_->send(batch->target, "streams.copy", std::move(payload), CallTimeout, [self = shared_from_this(), batch](const Result<std::string> &response) {
        self->callsInFlight_--;
        wire::CopiesReply reply;
        CopyResult result = CopyResult::Unanswered;
        if (response && reply.ParseFromString(response.value())) {
            result = reply.refused_as_leaving() ? CopyResult::RefusedAsLeaving : CopyResult::Stored;
        }
        const std::set<std::string> superseded(reply.superseded().begin(), reply.superseded().end());
        for (std::size_t i = 0; i < batch->done.size(); i++) {
            const std::string &requestId = batch->message.copies(static_cast<int>(i)).state().request_id();
            batch->done[i](superseded.contains(requestId) ? CopyResult::Superseded : result);
        }
        if (result == CopyResult::Unanswered) {
            self->retryDrops(*batch);
        }
    });
}

void CopySender::retryDrops(const Batch &batch)
{
    for (int i = 0; i < batch.message.drops_size(); i++) {
        const int attempt = batch.dropAttempts[static_cast<std::size_t>(i)] + 1;
        if (attempt > MaxDropAttempts) {
            continue;
        }
        const wire::Drop &drop = batch.message.drops(i);
        loop_->after(DropRetryDelay, [weak = weak_from_this(), target = batch.target, drop, attempt] {
            if (const auto self = weak.lock()) {
                self->addDrop(self->batchFor(target), drop.request_id(), drop.generation(), attempt);
            }
        });
    }
}

} // namespace cardamomlift::streams
