#include "contract/contractsync.h"

namespace cardamomlift::contract {

std::shared_ptr<ContractSync> ContractSync::create(EventLoop &loop, std::shared_ptr<ContractStore> store, std::shared_ptr<ContractSet> set)
{
    std::shared_ptr<ContractSync> sync(new ContractSync);
    sync->loop_ = &loop;
    sync->store_ = std::move(store);
    sync->set_ = std::move(set);
    return sync;
}

void ContractSync::start(Duration period)
{
    poll();
    loop_->every(period, [this] { poll(); });
}

bool ContractSync::hasAll() const
{
    return hasAll_;
}

void ContractSync::onReady(std::function<void()> handler)
{
    readyHandler_ = std::move(handler);
}

void ContractSync::poll()
{
    if (busy_) {
        return;
    }
    busy_ = true;
    store_->headRevision([this](Result<std::uint64_t> head) {
        if (!head || (hasAll_ && head.value() <= set_->revision())) {
            busy_ = false;
            return;
        }
        if (hasAll_) {
            readChanges();
        } else {
            readAll(head.value());
        }
    });
}

// The head was read first: contracts read after it are at least as new.
void ContractSync::readAll(std::uint64_t revision)
{
    store_->readAll([this, revision](Result<std::vector<ContractVersion>> versions) {
        busy_ = false;
        if (!versions) {
            return;
        }
        for (const ContractVersion &version : versions.value()) {
            set_->offer(version);
        }
        set_->setRevision(revision);
        hasAll_ = true;
        if (readyHandler_) {
            readyHandler_();
        }
    });
}

void ContractSync::readChanges()
{
    store_->changesAfter(set_->revision(), [this](Result<std::vector<ContractVersion>> versions) {
        busy_ = false;
        if (!versions) {
            return;
        }
        for (const ContractVersion &version : versions.value()) {
            set_->offer(version);
            set_->setRevision(version.revision);
        }
    });
}

} // namespace cardamomlift::contract
