#pragma once

#include "duties/dutytypes.h"
#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "presence/presence.h"
#include "rows/rowstore.h"

#include <memory>
#include <optional>

namespace cardamomlift::duties {

/// What the lease works with.
struct LeaseTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<rows::RowStore> store;
    std::shared_ptr<presence::Presence> presence;
    std::shared_ptr<eventlog::EventLog> log;
    Duration length = std::chrono::seconds(3);
};

/// The one lease on all duties. It is a row that the holder writes anew before the lease runs out. Another VM takes it
/// only after it has seen the same version of the row for longer than the lease, by its own clock; so no clocks are compared.
/// After the store was restored from an older copy the row may name a holder of before; then nobody takes the lease sooner,
/// and a VM that holds it writes the row anew.
class LeaderLease : public std::enable_shared_from_this<LeaderLease>
{
public:
    static std::shared_ptr<LeaderLease> start(LeaseTools tools);
    ~LeaderLease();

    /// True if this VM may call the platform now. Asked right before each call, not once for several.
    bool isHeld() const;
    std::uint64_t fence() const;
    /// The row as this VM has written it last; only while it holds the lease.
    const LeaseRow &row() const;
    /// Writes a changed row; it keeps the holder and the fence. @p done tells whether it stands in the store.
    void update(LeaseRow row, std::function<void(bool written)> done);
    /// The platform has all reports up to @p window; stands in the row from the next renewal on.
    void noteArrived(std::int64_t window);
    /// The store was restored last before this: when this VM noticed it, or else when its process began.
    TimePoint restoredBy() const;
    /// Gives the lease up at the end of the process.
    void release();

private:
    explicit LeaderLease(LeaseTools tools);
    void tick();
    void renew();
    void observe();
    void readRow();
    void onRow(const rows::ReadResult &result);
    void takeRow(const rows::ReadResult &result);
    void rewriteOver(const rows::RowPage &page);
    bool isBeforeRestore() const;
    std::uint64_t nextFence(const LeaseRow &before) const;
    void tryRelease();
    void tryTake(const LeaseRow &before, rows::StoreVersion expectedVersion);
    void write(LeaseRow row, rows::StoreVersion expectedVersion, std::function<void(bool written)> done);
    void onWritten(const LeaseRow &row, TimePoint sentAt, const rows::WriteResult &result, const std::function<void(bool written)> &done);
    void lose(std::string_view reason);
    bool isMyTurn() const;
    LeaseTools tools_;
    bool holds_ = false;
    bool writing_ = false;
    bool reading_ = false;
    bool lacksStore_ = false; ///< The last call for the lease failed.
    bool ended_ = false; ///< Released; never taken again by this process.
    LeaseRow row_;
    rows::StoreVersion version_; ///< Of the row as it was written or seen last.
    bool sawRestore_ = false; ///< The store was restored since this process began.
    TimePoint restoredBy_; ///< When that was noticed last; else when the process began.
    TimePoint heldUntil_;
    TimePoint renewedAt_;
    std::optional<TimePoint> seenAt_; ///< Since when another's row has had version_.
    TimerId timer_ = 0;
};

} // namespace cardamomlift::duties
