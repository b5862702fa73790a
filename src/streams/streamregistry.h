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

/// Dependencies of a StreamRegistry.
struct StreamRegistryTools {
    SessionTools session;
    std::shared_ptr<peers::PeerTransport> transport;
    std::string zone; ///< Zone of this VM.
    std::size_t maxCopyBytes = 64 << 20; ///< Memory for other VMs' copies; the oldest are evicted first.
};

/// Outcome of a search for a request.
enum class FindOutcome {
    Found,
    NotFound, ///< None of the queried VMs has it, or it belongs to another customer.
    RetryLater, ///< Another VM is taking it over right now, or a VM did not answer: a retry may succeed.
};

/// Result of a search for a request.
struct FindResult {
    FindOutcome outcome = FindOutcome::NotFound;
    std::shared_ptr<StreamSession> session; ///< Set if found; this VM owns the request from now on.
};

/// The streamed requests of this VM, replicated so that they survive its loss: each has a copy at another entry VM, any entry
/// VM can take a request over, and a VM that is leaving hands all of its requests over. Also holds the copies of requests
/// that other VMs own. See docs/design/acceptance-and-handover.md.
class StreamRegistry : public std::enable_shared_from_this<StreamRegistry>
{
public:
    using FoundHandler = std::function<void(FindResult result)>;

    static std::shared_ptr<StreamRegistry> create(StreamRegistryTools tools);

    /// Returns a new id, which encodes this VM and the VM that is to hold the copy.
    std::string newRequestId();
    /// Starts a session for @p state and stores a copy at another VM. @p onAccepted is called once the copy is stored, or if
    /// no VM stored it (counted in copies_missing_total). Only then may the caller be told that the request is accepted.
    std::shared_ptr<StreamSession> open(StreamState state, std::function<void()> onAccepted);
    /// The caller of a request has disconnected. The request is cancelled unless it is resumed within the resume window.
    void onReaderDisconnected(const std::string &requestId);
    /// Searches for a request of @p customer here and at other VMs, and makes this VM its owner.
    void find(const std::string &requestId, const std::string &customer, FoundHandler handler);
    /// Marks this VM as leaving and sends to other VMs all requests with their output so far, as well as copies whose owner is
    /// gone or leaving. May be called repeatedly.
    void startHandover();
    /// Sends the requests that are still open once more, and ends them here, without cancelling them, once the copies are
    /// stored or have failed.
    void finishHandover();
    /// Number of sessions that have not ended, plus calls to other VMs in flight.
    std::size_t openCount() const;
    /// Number of copies of requests that other VMs own.
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
    StreamState transferOwnership(const EntryPtr &entry, const std::string &requester);
    void queryNext(const SearchPtr &search);
    void queryPeer(const SearchPtr &search, const std::string &instance);
    void onTakeReply(const SearchPtr &search, const std::string &instance, const wire::TakeReply &reply);
    void takeOverLocalCopy(const SearchPtr &search);
    void finishSearch(const SearchPtr &search, const FindResult &result);
    std::shared_ptr<StreamSession> takeOver(StreamState state, const std::string &previousOwner);
    EntryPtr addSession(StreamState state);
    void placeCopy(const EntryPtr &entry, std::function<void(bool stored)> done);
    void tryPlaceCopy(const EntryPtr &entry, std::vector<std::string> targets, std::function<void(bool stored)> done);
    void handOverEntry(const EntryPtr &entry);
    void onHandoverCopyDone(bool stored);
    std::vector<std::string> rankedHolders(const RequestIdParts &id) const;
    void onMembersChange();
    void sweep();
    void trimEndedSessions();
    bool isExpired(Entry &entry, TimePoint now);
    void removeEntry(const std::string &requestId);
    void evictCopies();
    StreamRegistryTools tools_;
    std::string self_;
    std::shared_ptr<CopySender> sender_;
    std::unordered_map<std::string, EntryPtr> entries_;
    std::unordered_map<std::string, std::vector<FoundHandler>> searches_; ///< By request id; one search at a time for each request.
    std::unordered_map<std::string, TimePoint> failedHolders_; ///< By instance: ranked last until this time.
    std::size_t copyBytes_ = 0;
    std::uint64_t nextNumber_ = 1;
    bool isLeaving_ = false;
    std::size_t handoverCopiesInFlight_ = 0; ///< Handover copies not yet answered.
    std::size_t handoverCopiesStored_ = 0; ///< Handover copies that were stored.
};

} // namespace cardamomlift::streams
