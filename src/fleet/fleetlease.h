#pragma once

#include "fleet/leasedecision.h"
#include "kernel/eventloop.h"
#include "table/table.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamomlift::fleet {

/// Acquires and renews the fleet lease, a row of the platform's table. The one VM that holds it orders backend VMs.
class FleetLease
{
public:
    static std::shared_ptr<FleetLease> create(EventLoop &loop, std::shared_ptr<table::Table> table, std::string self, Duration leaseDuration);

    void start();
    /// A VM that is not a candidate neither reads nor writes the row, unless it holds the lease: a holder keeps renewing it.
    void setCandidate(bool candidate);
    /// True if this VM may send orders now. Check right before each order.
    bool isHeld() const;
    /// The fencing token to send with each order; 0 if the lease is not held.
    std::uint64_t fence() const;
    /// Stops using and renewing the lease, for a VM that is draining. The row stays, so that the lease expires for the others.
    void release();

private:
    FleetLease() = default;
    void step();
    void read();
    void write();
    EventLoop *loop_ = nullptr;
    std::shared_ptr<table::Table> table_;
    std::string self_;
    Duration leaseDuration_{0};
    LeaseView leaseView_;
    bool busy_ = false;
    bool released_ = false;
    bool candidate_ = true;
};

} // namespace cardamomlift::fleet
