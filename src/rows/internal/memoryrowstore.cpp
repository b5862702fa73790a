#include "rows/memoryrowstore.h"

#include <algorithm>

namespace cardamomlift::rows {

namespace {

/// How often a long poll checks for changes.
constexpr Duration PollPeriod = std::chrono::milliseconds(20);
/// Time after which a call without a response fails.
constexpr Duration AnswerTimeout = std::chrono::seconds(1);

/// Truncates @p page to its first @p limit changes, or to more where a transaction would be split.
RowPage truncateChanges(RowPage page, std::size_t limit)
{
    std::size_t kept = std::min(limit, page.rows.size());
    while (kept > 0 && kept < page.rows.size() && page.rows[kept].version == page.rows[kept - 1].version) {
        kept++;
    }
    if (kept == page.rows.size()) {
        return page;
    }
    page.rows.resize(kept);
    page.version = page.rows.back().version;
    page.hasMore = true;
    return page;
}

} // namespace

// After a restore the rows of the copy belong to the new era, too.
Row MemoryRows::inCurrentEra(Row row) const
{
    row.version.era = era_;
    return row;
}

WriteResult MemoryRows::transact(const std::vector<RowWrite> &writes)
{
    WriteResult result;
    bool isSatisfied = true;
    for (const RowWrite &write : writes) {
        const auto found = rows_.find({write.table, write.key});
        const std::uint64_t current = found == rows_.end() ? 0 : found->second.version.number;
        if (write.isConditional && current != write.expectedVersion.number) {
            isSatisfied = false;
        }
        if (write.isConditional && found != rows_.end()) {
            result.current.push_back(inCurrentEra(found->second));
        }
    }
    result.version = version();
    if (!isSatisfied) {
        result.outcome = WriteOutcome::Conflict;
        return result;
    }
    version_++;
    for (const RowWrite &write : writes) {
        const Row row{write.key, write.value, version(), write.removes};
        history_.push_back({write.table, row});
        if (write.removes) {
            rows_.erase({write.table, write.key});
        } else {
            rows_[{write.table, write.key}] = row;
        }
    }
    result.outcome = WriteOutcome::Written;
    result.version = version();
    result.current.clear();
    return result;
}

RowPage MemoryRows::read(const std::string &table, const std::string &from, std::size_t limit) const
{
    RowPage page;
    page.version = version();
    for (auto row = rows_.lower_bound({table, from}); row != rows_.end() && row->first.first == table; ++row) {
        if (page.rows.size() == limit) {
            page.hasMore = true;
            break;
        }
        page.rows.push_back(inCurrentEra(row->second));
    }
    return page;
}

std::pair<StoreFailure, RowPage> MemoryRows::changes(const std::string &table, StoreVersion version) const
{
    RowPage page;
    page.version = this->version();
    if (version.era != era_ || version.number < compactedTo_ || version.number > version_) {
        return {StoreFailure::HistoryLost, page};
    }
    for (const Change &change : history_) {
        if (change.table == table && change.row.version.number > version.number) {
            page.rows.push_back(inCurrentEra(change.row));
        }
    }
    return {StoreFailure::None, page};
}

void MemoryRows::compact()
{
    version_++;
    compactedTo_ = version_;
    history_.clear();
}

void MemoryRows::restore(const MemoryRows &copy)
{
    const std::uint64_t next = era_ + 1;
    *this = copy;
    era_ = next;
}

StoreVersion MemoryRows::version() const
{
    return {era_, version_};
}

MemoryRowStore::MemoryRowStore(EventLoop &loop, std::shared_ptr<MemoryRows> rows)
    : loop_(loop)
    , rows_(std::move(rows))
{
}

std::shared_ptr<MemoryRowStore> MemoryRowStore::create(EventLoop &loop, std::shared_ptr<MemoryRows> rows)
{
    return std::shared_ptr<MemoryRowStore>(new MemoryRowStore(loop, std::move(rows)));
}

ReadResult MemoryRowStore::failed(StoreFailure failure, TimePoint sentAt) const
{
    ReadResult result;
    result.failure = failure;
    result.sentAt = sentAt;
    return result;
}

void MemoryRowStore::read(std::string table, std::string from, ReadHandler handler)
{
    calls++;
    const TimePoint sentAt = loop_.now();
    if (faults.silent) {
        loop_.after(
            AnswerTimeout, [self = shared_from_this(), sentAt, handler = std::move(handler)] { handler(self->failed(StoreFailure::NoAnswer, sentAt)); });
        return;
    }
    loop_.post([self = shared_from_this(), table = std::move(table), from = std::move(from), sentAt, handler = std::move(handler)] {
        if (self->faults.down) {
            handler(self->failed(StoreFailure::Refused, sentAt));
            return;
        }
        ReadResult result;
        result.sentAt = sentAt;
        self->eras().note(self->rows_->version().era);
        result.page = self->rows_->read(table, from, self->pageSize);
        result.page.storeTime = self->loop_.now().time_since_epoch();
        handler(result);
    });
}

void MemoryRowStore::changes(std::string table, StoreVersion version, Duration wait, ReadHandler handler)
{
    calls++;
    const TimePoint sentAt = loop_.now();
    if (faults.silent) {
        loop_.after(
            wait + AnswerTimeout, [self = shared_from_this(), sentAt, handler = std::move(handler)] { handler(self->failed(StoreFailure::NoAnswer, sentAt)); });
        return;
    }
    loop_.post([self = shared_from_this(), table = std::move(table), version, sentAt, end = sentAt + wait, handler = std::move(handler)] {
        self->pollChanges(table, version, sentAt, end, handler);
    });
}

void MemoryRowStore::pollChanges(const std::string &table, StoreVersion version, TimePoint sentAt, TimePoint end, const ReadHandler &handler)
{
    if (faults.down) {
        handler(failed(StoreFailure::Refused, sentAt));
        return;
    }
    eras().note(rows_->version().era);
    auto [failure, page] = rows_->changes(table, version);
    if (failure == StoreFailure::None && page.rows.empty() && loop_.now() < end) {
        loop_.after(PollPeriod, [self = shared_from_this(), table, version, sentAt, end, handler] { self->pollChanges(table, version, sentAt, end, handler); });
        return;
    }
    ReadResult result = failed(failure, sentAt);
    result.page = truncateChanges(std::move(page), pageSize);
    result.page.storeTime = loop_.now().time_since_epoch();
    handler(result);
}

void MemoryRowStore::write(std::vector<RowWrite> writes, WriteHandler handler)
{
    calls++;
    if (faults.silent || faults.loseAnswers) {
        if (faults.loseAnswers) {
            rows_->transact(writes);
        }
        loop_.after(AnswerTimeout, [handler = std::move(handler)] { handler(WriteResult()); });
        return;
    }
    loop_.post([self = shared_from_this(), writes = std::move(writes), handler = std::move(handler)] {
        if (self->faults.down) {
            WriteResult refused;
            refused.outcome = WriteOutcome::NotWritten;
            handler(refused);
            return;
        }
        self->eras().note(self->rows_->version().era);
        WriteResult conflict;
        conflict.outcome = WriteOutcome::Conflict;
        handler(isOutdated(writes, self->eras().current()) ? conflict : self->rows_->transact(writes));
    });
}

std::optional<StoreClock> MemoryRowStore::clock() const
{
    return StoreClock{loop_.now().time_since_epoch(), loop_.now()};
}

} // namespace cardamomlift::rows
