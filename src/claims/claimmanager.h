#pragma once

#include "claims/claimregistry.h"
#include "claims/claimtypes.h"
#include "kernel/eventloop.h"
#include "membership/members.h"
#include "peers/peertransport.h"
#include "table/table.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamomlift::claims {

using BeginHandler = std::function<void(BeginResult result)>;

/// What a ClaimManager works with.
struct ClaimTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<table::Table> table;
    std::shared_ptr<peers::PeerTransport> peers;
    std::shared_ptr<membership::Members> members;
    Holder holder;
};

/// Claims on idempotency keys in the platform's table, so that a call with a key runs at most once.
///
/// One conditional write right before the dispatch is the permission to dispatch; a second one keeps the answer.
/// Only the attempt that wrote a claim ever dispatches it. An attempt that meets another's claim asks its holder.
class ClaimManager
{
public:
    static std::shared_ptr<ClaimManager> create(ClaimTools tools);

    /// Tries to claim the key. @p handler is called once, within patience, or within timeout if the key is running.
    void begin(ClaimRequest request, BeginHandler handler);
    /// Whether a claimed call may still be sent. Ask right before its first byte.
    bool mayDispatch(const Claim &claim) const;
    /// Records how a claimed call ended. The end counts at once for whoever asks this VM; the table gets it as soon as it
    /// takes it.
    void finish(const Claim &claim, Outcome outcome, StoredResponse response);
    /// Ended calls whose end the table has not taken yet.
    std::size_t unsettled() const;

private:
    struct Attempt;
    using AttemptPtr = std::shared_ptr<Attempt>;
    ClaimManager() = default;
    static AttemptView viewOf(const Attempt &attempt, TimePoint now);
    void follow(const AttemptPtr &attempt, Decision decision, Duration pause);
    void armPatience(const AttemptPtr &attempt);
    void disarmPatience(const AttemptPtr &attempt);
    void writeClaim(const AttemptPtr &attempt);
    void onClaimWritten(const AttemptPtr &attempt, table::WriteOutcome outcome);
    void read(const AttemptPtr &attempt);
    void onRead(const AttemptPtr &attempt, const Result<std::optional<table::Item>> &item);
    void ask(const AttemptPtr &attempt);
    void onAsked(const AttemptPtr &attempt, const HolderAnswer &answer);
    void end(const AttemptPtr &attempt, BeginOutcome outcome);
    void answerPeer(const std::string &payload, const peers::Reply &reply);
    ClaimTools tools_;
    std::shared_ptr<WriteBatcher> grouper_;
    std::shared_ptr<ClaimRegistry> registry_;
};

} // namespace cardamomlift::claims
