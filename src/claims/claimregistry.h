#pragma once

#include "claims/claimrow.h"
#include "claims/writebatcher.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cardamomlift::claims {

/// The answer of a holder to a query about its claim.
struct HolderAnswer {
    HolderState state = HolderState::NoAnswer;
    StoredResponse response;
};

using HolderAnswerHandler = std::function<void(HolderAnswer answer)>;

/// The claims of this process whose outcome is not in the table yet: open ones, and finished ones whose outcome is still
/// being written.
///
/// NOTE An attempt without an entry here was never dispatched, or its outcome is in the table. Peers rely on that (NotHeld),
/// so a finished claim stays here until its outcome is written; when the registry is full, new claims are refused.
class ClaimRegistry
{
public:
    static std::shared_ptr<ClaimRegistry> create(EventLoop &loop, std::shared_ptr<WriteBatcher> batcher, Holder holder);

    void open(const std::string &nonce);
    /// Removes an open claim that was never dispatched and cannot be in the table.
    void close(const std::string &nonce);
    /// Records the outcome of an open claim, answers the queries that wait for it, and writes it to the table, retrying
    /// until that succeeds. With NotRun the claim is deleted from the table.
    void settle(const Claim &claim, Outcome outcome, StoredResponse response);
    /// Reports the state of a claim; waits up to @p wait for the outcome of a running one.
    void query(const std::string &nonce, Duration wait, HolderAnswerHandler handler);
    /// Number of finished claims whose outcome is not in the table yet.
    std::size_t unsettledCount() const;
    bool isFull() const;

private:
    struct Waiter {
        HolderAnswerHandler handler;
        TimerId timer = 0;
    };
    struct Entry {
        Claim claim;
        bool ended = false;
        Outcome outcome = Outcome::Unknown;
        StoredResponse response;
        std::vector<std::shared_ptr<Waiter>> waiters;
        Duration backoff{0};
    };
    ClaimRegistry() = default;
    void notifyWaiters(Entry &entry, const HolderAnswer &answer);
    void write(const std::string &nonce);
    void onWritten(const std::string &nonce, table::WriteOutcome outcome);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<WriteBatcher> batcher_;
    Holder holder_;
    std::unordered_map<std::string, Entry> entries_; ///< By nonce.
    std::size_t unsettledCount_ = 0;
    std::size_t bodyBytes_ = 0;
};

} // namespace cardamomlift::claims
