#include "claims/writebatcher.h"

#include "text/digest.h"

#include <algorithm>
#include <set>

namespace cardamomlift::claims {

namespace {

constexpr std::size_t MaxWrites = 100; ///< The table protocol's limit for one transaction.
constexpr std::size_t MaxBytes = 384 * 1024; ///< Of one transaction, unless a single write is larger.
constexpr std::size_t TokenBytes = 16;

std::size_t sizeOf(const table::Write &write)
{
    std::size_t size = write.item.key.partition.size() + write.item.key.sort.size();
    for (const auto &[name, value] : write.item.attributes) {
        size += name.size() + value.size();
    }
    return size;
}

} // namespace

std::shared_ptr<WriteBatcher> WriteBatcher::create(EventLoop &loop, std::shared_ptr<table::Table> table)
{
    std::shared_ptr<WriteBatcher> batcher(new WriteBatcher);
    batcher->loop_ = &loop;
    batcher->table_ = std::move(table);
    return batcher;
}

void WriteBatcher::submit(table::Write write, std::function<bool()> isWanted, table::WriteHandler handler)
{
    queue_.push_back({std::move(write), std::move(isWanted), std::move(handler)});
    schedule();
}

void WriteBatcher::schedule()
{
    if (scheduled_ || inFlight_ || queue_.empty()) {
        return;
    }
    scheduled_ = true;
    // Posted, so that all writes of one iteration of the event loop are sent together.
    loop_->post([this] {
        scheduled_ = false;
        sendNext();
    });
}

WriteBatcher::Batch WriteBatcher::takeBatch()
{
    Batch batch;
    std::deque<Entry> deferred;
    std::set<table::Key> keys;
    std::size_t bytes = 0;
    while (!queue_.empty()) {
        Entry entry = std::move(queue_.front());
        queue_.pop_front();
        if (!entry.isWanted()) {
            entry.handler({table::WriteOutcome::NotWritten, {}, "write no longer needed"});
            continue;
        }
        const std::size_t size = sizeOf(entry.write);
        const bool isFull = batch.size() >= MaxWrites || (!batch.empty() && bytes + size > MaxBytes);
        // NOTE A transaction may not contain a key twice, and a later write of a key must not overtake an earlier one.
        const bool isNewKey = keys.insert(entry.write.item.key).second;
        if (isFull || !isNewKey) {
            deferred.push_back(std::move(entry));
            continue;
        }
        bytes += size;
        batch.push_back(std::move(entry));
    }
    while (!deferred.empty()) {
        queue_.push_front(std::move(deferred.back()));
        deferred.pop_back();
    }
    return batch;
}

void WriteBatcher::sendNext()
{
    auto batch = std::make_shared<Batch>(takeBatch());
    if (batch->empty()) {
        return;
    }
    inFlight_ = true;
    const auto handler = [this, batch](const table::WriteResult &result) {
        inFlight_ = false;
        settle(*batch, result);
        schedule();
    };
    if (batch->size() == 1) {
        table_->write(batch->front().write, handler);
        return;
    }
    std::vector<table::Write> writes;
    for (const Entry &entry : *batch) {
        writes.push_back(entry.write);
    }
    table_->transact(std::move(writes), text::randomHex(TokenBytes), handler);
}

void WriteBatcher::settle(Batch &batch, const table::WriteResult &result)
{
    const bool isCancelled = result.outcome == table::WriteOutcome::ConditionFailed && batch.size() > 1;
    if (!isCancelled) {
        for (Entry &entry : batch) {
            entry.handler(result);
        }
        return;
    }
    const bool namesFailedWrites = result.failed.size() == batch.size() && std::find(result.failed.begin(), result.failed.end(), true) != result.failed.end();
    if (!namesFailedWrites) {
        // Cancelled for another reason, such as a conflict with a transaction in progress.
        for (Entry &entry : batch) {
            entry.handler({table::WriteOutcome::NotWritten, {}, result.error});
        }
        return;
    }
    Batch resent;
    for (std::size_t i = 0; i < batch.size(); i++) {
        if (result.failed[i]) {
            batch[i].handler({table::WriteOutcome::ConditionFailed, {true}, result.error});
        } else {
            resent.push_back(std::move(batch[i]));
        }
    }
    queue_.insert(queue_.begin(), std::make_move_iterator(resent.begin()), std::make_move_iterator(resent.end()));
}

} // namespace cardamomlift::claims
