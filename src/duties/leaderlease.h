#pragma once

#include "duties/dutytypes.h"
#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "presence/presence.h"
#include "rows/rowstore.h"

#include <memory>
#include <optional>

namespace cardamomlift::duties {

/// Dependencies and settings of the lease.
struct LeaseTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<rows::RowStore> store;
    std::shared_ptr<presence::Presence> presence;
    std::shared_ptr<eventlog::EventLog> log;
    Duration length = std::chrono::seconds(3);
};

/// The lease that makes one VM the leader: the one that orders servers, reports usage and decides rollouts. It is a row in
/// the platform's store that the holder renews before the lease expires. Another VM takes it over only after it has seen the
/// same version of the row for longer than the lease, by its own clock, so clocks of different VMs are never compared.
/// After the store was restored from an older copy, the row may name an earlier holder. Nobody may shorten the wait then,
/// and a VM that holds the lease writes its row again.
class LeaderLease : public std::enable_shared_from_this<LeaderLease>
{
public:
    static std::shared_ptr<LeaderLease> start(LeaseTools tools);
    ~LeaderLease();

    /// True if this VM may act as the leader now. To be checked right before each call to the platform, not once for several.
    bool isHeld() const;
    /// The fencing token of the calls that this VM makes as the leader.
    std::uint64_t fence() const;
    /// The row as this VM last wrote it. Valid only while it holds the lease.
    const LeaseRow &row() const;
    /// Writes a changed row with the same holder and fence. @p done is told whether the store has it.
    void update(LeaseRow row, std::function<void(bool written)> done);
    /// Records that the platform has all reports up to @p window. Written with the next renewal of the row.
    void noteArrived(std::int64_t window);
    /// An upper bound on the time of the store's last restore: when this VM noticed it, or else when its process started.
    TimePoint restoredBefore() const;
    /// Gives the lease up when the process shuts down.
    void release();

private:
    explicit LeaderLease(LeaseTools tools);
    void tick();
    void renew();
    void observe();
    void readRow();
    void onRow(const rows::ReadResult &result);
    void considerTakeover(const rows::ReadResult &result);
    void rewriteAfterRestore(const rows::RowPage &page);
    /// The row as this VM knows it is of an earlier era than the store.
    bool isOfEarlierEra() const;
    std::uint64_t nextFence(const LeaseRow &before) const;
    void tryRelease();
    void takeOver(const LeaseRow &before, rows::StoreVersion expectedVersion);
    void write(LeaseRow row, rows::StoreVersion expectedVersion, std::function<void(bool written)> done);
    void onWritten(const LeaseRow &row, TimePoint sentAt, const rows::WriteResult &result, const std::function<void(bool written)> &done);
    void lose(std::string_view reason);
    bool isPreferredCandidate() const;
    LeaseTools tools_;
    bool holds_ = false;
    bool writing_ = false;
    bool reading_ = false;
    bool isStoreUnavailable_ = false; ///< The last call to the store for the lease failed.
    bool isShuttingDown_ = false; ///< Set by release(); this process never takes the lease again.
    LeaseRow row_;
    rows::StoreVersion version_; ///< Of the row as last written or seen.
    bool sawRestore_ = false; ///< The store was restored since this process started.
    TimePoint restoredBefore_; ///< When a restore was last noticed, or else when the process started.
    TimePoint heldUntil_;
    TimePoint renewedAt_;
    std::optional<TimePoint> unchangedSince_; ///< Since when another VM's row has had version_.
    TimerId timer_ = 0;
};

} // namespace cardamomlift::duties
