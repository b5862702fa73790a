#include "streams/copysender.h"

#include "streams/streamcodec.h"

#include <set>

namespace cardamomlift::streams {

namespace {

constexpr Duration GroupingDelay = std::chrono::milliseconds(2);
constexpr Duration CallTimeout = std::chrono::milliseconds(300);
constexpr std::size_t MostBatchBytes = 256 * 1024;
constexpr int MostDropTries = 3;
constexpr Duration DropAgainDelay = std::chrono::seconds(1);

/// Roughly the bytes of a copy in a call.
std::size_t sizeOf(const StreamState &state)
{
    std::size_t size = state.messagesJson.size();
    for (const std::string &token : state.tokens) {
        size += token.size() + 2;
    }
    return size;
}

} // namespace

/// What goes to one VM in one call.
struct CopySender::Batch {
    peers::PeerAddress target;
    wire::Copies message;
    std::size_t bytes = 0;
    std::vector<Done> done;
    std::vector<int> dropTries; ///< One for each drop of the message.
};

std::shared_ptr<CopySender> CopySender::create(EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport, std::shared_ptr<metrics::Metrics> metrics)
{
    std::shared_ptr<CopySender> sender(new CopySender);
    sender->loop_ = &loop;
    sender->transport_ = std::move(transport);
    sender->metrics_ = std::move(metrics);
    return sender;
}

void CopySender::copy(const peers::PeerAddress &target, const StreamState &state, const std::string &owner, Done done)
{
    Batch &batch = batchFor(target);
    wire::Copy &added = *batch.message.add_copies();
    writeState(state, *added.mutable_state());
    added.set_owner(owner);
    batch.bytes += sizeOf(state);
    batch.done.push_back(std::move(done));
    metrics_->add("copies_sent_total");
    if (batch.bytes >= MostBatchBytes) {
        flush(target.instance);
    }
}

void CopySender::drop(const peers::PeerAddress &target, const std::string &requestId, std::uint64_t generation)
{
    addDrop(batchFor(target), requestId, generation, 1);
}

void CopySender::setLeaving()
{
    isLeaving_ = true;
}

std::size_t CopySender::openCount() const
{
    return underWay_ + waiting_.size();
}

CopySender::Batch &CopySender::batchFor(const peers::PeerAddress &target)
{
    auto &batch = waiting_[target.instance];
    if (!batch) {
        batch = std::make_shared<Batch>();
        batch->target = target;
        loop_->after(GroupingDelay, [weak = weak_from_this(), instance = target.instance] {
            if (const auto self = weak.lock()) {
                self->flush(instance);
            }
        });
    }
    return *batch;
}

void CopySender::addDrop(Batch &batch, const std::string &requestId, std::uint64_t generation, int tries)
{
    wire::Drop &added = *batch.message.add_drops();
    added.set_request_id(requestId);
    added.set_generation(generation);
    batch.dropTries.push_back(tries);
}

void CopySender::flush(const std::string &instance)
{
    const auto found = waiting_.find(instance);
    if (found == waiting_.end()) {
        return;
    }
    const auto batch = found->second;
    waiting_.erase(found);
    send(batch);
}

void CopySender::send(const std::shared_ptr<Batch> &batch)
{
    batch->message.set_sender_is_leaving(isLeaving_);
    std::string payload = batch->message.SerializeAsString();
    metrics_->add("copy_calls_total");
    metrics_->add("copy_bytes_total", payload.size());
    underWay_++;
    transport_->send(batch->target, "streams.copy", std::move(payload), CallTimeout, [self = shared_from_this(), batch](const Result<std::string> &answer) {
        self->underWay_--;
        wire::CopiesReply reply;
        CopyResult result = CopyResult::Unanswered;
        if (answer && reply.ParseFromString(answer.value())) {
            result = reply.refused_as_leaving() ? CopyResult::RefusedAsLeaving : CopyResult::Stored;
        }
        const std::set<std::string> superseded(reply.superseded().begin(), reply.superseded().end());
        for (std::size_t i = 0; i < batch->done.size(); i++) {
            const std::string &requestId = batch->message.copies(static_cast<int>(i)).state().request_id();
            batch->done[i](superseded.contains(requestId) ? CopyResult::Superseded : result);
        }
        if (result == CopyResult::Unanswered) {
            self->sendDropsAgain(*batch);
        }
    });
}

void CopySender::sendDropsAgain(const Batch &batch)
{
    for (int i = 0; i < batch.message.drops_size(); i++) {
        const int tries = batch.dropTries[static_cast<std::size_t>(i)] + 1;
        if (tries > MostDropTries) {
            continue;
        }
        const wire::Drop &drop = batch.message.drops(i);
        loop_->after(DropAgainDelay, [weak = weak_from_this(), target = batch.target, drop, tries] {
            if (const auto self = weak.lock()) {
                self->addDrop(self->batchFor(target), drop.request_id(), drop.generation(), tries);
            }
        });
    }
}

} // namespace cardamomlift::streams
