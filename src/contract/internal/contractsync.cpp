#include "contract/contractsync.h"

#include "text/digest.h"

#include <algorithm>

namespace cardamomlift::contract {

namespace {

constexpr Duration MinPeriod = std::chrono::milliseconds(500);
constexpr Duration PeriodPerVm = std::chrono::milliseconds(100);

} // namespace

Duration pollPeriod(std::size_t listed)
{
    return std::max(MinPeriod, PeriodPerVm * static_cast<std::int64_t>(listed));
}

Duration pollDelay(Duration period, std::string_view instance, std::uint64_t count)
{
    const auto periodUs = static_cast<std::uint64_t>(period.count());
    return period / 2 + Duration(static_cast<std::int64_t>(text::stableHash(instance, count) % periodUs));
}

std::shared_ptr<ContractSync> ContractSync::create(EventLoop &loop, std::shared_ptr<ContractStore> store, std::shared_ptr<ContractSet> set)
{
    std::shared_ptr<ContractSync> sync(new ContractSync);
    sync->loop_ = &loop;
    sync->store_ = std::move(store);
    sync->set_ = std::move(set);
    return sync;
}

void ContractSync::start(std::string instance, std::function<std::size_t()> listed)
{
    instance_ = std::move(instance);
    listed_ = std::move(listed);
    poll();
    schedule();
}

// A VM without the contracts polls with the shortest period, whatever the number of VMs.
void ContractSync::schedule()
{
    const Duration period = hasAllContracts_ ? pollPeriod(listed_()) : MinPeriod;
    loop_->after(pollDelay(period, instance_, polls_++), [this] {
        poll();
        schedule();
    });
}

bool ContractSync::hasAllContracts() const
{
    return hasAllContracts_;
}

void ContractSync::setHasAllContracts()
{
    if (hasAllContracts_) {
        return;
    }
    hasAllContracts_ = true;
    if (readyHandler_) {
        readyHandler_();
    }
}

void ContractSync::onReady(std::function<void()> handler)
{
    readyHandler_ = std::move(handler);
}

void ContractSync::confirm(TimePoint asOf)
{
    confirmedAsOf_ = confirmedAsOf_ ? std::max(*confirmedAsOf_, asOf) : asOf;
}

std::optional<TimePoint> ContractSync::confirmedAsOf() const
{
    return confirmedAsOf_;
}

void ContractSync::poll()
{
    if (busy_) {
        return;
    }
    busy_ = true;
    store_->headRevision([this, requestedAt = loop_->now()](Result<std::uint64_t> head) { onHead(std::move(head), requestedAt); });
}

void ContractSync::onHead(Result<std::uint64_t> head, TimePoint requestedAt)
{
    if (!head) {
        busy_ = false;
        return;
    }
    if (!hasAllContracts_) {
        readAll(head.value());
        return;
    }
    if (head.value() > set_->revision()) {
        readChanges(head.value(), requestedAt);
        return;
    }
    busy_ = false;
    confirm(requestedAt);
}

// The head revision was read first, so the contracts are at least as new. Some may be newer; readChanges() then reads the
// log entries after the head.
void ContractSync::readAll(std::uint64_t revision)
{
    store_->readAll([this, revision, requestedAt = loop_->now()](Result<std::vector<ContractVersion>> versions) {
        if (!versions) {
            busy_ = false;
            return;
        }
        for (const ContractVersion &version : versions.value()) {
            set_->applyIfNewer(version);
        }
        set_->setRevision(revision);
        readChanges(revision, requestedAt);
    });
}

void ContractSync::readChanges(std::uint64_t head, TimePoint requestedAt)
{
    store_->changesAfter(set_->revision(), [this, head, requestedAt](Result<std::vector<ContractVersion>> versions) {
        if (!versions) {
            busy_ = false;
            return;
        }
        if (applyLogEntries(versions.value())) {
            readChanges(head, requestedAt);
            return;
        }
        busy_ = false;
        if (set_->revision() >= head) {
            setHasAllContracts();
            confirm(requestedAt);
        }
    });
}

// NOTE A query is not a snapshot: it may return an entry written while it runs without the entries before it. Entries after
// a gap are left to the next poll. Returns true if more entries may follow.
bool ContractSync::applyLogEntries(const std::vector<ContractVersion> &versions)
{
    for (const ContractVersion &version : versions) {
        if (version.revision > set_->revision() + 1) {
            return false;
        }
        set_->applyIfNewer(version);
        set_->setRevision(version.revision);
    }
    return versions.size() >= ContractStore::PageLimit;
}

} // namespace cardamomlift::contract
