#pragma once

#include "contract/contractset.h"
#include "contract/contractstore.h"
#include "kernel/eventloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamomlift::contract {

/// Time between two readings of the head revision by one VM, so that @p listed entry VMs together stay under ten
/// readings a second.
Duration pollPeriod(std::size_t listed);
/// The pause before reading number @p count of a VM: between half and one and a half @p period, so that VMs started
/// together don't read together.
Duration pollDelay(Duration period, std::string_view instance, std::uint64_t count);

/// Brings accepted edits from the table into the ContractSet of this VM, and keeps how current that is.
class ContractSync
{
public:
    static std::shared_ptr<ContractSync> create(EventLoop &loop, std::shared_ptr<ContractStore> store, std::shared_ptr<ContractSet> set);

    /// @p instance is this VM; @p listed gives the number of live entry VMs.
    void start(std::string instance, std::function<std::size_t()> listed);
    /// True once all contracts are known, from the table or from peers.
    bool hasAllContracts() const;
    /// All contracts are known from peers.
    void setHasAllContracts();
    /// Called once, when hasAll() turns true.
    void onReady(std::function<void()> handler);
    /// Reads now instead of at the next period.
    void poll();
    /// The table held at @p asOf no edit that is missing here.
    void confirm(TimePoint asOf);
    /// The newest confirm(), or nothing.
    std::optional<TimePoint> confirmedAsOf() const;

private:
    ContractSync() = default;
    void schedule();
    void onHead(Result<std::uint64_t> head, TimePoint asked);
    void readAll(std::uint64_t revision);
    void readChanges(std::uint64_t head, TimePoint asked);
    bool takeOver(const std::vector<ContractVersion> &versions);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<ContractStore> store_;
    std::shared_ptr<ContractSet> set_;
    std::string instance_;
    std::function<std::size_t()> listed_;
    std::uint64_t polls_ = 0;
    std::function<void()> readyHandler_;
    std::optional<TimePoint> confirmedAsOf_;
    bool hasAllContracts_ = false;
    bool busy_ = false;
};

} // namespace cardamomlift::contract
