#pragma once

#include "kernel/eventloop.h"
#include "origins/originsformat.h"
#include "origins/originstypes.h"
#include "origins/storedorigins.h"
#include "presence/datagramsocket.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::origins {

/// Dependencies of an OriginTracker.
struct OriginTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<presence::DatagramSocket> socket;
    OriginVm self;
    /// The other entry VMs; empty while it is not known which there are.
    std::function<std::optional<std::vector<OriginVm>>()> others;
    std::shared_ptr<StoredOrigins> stored; ///< May be null: all origins are forgotten when all VMs end.
};

/// Knows which software began the streams that callers may resume, over all entry VMs. The VM at which a stream begins tells a few VMs, chosen
/// by the stream's id, beside the first event; the VM at which it is resumed asks these. Origins survive as long as one of them runs, and are
/// told anew when VMs come, go or start again. Where several versions serve, they are written to the store, too.
class OriginTracker : public std::enable_shared_from_this<OriginTracker>
{
public:
    using FoundHandler = std::function<void(const FoundOrigin &found)>;

    static std::shared_ptr<OriginTracker> create(OriginTools tools);
    ~OriginTracker();

    /// The stream has begun with @p software, or has been resumed with it. @p isStored: it must be known also after a restart of all VMs.
    void noteBegun(StreamId stream, SoftwareId software, bool isStored = false);
    /// Calls @p handler with the origin, at once if this VM knows it. Else other VMs are asked, which takes some milliseconds, or
    /// until a time limit if some don't answer.
    void find(StreamId stream, FoundHandler handler);
    /// The same for a stream that no VM knows, from the store.
    void findStored(StreamId stream, FoundHandler handler);
    /// Forgets old origins, and tells VMs that have come or started again what they should know. Called several times a second.
    void tick();
    std::size_t size() const;

private:
    explicit OriginTracker(OriginTools tools);
    /// A stream whose origin this VM has asked for.
    struct Question {
        std::vector<FoundHandler> handlers;
        std::set<http1::Endpoint> withoutOrigin; ///< VMs that have answered that they don't know it.
        TimePoint endsAt;
    };
    struct Record {
        SoftwareId software = 0;
        TimePoint begunAt;
    };
    void remember(const StreamOrigin &origin);
    void store(const StreamOrigin &origin);
    void answerStored(StreamId stream, const FoundHandler &handler) const;
    void onDatagram(std::string_view bytes);
    void answer(const OriginMessage &message);
    void noteUnknown(StreamId stream, const http1::Endpoint &from);
    void finish(StreamId stream, const FoundOrigin &found);
    std::vector<http1::Endpoint> unansweredOwners(StreamId stream) const;
    /// Asks the VMs that have not answered yet.
    void ask(StreamId stream);
    void finishIfAnswered(StreamId stream, const std::vector<http1::Endpoint> &unanswered);
    void askAgain();
    void scheduleQuestions();
    void updateVms();
    void tellNewOwners(const std::vector<OriginVm> &before);
    StreamOrigin originOf(StreamId stream, const Record &record) const;
    OriginMessage &messageTo(const http1::Endpoint &endpoint);
    void scheduleSend();
    void sendMessages();
    void sendInParts(const http1::Endpoint &to, const OriginMessage &message);

    OriginTools tools_;
    std::vector<OriginVm> vms_; ///< All entry VMs, this one first.
    bool isFleetKnown_ = false;
    std::unordered_map<StreamId, Record> records_;
    TimePoint readsStoreAgainAt_;
    std::deque<std::pair<StreamId, TimePoint>> order_; ///< Records with the time at which they came, oldest first.
    std::map<StreamId, Question> questions_;
    std::map<http1::Endpoint, OriginMessage> outgoing_;
    TimerId sendTimer_ = 0;
    TimerId questionTimer_ = 0;
};

} // namespace cardamomlift::origins
