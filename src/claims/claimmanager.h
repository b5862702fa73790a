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

/// The dependencies of a ClaimManager.
struct ClaimTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<table::Table> table;
    std::shared_ptr<peers::PeerTransport> peers;
    std::shared_ptr<membership::Members> members;
    Holder holder;
};

/// Claims idempotency keys in the platform's table, so that a call with a key runs at most once.
///
/// A conditional write right before the dispatch is the permission to dispatch; a second write stores the response.
/// Only the attempt that wrote a claim ever dispatches it. An attempt that finds another attempt's claim queries its
/// holder.
class ClaimManager
{
public:
    static std::shared_ptr<ClaimManager> create(ClaimTools tools);

    /// Tries to claim the key. @p handler is called once: within claimTimeout, or within answerTimeout if another attempt
    /// runs the call.
    void begin(ClaimRequest request, BeginHandler handler);
    /// Whether the lease of the claim still permits sending the call. To be checked right before the first byte is sent.
    bool mayDispatch(const Claim &claim) const;
    /// Records the outcome of a claimed call. Peers that query this VM get it at once; the write to the table is retried
    /// until it succeeds.
    void finish(const Claim &claim, Outcome outcome, StoredResponse response);
    /// Number of finished calls whose outcome is not in the table yet.
    std::size_t unsettledCount() const;

private:
    struct Attempt;
    using AttemptPtr = std::shared_ptr<Attempt>;
    ClaimManager() = default;
    static AttemptView viewOf(const Attempt &attempt, TimePoint now);
    void execute(const AttemptPtr &attempt, Decision decision, Duration delay);
    void startClaimTimer(const AttemptPtr &attempt);
    void cancelClaimTimer(const AttemptPtr &attempt);
    void writeClaim(const AttemptPtr &attempt);
    void onClaimWritten(const AttemptPtr &attempt, table::WriteOutcome outcome);
    void readRow(const AttemptPtr &attempt);
    void onRowRead(const AttemptPtr &attempt, const Result<std::optional<table::Item>> &item);
    void askHolder(const AttemptPtr &attempt);
    void onHolderAnswer(const AttemptPtr &attempt, const HolderAnswer &answer);
    void endAttempt(const AttemptPtr &attempt, BeginOutcome outcome);
    void onPeerQuery(const std::string &payload, const peers::Reply &reply);
    ClaimTools tools_;
    std::shared_ptr<WriteBatcher> batcher_;
    std::shared_ptr<ClaimRegistry> registry_;
};

} // namespace cardamomlift::claims
