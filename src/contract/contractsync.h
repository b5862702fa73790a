#pragma once

#include "contract/contractset.h"
#include "contract/contractstore.h"
#include "kernel/eventloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamomlift::contract {

/// Time between two reads of the head revision by one VM. It grows with @p listed, the number of live entry VMs, so that
/// together they make at most ten reads per second.
Duration pollPeriod(std::size_t listed);
/// The delay before read number @p count of a VM: @p period with a jitter of half a period in either direction, so that VMs
/// started together don't read at the same time.
Duration pollDelay(Duration period, std::string_view instance, std::uint64_t count);

/// Applies the edits in the table to the ContractSet of this VM, and records as of when the set is known to be complete.
class ContractSync
{
public:
    static std::shared_ptr<ContractSync> create(EventLoop &loop, std::shared_ptr<ContractStore> store, std::shared_ptr<ContractSet> set);

    /// @p instance is this VM; @p listed returns the number of live entry VMs.
    void start(std::string instance, std::function<std::size_t()> listed);
    /// True once all contracts are known, from the table or from peers.
    bool hasAllContracts() const;
    /// Called when all contracts were received from peers.
    void setHasAllContracts();
    /// Sets the handler that is called once, when hasAllContracts() becomes true.
    void onReady(std::function<void()> handler);
    /// Reads the head revision now instead of after the next delay.
    void poll();
    /// Records that, at @p asOf, the table held no edit that is missing here.
    void confirm(TimePoint asOf);
    /// The newest time passed to confirm(), if any.
    std::optional<TimePoint> confirmedAsOf() const;

private:
    ContractSync() = default;
    void schedule();
    void onHead(Result<std::uint64_t> head, TimePoint requestedAt);
    void readAll(std::uint64_t revision);
    void readChanges(std::uint64_t head, TimePoint requestedAt);
    bool applyLogEntries(const std::vector<ContractVersion> &versions);
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
