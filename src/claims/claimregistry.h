#pragma once

#include "claims/claimrow.h"
#include "claims/writebatcher.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cardamomlift::claims {

/// What the holder of a claim says of it.
struct HolderAnswer {
    HolderState state = HolderState::NoAnswer;
    StoredResponse response;
};

using HolderReply = std::function<void(HolderAnswer answer)>;

/// The claims of this process that the table does not know the end of: open ones, and ended ones whose end is still
/// being written.
///
/// NOTE An attempt that is not here was never dispatched, or its end is in the table. Others rely on that (NotHeld), so
/// an ended claim stays here until the table has it; when there is no room, new claims are refused.
class ClaimRegistry
{
public:
    static std::shared_ptr<ClaimRegistry> create(EventLoop &loop, std::shared_ptr<WriteBatcher> grouper, Holder holder);

    void open(const std::string &nonce);
    /// Forgets an open claim that was never dispatched and of which nothing can stand in the table.
    void close(const std::string &nonce);
    /// Keeps the end of an open claim, tells those who wait for it, and writes it to the table until the table has it.
    /// With NotRun the claim is taken back.
    void settle(const Claim &claim, Outcome outcome, StoredResponse response);
    /// Says what became of a claim; waits up to @p wait for its end.
    void ask(const std::string &nonce, Duration wait, HolderReply reply);
    /// Ended claims whose end the table has not taken.
    std::size_t unsettled() const;
    bool isFull() const;

private:
    struct Waiter {
        HolderReply reply;
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
    void tellWaiters(Entry &entry, const HolderAnswer &answer);
    void write(const std::string &nonce);
    void onWritten(const std::string &nonce, table::WriteOutcome outcome);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<WriteBatcher> grouper_;
    Holder holder_;
    std::unordered_map<std::string, Entry> entries_; ///< By nonce.
    std::size_t unsettled_ = 0;
    std::size_t bodyBytes_ = 0;
};

} // namespace cardamomlift::claims
