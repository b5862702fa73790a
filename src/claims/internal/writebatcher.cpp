#include "claims/writebatcher.h"

#include "text/digest.h"

#include <algorithm>
#include <set>

namespace cardamomlift::claims {

namespace {

constexpr std::size_t MostWrites = 100; ///< The protocol's limit for one transaction.
constexpr std::size_t MostBytes = 384 * 1024; ///< Of one transaction, unless a single write is larger.
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
    std::shared_ptr<WriteBatcher> grouper(new WriteBatcher);
    grouper->loop_ = &loop;
    grouper->table_ = std::move(table);
    return grouper;
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
    // Posted, so that all writes of one turn of the loop go together.
    loop_->post([this] {
        scheduled_ = false;
        sendNext();
    });
}

WriteBatcher::Group WriteBatcher::takeGroup()
{
    Group group;
    std::deque<Entry> left;
    std::set<table::Key> keys;
    std::size_t bytes = 0;
    while (!queue_.empty()) {
        Entry entry = std::move(queue_.front());
        queue_.pop_front();
        if (!entry.isWanted()) {
            entry.handler({table::WriteOutcome::NotWritten, {}, "no longer wanted"});
            continue;
        }
        const std::size_t size = sizeOf(entry.write);
        const bool isFull = group.size() >= MostWrites || (!group.empty() && bytes + size > MostBytes);
        // NOTE A transaction may not name a key twice, and a later write of a key must not overtake an earlier one.
        const bool isNewKey = keys.insert(entry.write.item.key).second;
        if (isFull || !isNewKey) {
            left.push_back(std::move(entry));
            continue;
        }
        bytes += size;
        group.push_back(std::move(entry));
    }
    while (!left.empty()) {
        queue_.push_front(std::move(left.back()));
        left.pop_back();
    }
    return group;
}

void WriteBatcher::sendNext()
{
    auto group = std::make_shared<Group>(takeGroup());
    if (group->empty()) {
        return;
    }
    inFlight_ = true;
    const auto handler = [this, group](const table::WriteResult &result) {
        inFlight_ = false;
        settle(*group, result);
        schedule();
    };
    if (group->size() == 1) {
        table_->write(group->front().write, handler);
        return;
    }
    std::vector<table::Write> writes;
    for (const Entry &entry : *group) {
        writes.push_back(entry.write);
    }
    table_->transact(std::move(writes), text::randomHex(TokenBytes), handler);
}

void WriteBatcher::settle(Group &group, const table::WriteResult &result)
{
    const bool isCancelled = result.outcome == table::WriteOutcome::ConditionFailed && group.size() > 1;
    if (!isCancelled) {
        for (Entry &entry : group) {
            entry.handler(result);
        }
        return;
    }
    const bool saysWhich = result.failed.size() == group.size() && std::find(result.failed.begin(), result.failed.end(), true) != result.failed.end();
    if (!saysWhich) {
        // Cancelled for another reason, as a conflict with a transaction in progress.
        for (Entry &entry : group) {
            entry.handler({table::WriteOutcome::NotWritten, {}, result.error});
        }
        return;
    }
    Group again;
    for (std::size_t i = 0; i < group.size(); i++) {
        if (result.failed[i]) {
            group[i].handler({table::WriteOutcome::ConditionFailed, {true}, result.error});
        } else {
            again.push_back(std::move(group[i]));
        }
    }
    queue_.insert(queue_.begin(), std::make_move_iterator(again.begin()), std::make_move_iterator(again.end()));
}

} // namespace cardamomlift::claims
