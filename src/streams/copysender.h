#pragma once

#include "kernel/eventloop.h"
#include "metrics/metrics.h"
#include "peers/peertransport.h"
#include "streams/streamtypes.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::streams {

/// Outcome of sending a copy to a VM.
enum class CopyResult {
    Stored,
    RefusedAsLeaving, ///< The target is leaving itself.
    Unanswered,
    Superseded, ///< The target knows that another VM has taken the request over.
};

/// Sends copies of requests, and notices that a copy is no longer needed (drops), to other entry VMs. Batches the messages to
/// one VM for a few milliseconds; the size of a batch is bounded.
class CopySender : public std::enable_shared_from_this<CopySender>
{
public:
    using Done = std::function<void(CopyResult result)>;

    static std::shared_ptr<CopySender> create(EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport, std::shared_ptr<metrics::Metrics> metrics);

    void sendCopy(const peers::PeerAddress &target, const StreamState &state, const std::string &owner, Done done);
    /// Tells @p target to delete its copy, unless the copy is of a later generation than @p generation. Retried a few times.
    void sendDrop(const peers::PeerAddress &target, const std::string &requestId, std::uint64_t generation);
    /// All further calls tell the receiver that this VM is leaving.
    void setLeaving();
    /// Number of calls in flight, plus batches not yet sent.
    std::size_t openCount() const;

private:
    struct Batch;
    CopySender() = default;
    Batch &batchFor(const peers::PeerAddress &target);
    void addDrop(Batch &batch, const std::string &requestId, std::uint64_t generation, int attempt);
    void flush(const std::string &instance);
    void send(const std::shared_ptr<Batch> &batch);
    void retryDrops(const Batch &batch);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<peers::PeerTransport> transport_;
    std::shared_ptr<metrics::Metrics> metrics_;
    std::unordered_map<std::string, std::shared_ptr<Batch>> queued_; ///< Not yet sent, by target instance.
    std::size_t callsInFlight_ = 0;
    bool isLeaving_ = false;
};

} // namespace cardamomlift::streams
