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

/// How a copy that was sent to a VM ended.
enum class CopyResult {
    Stored,
    RefusedAsLeaving, ///< That VM is going away itself.
    Unanswered,
    Superseded, ///< Another VM took the request over, as that VM knows.
};

/// Sends copies of requests, and the word that a copy is no longer needed, to other entry VMs. What goes to one VM
/// within a few milliseconds goes in one call; a call is bounded in bytes.
class CopySender : public std::enable_shared_from_this<CopySender>
{
public:
    using Done = std::function<void(CopyResult result)>;

    static std::shared_ptr<CopySender> create(EventLoop &loop, std::shared_ptr<peers::PeerTransport> transport, std::shared_ptr<metrics::Metrics> metrics);

    void copy(const peers::PeerAddress &target, const StreamState &state, const std::string &owner, Done done);
    /// Tells @p target to forget the copy unless it has a newer owner than @p generation. Sent again a few times.
    void drop(const peers::PeerAddress &target, const std::string &requestId, std::uint64_t generation);
    /// From now on calls say that this VM is leaving.
    void setLeaving();
    /// Calls not yet answered, and those waiting to be sent.
    std::size_t openCount() const;

private:
    struct Batch;
    CopySender() = default;
    Batch &batchFor(const peers::PeerAddress &target);
    void addDrop(Batch &batch, const std::string &requestId, std::uint64_t generation, int tries);
    void flush(const std::string &instance);
    void send(const std::shared_ptr<Batch> &batch);
    void sendDropsAgain(const Batch &batch);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<peers::PeerTransport> transport_;
    std::shared_ptr<metrics::Metrics> metrics_;
    std::unordered_map<std::string, std::shared_ptr<Batch>> waiting_; ///< By target instance.
    std::size_t underWay_ = 0;
    bool isLeaving_ = false;
};

} // namespace cardamomlift::streams
