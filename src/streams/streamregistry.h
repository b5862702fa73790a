#pragma once

#include "kernel/eventloop.h"
#include "membership/members.h"
#include "metrics/metrics.h"
#include "peers/peertransport.h"
#include "streams/copysender.h"
#include "streams/streamdecision.h"
#include "streams/streams.pb.h"
#include "streams/streamsession.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace cardamomlift::streams {

/// What a StreamRegistry works with.
struct StreamRegistryTools {
    SessionTools session;
    std::shared_ptr<peers::PeerTransport> transport;
    std::string zone; ///< Of this VM.
    std::size_t mostCopyBytes = 64 << 20; ///< Memory for other VMs' copies; the oldest go first.
};

/// How a search for a request ended.
enum class FindOutcome {
    Found,
    NotFound, ///< No VM asked has it, or it belongs to another customer.
    RetryLater, ///< Another VM takes it over right now; a repeat helps.
};

/// What a search for a request gave.
struct FindResult {
    FindOutcome outcome = FindOutcome::NotFound;
    std::shared_ptr<StreamSession> session; ///< Driven by this VM from now on.
};

/// Keeps the streamed requests of this VM so that they outlive it: a copy of each stands at another entry VM, any entry
/// VM can take a request over, and a VM that is leaving hands all of them on. See docs/design/acceptance-and-handover.md.
class StreamRegistry : public std::enable_shared_from_this<StreamRegistry>
{
public:
    using FoundHandler = std::function<void(FindResult result)>;

    static std::shared_ptr<StreamRegistry> create(StreamRegistryTools tools);

    /// A new id, which names this VM and the VM that will hold the copy.
    std::string newRequestId();
    /// Creates a session for @p state, and a copy of it at another VM. @p onAccepted is called when the copy stands, or
    /// when it is clear that there will be none (counted); the caller may then be told that the request is accepted.
    std::shared_ptr<StreamSession> open(StreamState state, std::function<void()> onAccepted);
    /// The caller of a request has lost its connection. The request is cancelled unless somebody resumes it soon.
    void onReaderDisconnected(const std::string &requestId);
    /// Finds a request of @p customer here or at another VM, and makes this VM its owner.
    void find(const std::string &requestId, const std::string &customer, FoundHandler handler);
    /// Says that this VM is leaving, and sends all requests with their output so far to other VMs. May be called again.
    void startHandover();
    /// Sends all that is still open once more and, when the copies stand, ends it here without cancelling it.
    void finishHandover();
    /// Sessions whose caller is connected, and copies under way.
    std::size_t openCount() const;
    /// Requests of other VMs of which a copy is here.
    std::size_t copyCount() const;

private:
    struct Entry;
    struct Search;
    using EntryPtr = std::shared_ptr<Entry>;
    using SearchPtr = std::shared_ptr<Search>;
    StreamRegistry() = default;
    void handleTopics();
    std::string onCopies(const std::string &from, const std::string &payload);
    void storeCopy(const wire::Copy &copy, wire::CopiesReply &reply);
    void notifyHome(const EntryPtr &entry, const std::string &previousOwner);
    void dropCopy(const wire::Drop &drop);
    std::string onTake(const std::string &from, const std::string &payload);
    StreamState give(const EntryPtr &entry, const std::string &asker);
    void ask(const SearchPtr &search);
    void askPeer(const SearchPtr &search, const std::string &instance);
    void onTakeReply(const SearchPtr &search, const std::string &instance, const wire::TakeReply &reply);
    void takeOwnCopy(const SearchPtr &search);
    void finishSearch(const SearchPtr &search, const FindResult &result);
    std::shared_ptr<StreamSession> adopt(StreamState state, const std::string &previousOwner);
    EntryPtr add(StreamState state);
    void placeCopy(const EntryPtr &entry, std::function<void(bool stored)> done);
    void tryPlace(const EntryPtr &entry, std::vector<std::string> targets, std::function<void(bool stored)> done);
    void sendOn(const EntryPtr &entry);
    void onSentOn(bool stored);
    std::vector<std::string> holders(const RequestIdParts &id) const;
    void onMembersChange();
    void sweep();
    void boundEnded();
    bool isOver(Entry &entry, TimePoint now);
    void removeEntry(const std::string &requestId);
    void evictCopies();
    StreamRegistryTools tools_;
    std::string self_;
    std::shared_ptr<CopySender> sender_;
    std::unordered_map<std::string, EntryPtr> entries_;
    std::unordered_map<std::string, std::vector<FoundHandler>> searches_; ///< By request id: one search at a time.
    std::unordered_map<std::string, TimePoint> failedHolders_; ///< Not asked again before this time.
    std::size_t copyBytes_ = 0;
    std::uint64_t nextNumber_ = 1;
    bool isLeaving_ = false;
    std::size_t sendingOn_ = 0; ///< Copies of the handover under way.
    std::size_t sentOn_ = 0; ///< Copies of the handover that stand.
};

} // namespace cardamomlift::streams
