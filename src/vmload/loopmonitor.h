#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "vmload/vmloadtypes.h"

#include <functional>
#include <memory>
#include <vector>

namespace cardamomlift::vmload {

/// Dependencies of a LoopMonitor.
struct LoopMonitorTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<eventlog::EventLog> log;
    std::function<Duration()> tightestGoal; ///< Of all routes; zero: none.
    std::function<std::vector<Duration>()> otherLags; ///< Of the VMs heard lately.
};

/// Measures how late this VM's event loop runs, and decides whether the VM hands requests over to others because of it.
class LoopMonitor : public std::enable_shared_from_this<LoopMonitor>
{
public:
    static std::shared_ptr<LoopMonitor> start(LoopMonitorTools tools);
    ~LoopMonitor();
    LoopMonitor(const LoopMonitor &) = delete;
    LoopMonitor &operator=(const LoopMonitor &) = delete;

    const VmLoad &load() const;
    /// Whether this VM should hand a new request over. @p salt: a hash of its id.
    bool shouldHandOver(std::uint64_t salt) const;
    /// The lag that a VM may have to take requests of this one over.
    Duration headroomLag() const;

private:
    explicit LoopMonitor(LoopMonitorTools tools);
    void sample();
    LoopMonitorTools tools_;
    TimerId timer_ = 0;
    TimePoint sampledAt_;
    VmLoad load_;
};

} // namespace cardamomlift::vmload
