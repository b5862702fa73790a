#pragma once

#include "presence/presence.h"
#include "rows/rowwatch.h"

#include <functional>
#include <memory>
#include <vector>

namespace cardamomlift::presence {

/// Spreads what some VMs read from the store to the others, so that the calls to the store do not grow with the VMs. A few
/// VMs follow the tables there; the others hear of changes, and of how fresh that is, by statuses, and ask the store
/// themselves only when they hear too little.
class TableRelay : public std::enable_shared_from_this<TableRelay>
{
public:
    static std::shared_ptr<TableRelay> create(EventLoop &loop, std::shared_ptr<Presence> presence);
    /// Relays @p watch. @p askAfter: with knowledge older than this the VM asks the store itself.
    void add(std::shared_ptr<rows::RowWatch> watch, Duration askAfter);
    /// Called before changes are taken from a peer for which the store was away until @p backAt: entries may have lapsed
    /// meanwhile.
    void onOutage(std::function<void(TimePoint backAt)> handler);
    /// True if this VM is one of those that follow the store.
    bool isStoreReader() const;

private:
    struct Entry {
        std::shared_ptr<rows::RowWatch> watch;
        Duration askAfter{0};
        rows::StoreVersion lacked; ///< Version of a change that another VM knows and that was not told; known here if the watch has it.
        TimePoint lackedSince;
    };
    TableRelay(EventLoop &loop, std::shared_ptr<Presence> presence);
    /// True if a VM that follows the store was heard lately.
    bool hearsStoreReader() const;
    Duration storeReaderTimeout() const;
    /// True if @p peer, a VM or a group, is one that may follow the store.
    bool mayBeStoreReader(const Peer &peer) const;
    bool isSource(const Status &status) const;
    bool bringsNews(const Status &status) const;
    bool lacksChange(const rows::RowWatch &watch) const;
    void takeNews(Entry &entry, const rows::TableDelta &news, TimePoint provenAt, bool isOfFollower);
    void fill(Status &status) const;
    void takeStatus(const Status &status, std::optional<TimePoint> provenAt);
    EventLoop &loop_;
    std::shared_ptr<Presence> presence_;
    std::vector<Entry> watches_;
    std::function<void(TimePoint)> outage_;
};

} // namespace cardamomlift::presence
