#pragma once

#include "kernel/eventloop.h"
#include "origins/originstypes.h"
#include "rows/rowstore.h"

#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::origins {

/// Dependencies of StoredOrigins.
struct StoredOriginsTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<rows::RowStore> store;
    std::string instance; ///< This VM, which writes rows of its own.
};

/// Origins of streams in the platform's store, where they outlive a restart of all VMs. Each row holds the origins of less than a
/// hundred milliseconds; its key is the store's time at which it was written, so that the rows of the last minute are read in few calls.
class StoredOrigins : public std::enable_shared_from_this<StoredOrigins>
{
public:
    using ReadHandler = std::function<void(std::span<const StreamOrigin> origins)>;

    static std::shared_ptr<StoredOrigins> create(StoredOriginsTools tools);
    ~StoredOrigins();
    /// Writes @p origin at once, or within a hundred milliseconds with others. If the store does not answer, the newest are kept and written later.
    void add(const StreamOrigin &origin);
    /// Calls @p handler with all origins that have not expired; with none if the store can't be read.
    void read(ReadHandler handler);

private:
    explicit StoredOrigins(StoredOriginsTools tools);
    struct PendingOrigin {
        StreamOrigin origin;
        TimePoint addedAt;
    };
    std::optional<Duration> storeTime() const;
    Duration untilNextWrite() const;
    void scheduleWrite(Duration delay);
    void write();
    void onWritten(const std::string &key, std::size_t count, const rows::WriteResult &result);
    /// Origins that are written in one row, from the oldest on.
    std::vector<StreamOrigin> nextOrigins() const;
    std::vector<rows::RowWrite> takeExpired(Duration now);
    /// Looks for expired rows of VMs and processes that are gone.
    void findExpired();
    void readPage(const std::string &from, std::vector<StreamOrigin> found);
    void endReading(std::span<const StreamOrigin> found);

    StoredOriginsTools tools_;
    std::deque<PendingOrigin> pending_; ///< Oldest first.
    std::deque<std::string> written_; ///< Keys of rows to be removed once they expire, oldest first.
    TimerId writeTimer_ = 0;
    bool isWriting_ = false;
    TimePoint writesAgainAt_;
    TimePoint looksForExpiredAt_;
    std::vector<ReadHandler> readers_; ///< Wait for the read in progress.
};

} // namespace cardamomlift::origins
