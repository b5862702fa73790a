#pragma once

#include "claims/claimtypes.h"
#include "kernel/eventloop.h"
#include "table/table.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamomlift::claims {

using BeginHandler = std::function<void(BeginResult result)>;

/// Claims on idempotency keys in the platform's table: one conditional write right before dispatch, one for the answer.
class ClaimKeeper
{
public:
    static std::shared_ptr<ClaimKeeper> create(EventLoop &loop, std::shared_ptr<table::Table> table, std::string instance);

    /// Tries to claim the key. @p handler is called once.
    void begin(ClaimRequest request, BeginHandler handler);
    /// Records how a claimed call ended; with NotRun the claim is taken back. @p done is called when the table took it
    /// or it was given up.
    void finish(const Claim &claim, Outcome outcome, const KeptAnswer &answer, std::function<void()> done);

private:
    ClaimKeeper() = default;
    void readExisting(Claim claim, bool mayBeOurs, BeginHandler handler);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<table::Table> table_;
    std::string instance_;
};

} // namespace cardamomlift::claims
