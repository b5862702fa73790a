#pragma once

#include "contract/contractset.h"
#include "contract/contractstore.h"
#include "kernel/eventloop.h"

#include <functional>
#include <memory>

namespace cardamomlift::contract {

/// Brings accepted edits from the table into the ContractSet of this VM.
class ContractSync
{
public:
    static std::shared_ptr<ContractSync> create(EventLoop &loop, std::shared_ptr<ContractStore> store, std::shared_ptr<ContractSet> set);

    void start(Duration period);
    /// True once all contracts were read.
    bool hasAll() const;
    /// Called once, when hasAll() turns true.
    void onReady(std::function<void()> handler);
    /// Reads now instead of at the next period.
    void poll();

private:
    ContractSync() = default;
    void readAll(std::uint64_t revision);
    void readChanges();
    EventLoop *loop_ = nullptr;
    std::shared_ptr<ContractStore> store_;
    std::shared_ptr<ContractSet> set_;
    std::function<void()> readyHandler_;
    bool hasAll_ = false;
    bool busy_ = false;
};

} // namespace cardamomlift::contract
