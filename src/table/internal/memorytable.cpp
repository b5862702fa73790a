#include "table/memorytable.h"

namespace cardamomlift::table {

std::string attribute(const Item &item, std::string_view name)
{
    const auto found = item.attributes.find(name);
    return found == item.attributes.end() ? std::string() : found->second;
}

std::optional<Item> MemoryRows::get(const Key &key) const
{
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<Item> MemoryRows::query(const std::string &partition, const std::string &afterSort, std::size_t limit) const
{
    std::vector<Item> result;
    for (auto next = items_.upper_bound(Key{partition, afterSort}); next != items_.end() && result.size() < limit; ++next) {
        if (next->first.partition != partition) {
            break;
        }
        result.push_back(next->second);
    }
    return result;
}

bool MemoryRows::conditionHolds(const Write &write) const
{
    const auto found = items_.find(write.item.key);
    switch (write.condition.kind) {
    case ConditionKind::None:
        return true;
    case ConditionKind::ItemAbsent:
        return found == items_.end();
    case ConditionKind::AttributeEquals:
        return found != items_.end() && attribute(found->second, write.condition.attribute) == write.condition.value;
    }
    return false;
}

WriteResult MemoryRows::transact(std::span<const Write> writes, const std::string &token)
{
    if (!token.empty() && tokens_.contains(token)) {
        return WriteResult{WriteOutcome::Written};
    }
    WriteResult result{WriteOutcome::Written};
    for (const Write &write : writes) {
        result.failed.push_back(!conditionHolds(write));
        if (result.failed.back()) {
            result.outcome = WriteOutcome::ConditionFailed;
        }
    }
    if (result.outcome == WriteOutcome::ConditionFailed) {
        return result;
    }
    for (const Write &write : writes) {
        if (write.kind == WriteKind::Put) {
            items_[write.item.key] = write.item;
        } else if (write.kind == WriteKind::Delete) {
            items_.erase(write.item.key);
        }
    }
    if (!token.empty()) {
        tokens_.insert(token);
    }
    return result;
}

std::size_t MemoryRows::size() const
{
    return items_.size();
}

MemoryTable::MemoryTable(EventLoop &loop)
    : loop_(loop)
{
}

std::shared_ptr<MemoryTable> MemoryTable::create(EventLoop &loop, std::shared_ptr<MemoryRows> rows)
{
    std::shared_ptr<MemoryTable> table(new MemoryTable(loop));
    table->rows_ = std::move(rows);
    return table;
}

void MemoryTable::submit(std::function<void()> operation)
{
    if (faults.freeze) {
        heldOperations_.push_back(std::move(operation));
        return;
    }
    loop_.post(std::move(operation));
}

void MemoryTable::release()
{
    for (auto &operation : heldOperations_) {
        loop_.post(std::move(operation));
    }
    heldOperations_.clear();
}

void MemoryTable::get(Key key, GetHandler handler)
{
    counters_.reads++;
    submit([this, key = std::move(key), handler = std::move(handler)] {
        if (faults.down || faults.loseAnswers) {
            counters_.unavailable++;
            handler(failure(ErrorKind::Unavailable, "table unavailable (injected fault)"));
            return;
        }
        handler(rows_->get(key));
    });
}

void MemoryTable::query(std::string partition, std::string afterSort, std::size_t limit, QueryHandler handler)
{
    counters_.reads++;
    submit([this, partition = std::move(partition), afterSort = std::move(afterSort), limit, handler = std::move(handler)] {
        if (faults.down || faults.loseAnswers) {
            counters_.unavailable++;
            handler(failure(ErrorKind::Unavailable, "table unavailable (injected fault)"));
            return;
        }
        handler(rows_->query(partition, afterSort, limit));
    });
}

void MemoryTable::write(Write write, WriteHandler handler)
{
    transact({std::move(write)}, std::string(), std::move(handler));
}

void MemoryTable::transact(std::vector<Write> writes, std::string token, WriteHandler handler)
{
    counters_.writeRequests++;
    counters_.itemsWritten += writes.size();
    submit([this, writes = std::move(writes), token = std::move(token), handler = std::move(handler)] {
        if (faults.down) {
            counters_.unavailable++;
            handler(WriteResult{WriteOutcome::NotWritten, {}, "table unavailable (injected fault)"});
            return;
        }
        WriteResult result = rows_->transact(writes, token);
        if (faults.loseAnswers) {
            counters_.unavailable++;
            result = WriteResult{WriteOutcome::Unknown, {}, "response of the table lost (injected fault)"};
        }
        handler(result);
    });
}

const TableCounters &MemoryTable::counters() const
{
    return counters_;
}

} // namespace cardamomlift::table
