#pragma once

#include "fleet/leasedecision.h"
#include "kernel/eventloop.h"
#include "table/table.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamomlift::fleet {

/// Keeps or waits for the lease of the one VM that orders backend VMs: a row of the platform's table.
class FleetLease
{
public:
    static std::shared_ptr<FleetLease> create(EventLoop &loop, std::shared_ptr<table::Table> table, std::string self, Duration lease);

    void start();
    /// A VM that is no candidate neither reads nor writes the row; a holder goes on renewing.
    void setCandidate(bool candidate);
    /// True if this VM may give orders now. Ask right before each.
    bool isHeld() const;
    /// The number that goes with each order; 0 if not held.
    std::uint64_t fence() const;
    /// Gives the lease back, for a VM that drains.
    void release();

private:
    FleetLease() = default;
    void step();
    void read();
    void write();
    EventLoop *loop_ = nullptr;
    std::shared_ptr<table::Table> table_;
    std::string self_;
    Duration lease_{0};
    LeaseKnowledge knowledge_;
    bool busy_ = false;
    bool released_ = false;
    bool candidate_ = true;
};

} // namespace cardamomlift::fleet
